// Package connection opens TCP connections to targets and the platform that detect
// a peer that no longer responds, and makes HTTP calls over them.
package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// ErrDial is the class of errors of a dial, before any byte could be sent.
var ErrDial = errs.Class("dial")

// Dialer opens TCP connections whose reads and writes fail if the other end stops
// responding. The read limit counts from the start of each read, so a stream that
// keeps sending is never cut off, however long it lasts.
type Dialer struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// ReadTimeout is how long a read may wait for the next byte; zero means no
	// limit.
	ReadTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged by the other end
	// (TCP_USER_TIMEOUT); zero leaves the system's default.
	AckTimeout time.Duration
	// KeepAlive enables TCP keep-alive probes each second on idle connections, so
	// that a dead one fails within a few seconds.
	KeepAlive bool
}

// The TCP keep-alive parameters of connections with KeepAlive.
const (
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dial connects to an address of the form "IP:port", for a client that sends one HTTP request
// at a time and reads its response after that. Reads fail with an error of class
// responsehead.ErrMalformed at a head of a response that is none. All its errors are of class
// ErrDial.
func (d *Dialer) Dial(address string) (net.Conn, error) {
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &responseConn{Conn: conn}, nil
}

// DialContext is Dial with a context, with the signature that net/http expects.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.ConnectTimeout, Control: d.control}
	if d.KeepAlive {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, ErrDial.Wrap(err)
	}
	return &readTimeoutConn{Conn: conn, timeout: d.ReadTimeout}, nil
}

// control sets TCP_USER_TIMEOUT on a socket before it connects.
func (d *Dialer) control(_, _ string, raw syscall.RawConn) error {
	if d.AckTimeout <= 0 {
		return nil
	}
	return setAckTimeout(raw, d.AckTimeout)
}

// SetAckTimeout replaces the AckTimeout of an open connection.
func SetAckTimeout(conn syscall.Conn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return setAckTimeout(raw, timeout)
}

func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	set := func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}
	if err := raw.Control(set); err != nil {
		return err
	}
	return optionErr
}

// readTimeoutConn sets a new read deadline before each read.
type readTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the connection and fails if no byte arrives within the timeout.
func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if c.timeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}
