package gateway

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// activeConnections counts the clients' connections with a request whose response is
// not completely written: from the first byte of the request until the HTTP library
// has flushed the response. It is safe for concurrent use; the zero value is ready for
// use.
type activeConnections struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
}

// observe records the new state of a connection. The HTTP library calls it.
func (a *activeConnections) observe(conn net.Conn, state fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state != fasthttp.StateActive {
		setServing(conn, false)
		delete(a.active, conn)
		return
	}
	if a.active == nil {
		a.active = map[net.Conn]struct{}{}
	}
	a.active[conn] = struct{}{}
}

// count returns the number of active connections.
func (a *activeConnections) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active)
}
