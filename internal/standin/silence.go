package standin

import (
	"net"
	"sync/atomic"
	"time"
)

// silentListener wraps accepted connections so that their endpoint can silence
// them.
type silentListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept returns the next connection, registered with the endpoint.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, endpoint: l.endpoint}
	l.endpoint.addConn(c)
	return c, nil
}

// silentConn is a connection that can be silenced: from then on it passes no
// data in either direction while both ends stay open, as when a network drops
// all packets.
type silentConn struct {
	net.Conn
	endpoint *Endpoint
	silent   atomic.Bool
}

// Read reads from the connection; once silent, it discards all data and blocks
// until the connection ends.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes b; once silent, it discards b and reports success.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent one stays open for the remote end; only
// pending reads end, through a read deadline.
func (c *silentConn) Close() error {
	if c.silent.Load() {
		return c.SetReadDeadline(time.Now())
	}
	c.endpoint.removeConn(c)
	return c.Conn.Close()
}
