package connection

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// maxStaleConnections is how many kept connections that are closed, or hold bytes, are
// passed over for one request.
const maxStaleConnections = 64

// errStale means that nothing was written to a kept connection, since it is closed or holds
// bytes that no request asked for.
var errStale = errors.New("kept connection is closed or holds bytes that belong to no request")

// retryStale has a request sent on another connection if nothing of it was written.
func retryStale(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, errors.Is(err, errStale)
}

// keptConn is a connection of an HTTPClient. It fails with errStale instead of writing a
// further request when the answer to it would come after bytes that belong to no request,
// such as a copy of an earlier answer: each later request would get the answer to the one
// before. One goroutine uses it at a time.
type keptConn struct {
	net.Conn
	// answered is set while nothing has been written since the last read.
	answered bool
}

// Read reads from the connection.
func (c *keptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.answered = c.answered || n > 0
	return n, err
}

// Write writes to the connection.
func (c *keptConn) Write(p []byte) (int, error) {
	if tcp := TCP(c.Conn); c.answered && tcp != nil && Peek(tcp) != Idle {
		return 0, errStale
	}
	c.answered = false
	return c.Conn.Write(p)
}
