package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/internal/connection"
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// writeDone is closed when the request was completely written or writing failed;
	// writeErr is set before that.
	writeDone chan struct{}
	writeErr  error
	// large is set when the last request was large: it was written in the background, and
	// largeRequestAckTimeout applies to the connection.
	large bool
	// carried are the requests that the connection has carried.
	carried carriedRequests
	// identified is set when the target was asked which process the connection leads to,
	// generation is that of the process; zero if the target does not say.
	identified bool
	generation int64
	// aborted is set when this side closed the connection.
	aborted   atomic.Bool
	closeOnce sync.Once
	// idleUntil is when this side closes the connection if it is still idle.
	idleUntil time.Time
	// silence is how long after silentSince a read calls onSilence and waits on; zero
	// means that it does not call it. Only the reading goroutine uses the three.
	silence     time.Duration
	onSilence   func()
	silentSince time.Time
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// setSilence replaces silence and onSilence, and has silence begin now.
func (c *conn) setSilence(silence time.Duration, onSilence func()) {
	c.silence, c.onSilence, c.silentSince = silence, onSilence, time.Now()
}

// Read reads from the connection. It calls onSilence after each silence. That bytes
// arrive does not end a silence: they may complete no event of a stream.
func (c *conn) Read(p []byte) (int, error) {
	for {
		var deadline time.Time
		if c.silence > 0 {
			deadline = c.silentSince.Add(c.silence)
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		c.silentSince = time.Now()
		c.onSilence()
	}
}

// reusable reports whether an idle connection is open, has not reached its idle
// timeout and has received no bytes since the last response.
func (c *conn) reusable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !now.Before(c.idleUntil) {
		return false
	}
	tcp := connection.TCP(c.Conn)
	return tcp == nil || connection.Peek(tcp) == connection.Idle
}

// mayLeadTo reports whether the connection leads to a process, as far as is known; zero
// stands for any.
func (c *conn) mayLeadTo(generation int64) bool {
	return generation == 0 || c.generation == 0 || c.generation == generation
}

// kept reports whether the connection has been idle before.
func (c *conn) kept() bool { return !c.idleUntil.IsZero() }

// maxSyncWriteBytes is the largest request that is written synchronously. The send
// buffer of an idle connection holds that much, so the write does not block.
const maxSyncWriteBytes = 16 << 10

// writeRequest writes a request. A large one is written in the background, so that
// the response can be read meanwhile: a target may respond before it has read the
// complete body. An error means that nothing was written.
func (c *conn) writeRequest(id string, message net.Buffers) error {
	if err := c.setLarge(len(message) > 1 || len(message[0]) > maxSyncWriteBytes); err != nil {
		return err
	}
	c.carried.add(id)
	c.writeDone = make(chan struct{})
	write := func() {
		defer close(c.writeDone)
		_, c.writeErr = message.WriteTo(c.Conn)
	}
	if c.large {
		go write()
		return nil
	}
	write()
	return nil
}

// setLarge records whether the next request is large, and sets the limit on unacknowledged
// bytes for it.
func (c *conn) setLarge(large bool) error {
	tcp, changed := connection.TCP(c.Conn), large != c.large
	c.large = large
	if !changed || tcp == nil {
		return nil
	}
	if large {
		return connection.SetAckTimeout(tcp, largeRequestAckTimeout)
	}
	return connection.SetAckTimeout(tcp, ackTimeout)
}

// requestWritten reports whether the request was completely written.
func (c *conn) requestWritten() bool { return c.writeEnded() && c.writeErr == nil }

// writeFailed reports whether writing the request failed.
func (c *conn) writeFailed() bool { return c.writeEnded() && c.writeErr != nil }

// writeEnded reports whether the request is no longer being written.
func (c *conn) writeEnded() bool {
	select {
	case <-c.writeDone:
		return true
	default:
		return false
	}
}

// abort closes the connection at once: the target sees it closed, and reads in
// progress fail.
func (c *conn) abort() {
	c.closeOnce.Do(func() {
		c.aborted.Store(true)
		_ = c.Close()
	})
}
