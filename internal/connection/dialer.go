// Package connection dials targets and the platform in a way that notices a
// connection that has gone silent.
package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// ErrDial is the kind of errors before any byte could be sent.
var ErrDial = errs.Class("dial")

// Dialer opens TCP connections whose reads and writes fail after a silence. The
// limit counts from the start of each read, so a stream that goes on is never
// cut, however long it lasts.
type Dialer struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// SilenceLimit is how long a read may wait for the next byte; zero has no limit.
	SilenceLimit time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged by the other end.
	AckTimeout time.Duration
	// KeepAlive probes an idle connection each second, so that one that has gone
	// silent fails within a few seconds.
	KeepAlive bool
}

// The probes of a connection with KeepAlive.
const (
	probeInterval = time.Second
	probeCount    = 2
)

// Dial connects to an address of the form "IP:port". All its errors are of
// kind ErrDial.
func (d *Dialer) Dial(address string) (net.Conn, error) {
	return d.DialContext(context.Background(), "tcp", address)
}

// DialContext is Dial under a context, in the form that net/http wants.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.ConnectTimeout, Control: d.control}
	if d.KeepAlive {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, ErrDial.Wrap(err)
	}
	return &silenceConn{Conn: conn, limit: d.SilenceLimit}, nil
}

func (d *Dialer) control(_, _ string, raw syscall.RawConn) error {
	if d.AckTimeout <= 0 {
		return nil
	}
	var optionErr error
	set := func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.AckTimeout.Milliseconds()))
	}
	if err := raw.Control(set); err != nil {
		return err
	}
	return optionErr
}

// silenceConn moves the read deadline on before each read.
type silenceConn struct {
	net.Conn
	limit time.Duration
}

// Read waits at most the silence limit for the next bytes.
func (c *silenceConn) Read(p []byte) (int, error) {
	if c.limit > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}
