package connection

import (
	"bufio"
	"net"

	"heatherrelay/internal/responsehead"
)

// headBytes is the size of the buffer for heads, and so of the largest one: as much as the
// HTTP library takes.
const headBytes = 4 << 10

// responseConn is a connection that carries one request at a time, each written completely
// before its response is read. It passes on no head of a response that is malformed: a read
// fails instead, with an error of class responsehead.ErrMalformed. One goroutine uses it at a
// time.
type responseConn struct {
	net.Conn
	// awaiting is set from the first byte of a request to the end of its response's head.
	awaiting bool
	// reader holds what was received with a head; nil once all of it has been read.
	reader *bufio.Reader
	// unread is what is left to read of a complete head.
	unread int
	// err ended reading.
	err error
}

// Write writes bytes of a request. It fails with errStale if bytes are left that belong to
// no request.
func (c *responseConn) Write(p []byte) (int, error) {
	if !c.awaiting && c.reader != nil {
		return 0, errStale
	}
	c.awaiting = true
	return c.Conn.Write(p)
}

// Read reads from the head of a response once that is complete, and then from its body.
func (c *responseConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if c.awaiting && c.unread == 0 {
		if begun := c.awaitHead(); begun {
			return copy(p, "H"), nil
		}
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case c.reader == nil:
		return c.Conn.Read(p)
	case c.unread > 0:
		p = p[:min(len(p), c.unread)]
	}
	n, err := c.reader.Read(p)
	c.unread = max(c.unread-n, 0)
	if !c.awaiting && c.reader.Buffered() == 0 {
		c.reader = nil
	}
	return n, err
}

// awaitHead returns once there is a complete head, or with err set. It reports whether a head
// has begun that is not passed on: the HTTP library takes an error before the first byte for
// the end of the connection, so that it has to read one.
func (c *responseConn) awaitHead() (begun bool) {
	if c.reader == nil {
		c.reader = bufio.NewReaderSize(c.Conn, headBytes)
	}
	head, err := responsehead.Await(c.reader)
	if err != nil {
		c.err = err
		return c.reader.Buffered() > 0
	}
	c.unread, c.awaiting = head.Length, head.Informational()
	return false
}
