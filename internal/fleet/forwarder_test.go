package fleet_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
)

// linkState is what a forwarder does with connections.
type linkState int

const (
	// linkUp passes everything.
	linkUp linkState = iota
	// linkCut closes connections, old and new.
	linkCut
	// linkSilent keeps connections, old and new, and passes nothing.
	linkSilent
)

// forwarder passes TCP connections to an address that can change, and can be
// cut or silenced.
type forwarder struct {
	address  netip.AddrPort
	listener net.Listener

	mu       sync.Mutex
	upstream netip.AddrPort
	state    linkState
	links    map[*link]struct{}
	duties   conc.WaitGroup
	// zoneOf tells the zone that a connection comes from; nil if nothing depends on it.
	zoneOf func(near net.Conn) string
	// blocked says whether connections from a zone are cut; nil cuts none.
	blocked func(zone string) bool
	// refused counts the connections that were cut because of their zone.
	refused int
}

// link is one connection through a forwarder; once silent it stays so.
type link struct {
	near, far net.Conn
	silent    bool
	// zone is where the connection comes from.
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
	f.duties.Go(f.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		f.set(linkCut)
		f.duties.Wait()
	})
	return f
}

// point sets where new connections go.
func (f *forwarder) point(upstream netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstream = upstream
}

func (f *forwarder) set(state linkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
	for l := range f.links {
		switch state {
		case linkCut:
			_ = l.near.Close()
			_ = l.far.Close()
		case linkSilent:
			l.silent = true
		}
	}
}

func (f *forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.duties.Go(func() { f.forward(near) })
	}
}

func (f *forwarder) forward(near net.Conn) {
	defer near.Close() //nolint:errcheck // the other end has gone
	f.mu.Lock()
	state, upstream := f.state, f.upstream
	f.mu.Unlock()
	if state == linkCut || !upstream.IsValid() {
		return
	}
	zone := f.sourceZone(near)
	if f.refuses(zone) {
		return
	}
	far, err := net.Dial("tcp", upstream.String())
	if err != nil {
		return
	}
	defer far.Close() //nolint:errcheck // the other end has gone
	l := &link{near: near, far: far}
	l.zone = zone
	f.mu.Lock()
	l.silent = f.state == linkSilent
	cut := f.state == linkCut
	cut = cut || f.blocked != nil && f.blocked(zone)
	f.links[l] = struct{}{}
	f.mu.Unlock()
	if cut {
		return
	}
	var ways conc.WaitGroup
	ways.Go(func() { f.pass(l, near, far) })
	ways.Go(func() { f.pass(l, far, near) })
	ways.Wait()
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

// pass copies one way until either end closes; a silent link holds both open.
func (f *forwarder) pass(l *link, from, to net.Conn) {
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
