package standin

import (
	"net"
	"sync/atomic"
	"time"
)

// silentListener accepts connections that its endpoint can silence.
type silentListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept returns the next connection.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, endpoint: l.endpoint}
	l.endpoint.add(c)
	return c, nil
}

// silentConn is a connection on which, once silent, nothing passes in either
// direction while both ends stay up.
type silentConn struct {
	net.Conn
	endpoint *Endpoint
	silent   atomic.Bool
}

// Read returns what arrives; on a silent connection it discards it.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends b; on a silent connection it only seems to.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection; the other end of a silent one learns nothing of it.
func (c *silentConn) Close() error {
	if c.silent.Load() {
		return c.SetReadDeadline(time.Now())
	}
	c.endpoint.remove(c)
	return c.Conn.Close()
}
