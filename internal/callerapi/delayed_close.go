package callerapi

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Bounds on reading the rest of a refused request after its response.
const (
	delayedCloseTimeout  = 2 * time.Second
	maxDelayedCloseBytes = 64 << 20
)

// delayedCloseListener wraps accepted TCP connections in delayedCloseConn.
type delayedCloseListener struct {
	net.Listener
}

// Accept waits for and returns the next connection.
func (l delayedCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &delayedCloseConn{TCPConn: tcp}, nil
	}
	return conn, nil
}

// delayedCloseConn is a TCP connection whose Close can first read and discard the
// rest of a request (a lingering close). Closing a connection with unread bytes
// makes the kernel reset it, and the reset can destroy a response that the caller
// has not read yet.
type delayedCloseConn struct {
	*net.TCPConn
	readBeforeClose atomic.Bool
}

// Close closes the connection. If readBeforeClose is set, it first shuts down the
// sending side and discards what the caller still sends, within
// delayedCloseTimeout and maxDelayedCloseBytes.
func (c *delayedCloseConn) Close() error {
	if c.readBeforeClose.CompareAndSwap(true, false) {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(delayedCloseTimeout))
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxDelayedCloseBytes)
	}
	return c.TCPConn.Close()
}

// delayClose makes the connection of a request read the rest of the request
// before it closes. It is for requests that are refused before they are read
// completely.
func delayClose(c fiber.Ctx) {
	if delayed, ok := withoutTLS(c.RequestCtx().Conn()).(*delayedCloseConn); ok {
		delayed.readBeforeClose.Store(true)
	}
}

// withoutTLS returns the connection below a TLS connection, or conn itself if it
// is not TLS.
func withoutTLS(conn net.Conn) net.Conn {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		return tlsConn.NetConn()
	}
	return conn
}
