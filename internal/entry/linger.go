package entry

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
)

// The bounds on what is read of a refused request after its answer.
const (
	lingerTimeout = 2 * time.Second
	lingerBytes   = 64 << 20
)

// lingerListener accepts connections that can linger.
type lingerListener struct {
	net.Listener
}

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &lingerConn{TCPConn: tcp}, nil
	}
	return conn, nil
}

// lingerConn is a connection that, when asked to, reads the rest of a request
// before it closes. Without that the kernel resets a connection that is closed
// with unread bytes, and the caller may lose the answer on its way.
type lingerConn struct {
	*net.TCPConn
	linger atomic.Bool
}

// Close closes the connection, after lingering if that was asked for.
func (l *lingerConn) Close() error {
	if l.linger.CompareAndSwap(true, false) {
		_ = l.CloseWrite()
		_ = l.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, l.TCPConn, lingerBytes)
	}
	return l.TCPConn.Close()
}

// lingerOnClose asks the connection of a request to linger, for a request that
// is refused before all of it was read.
func lingerOnClose(c fiber.Ctx) {
	if l, ok := tcpBelow(c.RequestCtx().Conn()).(*lingerConn); ok {
		l.linger.Store(true)
	}
}

// tcpBelow returns the connection under TLS, or conn itself.
func tcpBelow(conn net.Conn) net.Conn {
	if secured, ok := conn.(*tls.Conn); ok {
		return secured.NetConn()
	}
	return conn
}
