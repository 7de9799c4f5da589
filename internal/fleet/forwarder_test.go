package fleet_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
)

// linkState selects what a forwarder does with connections.
type linkState int

const (
	// linkUp forwards all data.
	linkUp linkState = iota
	// linkCut closes all existing and new connections.
	linkCut
	// linkSilent keeps existing and new connections open but forwards no data.
	linkSilent
)

// forwarder forwards TCP connections to an upstream address, which can change.
// It can close or silence the connections to simulate a network fault.
type forwarder struct {
	address  netip.AddrPort
	listener net.Listener

	mu         sync.Mutex
	upstream   netip.AddrPort
	state      linkState
	links      map[*link]struct{}
	background conc.WaitGroup
	// zoneOf returns the zone of the process that opened a connection; if nil,
	// zones are not distinguished.
	zoneOf func(accepted net.Conn) string
	// isBlocked reports whether connections from a zone are closed; if nil, none
	// are.
	isBlocked func(zone string) bool
	// blockedConns counts the connections that were closed because of their
	// zone.
	blockedConns int
}

// link is one forwarded connection. A silenced link stays silent.
type link struct {
	client, server net.Conn
	silent         bool
	// zone is the zone of the client.
	zone string
}

func startForwarder(t testing.TB) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		listener: listener,
		links:    map[*link]struct{}{},
	}
	f.background.Go(f.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		f.setState(linkCut)
		f.background.Wait()
	})
	return f
}

// setUpstream sets the address to which new connections are forwarded.
func (f *forwarder) setUpstream(upstream netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstream = upstream
}

// setState changes the state of the forwarder and applies it to the open links.
func (f *forwarder) setState(state linkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
	for l := range f.links {
		switch state {
		case linkCut:
			_ = l.client.Close()
			_ = l.server.Close()
		case linkSilent:
			l.silent = true
		}
	}
}

func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.background.Go(func() { f.forward(client) })
	}
}

func (f *forwarder) forward(client net.Conn) {
	defer client.Close() //nolint:errcheck // the other end has gone
	f.mu.Lock()
	state, upstream := f.state, f.upstream
	f.mu.Unlock()
	if state == linkCut || !upstream.IsValid() {
		return
	}
	zone := f.sourceZone(client)
	if f.rejectIfBlocked(zone) {
		return
	}
	server, err := net.Dial("tcp", upstream.String())
	if err != nil {
		return
	}
	defer server.Close() //nolint:errcheck // the other end has gone
	l := &link{client: client, server: server}
	l.zone = zone
	f.mu.Lock()
	l.silent = f.state == linkSilent
	cut := f.state == linkCut
	cut = cut || f.isBlocked != nil && f.isBlocked(zone)
	f.links[l] = struct{}{}
	f.mu.Unlock()
	if cut {
		return
	}
	var directions conc.WaitGroup
	directions.Go(func() { f.copyOneWay(l, client, server) })
	directions.Go(func() { f.copyOneWay(l, server, client) })
	directions.Wait()
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

// copyOneWay copies data in one direction until either end closes. On a silent
// link it discards the data and leaves the other end open.
func (f *forwarder) copyOneWay(l *link, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := l.silent
		f.mu.Unlock()
		if silent && err != nil {
			return
		}
		if silent {
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
