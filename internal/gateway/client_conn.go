package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"heatherrelay/internal/memory"
)

// Limits on clients that do not read their responses, or send on after a refusal.
const (
	// writeStallTime is the longest time in which a client takes nothing of writePieceBytes,
	// streamStallTime that in which it takes nothing of the events of a stream: targets cut
	// streams off that are not read. sendBufferBytes bounds the events that the client has
	// not taken.
	writeStallTime  = 20 * time.Second
	streamStallTime = 2 * time.Second
	sendBufferBytes = 128 << 10
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

// clientConn is a connection of a client. A write fails if the client takes nothing for a
// time, or once the connection is cut.
type clientConn struct {
	*net.TCPConn
	// stallTime is that time, in nanoseconds.
	stallTime atomic.Int64
	cut       atomic.Bool
	// unread is set when the connection is to be closed within a request, whose rest would
	// otherwise have the client's system discard the response.
	unread   atomic.Bool
	listener *clientListener
	// readAt is when bytes last arrived, in nanoseconds since 1970. serving is set from when
	// a request was read whole until its response is written.
	readAt  atomic.Int64
	serving atomic.Bool
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

// Read reads from the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.readAt.Store(time.Now().UnixNano())
	return n, err
}

// setServing records whether a request of the connection is being served.
func setServing(conn net.Conn, serving bool) {
	if c, ok := conn.(*clientConn); ok {
		c.serving.Store(serving)
	}
}

// Write writes bytes in pieces, each of which the client takes in time.
func (c *clientConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(time.Duration(c.stallTime.Load()))); err != nil {
			return written, err
		}
		if c.cut.Load() {
			return written, errClientBehind
		}
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		switch behind := errors.Is(err, os.ErrDeadlineExceeded); {
		case behind && n > 0 && !c.cut.Load():
		case behind:
			c.listener.recordCut(c)
			return written, errClientBehind
		case err != nil || written == len(p):
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
		return c.end()
	}
	if c.listener.lingering.Add(1) > maxLingering || c.CloseWrite() != nil {
		c.listener.lingering.Add(-1)
		return c.end()
	}
	go func() {
		defer c.listener.lingering.Add(-1)
		c.discard()
		// Nothing is left to be lost.
		_ = c.end()
	}()
	return nil
}

// end closes the connection at once.
func (c *clientConn) end() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
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

// cutWrites ends the writes to a client.
func cutWrites(conn net.Conn) {
	if c, ok := conn.(*clientConn); ok {
		c.cut.Store(true)
		// The deadline cannot be set if the connection is closed.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// limitStall has a client cut that is behind with the events of a stream, until the end of
// the stream.
func limitStall(conn net.Conn) (end func()) {
	c, ok := conn.(*clientConn)
	if !ok {
		return func() {}
	}
	c.stallTime.Store(int64(streamStallTime))
	// Where the system sets no bound, its own one holds.
	_ = c.SetWriteBuffer(sendBufferBytes)
	return func() { c.stallTime.Store(int64(writeStallTime)) }
}

// setBody sets the body of the response to the client. What is held for a large one is
// released once it is written, or the client is gone or cut.
func (e *exchange) setBody(body []byte) {
	if len(body) < largeResponseBytes || e.client.Response.SkipBody {
		e.client.Response.SetBodyRaw(body)
		return
	}
	e.writing = true
	conn := e.client.Conn()
	e.responses.Offer(e.owner(), func() { cutWrites(conn) })
	e.client.Response.SetBodyStream(&heldBody{body: body, hold: &e.responses}, len(body))
}

// heldBody is the body of a response that is held in memory until it is closed.
type heldBody struct {
	body []byte
	hold *memory.Hold
}

// Read returns the next bytes that the client takes.
func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.body) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.body)
	b.body = b.body[n:]
	b.hold.Progress(n)
	return n, nil
}

// Close releases the memory.
func (b *heldBody) Close() error {
	b.body = nil
	b.hold.Release()
	return nil
}
