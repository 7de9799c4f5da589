package liveness

import (
	"context"
	"net"
	"net/netip"
	"time"

	"heatherrelay/internal/connection"
)

// link is a second connection: an open connection on which nothing is sent.
type link struct {
	net.Conn
	openedAt time.Time
	// closed is closed when the connection has ended, or has brought bytes that nobody asked
	// for.
	closed chan struct{}
	// age is set before closed is closed.
	age time.Duration
	// retired is set when the second connection has a successor. The monitor's lock guards
	// it.
	retired bool
}

// await returns when the connection has ended.
func (l *link) await() {
	var buffer [1]byte
	// Whatever ends the wait, the connection is of no use any more.
	_, _ = l.Read(buffer[:])
	_ = l.Close()
	l.age = time.Since(l.openedAt)
	close(l.closed)
}

// endedAt returns when the connection ended. It must have.
func (l *link) endedAt() time.Time { return l.openedAt.Add(l.age) }

// open reports whether the connection is open, as far as has arrived here.
func (l *link) open() bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	tcp := connection.TCP(l.Conn)
	return tcp == nil || connection.Peek(tcp) == connection.Idle
}

// probe is a connection attempt. err is set before done is closed.
type probe struct {
	startedAt time.Time
	done      chan struct{}
	err       error
}

func (p *probe) run(connect func(context.Context, netip.AddrPort) error, address netip.AddrPort) {
	defer close(p.done)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.err = connect(ctx, address)
}

func (p *probe) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
