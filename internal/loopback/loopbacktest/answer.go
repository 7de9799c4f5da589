package loopbacktest

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// Answer answers a request to an http.Server with bytes as they are, for heads that the server
// does not write, and keeps the connection as sound servers do: the server's handler gets the
// requests that follow until the client closes it. After HTTP/1.0 it ends. If it ended though
// the head left it open, the next request could already be on its way, and may have run.
func Answer(w http.ResponseWriter, r *http.Request, text string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, text); err != nil || strings.HasPrefix(text, "HTTP/1.0") {
		_ = conn.Close()
		return
	}
	// A server that is being closed takes no connection back. Serve returns once it has accepted
	// this one, which it serves in a goroutine.
	next := http.Server{Handler: r.Context().Value(http.ServerContextKey).(*http.Server).Handler}
	_ = next.Serve(&connListener{conn})
}

// connListener accepts one connection, which exists already.
type connListener struct{ conn net.Conn }

// Accept returns the connection once.
func (l *connListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

// Close leaves the connection to who accepted it.
func (l *connListener) Close() error { return nil }

// Addr returns no address.
func (l *connListener) Addr() net.Addr { return nil }
