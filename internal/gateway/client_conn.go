package gateway

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	"heatherrelay/internal/memory"
)

// Limits on clients that do not read their responses, or send on after a refusal.
const (
	// writeStallTime is the longest time in which a client takes nothing of writePieceBytes.
	writeStallTime  = 20 * time.Second
	writePieceBytes = 64 << 10
	// lingerTime, lingerBytes and maxLingering bound how long the rest of a body is discarded
	// so that its client reads the refusal, how much of it, and for how many clients at once.
	lingerTime   = 2 * time.Second
	lingerBytes  = 16 << 20
	lingerBuffer = 4 << 10
	maxLingering = 256
	// largeResponseBytes is the least size of a response whose memory is released once it is
	// written, rather than when the handler returns.
	largeResponseBytes = 16 << 10
)

// clientListener accepts the connections of clients.
type clientListener struct {
	net.Listener
	lingering atomic.Int64
}

// Accept returns the next connection.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &clientConn{TCPConn: tcp, lingering: &l.lingering}, nil
	}
	return conn, err
}

// clientConn is a connection of a client. A write fails if the client takes nothing for
// writeStallTime.
type clientConn struct {
	*net.TCPConn
	// unread is set when the connection is to be closed within a request, whose rest would
	// otherwise have the client's system discard the response.
	unread    atomic.Bool
	lingering *atomic.Int64
}

// clientTCP returns the TCP connection of a client; nil if it is none.
func clientTCP(conn net.Conn) *net.TCPConn {
	switch c := conn.(type) {
	case *clientConn:
		return c.TCPConn
	case *net.TCPConn:
		return c
	}
	return nil
}

// closeUnread has the connection of a client closed such that the client reads the response
// although it may still be sending.
func closeUnread(conn net.Conn) {
	if c, ok := conn.(*clientConn); ok {
		c.unread.Store(true)
	}
}

// Write writes bytes in pieces, each of which the client takes in time.
func (c *clientConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeStallTime)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// ReadFrom is hidden so that all bytes pass through Write.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close closes the connection, if a request is unread after the client has closed its side,
// or lingerTime.
func (c *clientConn) Close() error {
	if !c.unread.Swap(false) {
		return c.TCPConn.Close()
	}
	if c.lingering.Add(1) > maxLingering || c.CloseWrite() != nil {
		c.lingering.Add(-1)
		return c.TCPConn.Close()
	}
	go func() {
		defer c.lingering.Add(-1)
		c.discard()
		// The client has left at the latest now.
		_ = c.TCPConn.Close()
	}()
	return nil
}

// discard reads what the client still sends.
func (c *clientConn) discard() {
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	var buffer [lingerBuffer]byte
	for left := lingerBytes; left > 0; {
		n, err := c.Read(buffer[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// setBody sets the body of the response to the client. What is held for a large one is
// released once it is written, or the client is gone.
func (e *exchange) setBody(body []byte) {
	if len(body) < largeResponseBytes || e.client.Response.SkipBody {
		e.client.Response.SetBodyRaw(body)
		return
	}
	e.writing = true
	e.client.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(body), hold: &e.responses}, len(body))
}

// heldBody is the body of a response that is held in memory until it is closed.
type heldBody struct {
	*bytes.Reader
	hold *memory.Hold
}

// Close releases the memory.
func (b *heldBody) Close() error {
	b.hold.Release()
	return nil
}
