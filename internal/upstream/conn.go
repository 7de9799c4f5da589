package upstream

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/internal/connection"
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// written is closed when the request was written whole or writing failed.
	written  chan struct{}
	writeErr error
	aborted  atomic.Bool
	once     sync.Once
	// idleUntil is when this side gives the idle connection up.
	idleUntil time.Time
	// silence is how long a read may wait for the next bytes; zero has no limit.
	silence atomic.Int64
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read waits at most the silence limit for the next bytes.
func (c *conn) Read(p []byte) (int, error) {
	var deadline time.Time
	if limit := time.Duration(c.silence.Load()); limit > 0 {
		deadline = time.Now().Add(limit)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// usable says that nothing has come on an idle connection and that it is open.
func (c *conn) usable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !now.Before(c.idleUntil) {
		return false
	}
	tcp := connection.TCP(c.Conn)
	return tcp == nil || connection.Peek(tcp) == connection.Idle
}

// directBytes is how long a request may be that is written at once: the socket of
// an idle connection takes as much without waiting for the target.
const directBytes = 16 << 10

// send writes a request. The answer to a long one can be read meanwhile: a target
// may answer before it has read a long body.
func (c *conn) send(message []byte) {
	c.written = make(chan struct{})
	write := func() {
		defer close(c.written)
		_, c.writeErr = c.Write(message)
	}
	if len(message) <= directBytes {
		write()
		return
	}
	go write()
}

// sent says that the whole request was written.
func (c *conn) sent() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// abort closes the connection; the other end sees it at once.
func (c *conn) abort() {
	c.once.Do(func() {
		c.aborted.Store(true)
		_ = c.Close()
	})
}
