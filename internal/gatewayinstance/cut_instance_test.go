package gatewayinstance_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/internal/upstream"
	"heatherrelay/platform"
	"heatherrelay/platform/platformtest"
)

const (
	// cutWindow is the time after which callers of an instance that is cut off from all
	// targets must be served, minServedShare how often at least, compared with callers
	// of other instances.
	cutWindow      = 3 * time.Second
	minServedShare = 2.0 / 3
	// cutDialTimeout is how long a connection attempt of an instance that is cut off hangs.
	cutDialTimeout = 400 * time.Millisecond
)

// cutKind is what an instance that is cut off from the targets sees of its connections.
type cutKind int

const (
	notCut cutKind = iota
	// cutHanging connections are silent, and connection attempts time out.
	cutHanging
	// cutReset connections are reset, and connection attempts are refused.
	cutReset
	// cutNewRefused leaves open connections alone and refuses new ones.
	cutNewRefused
)

// cuttableLink is the path of one instance to the targets.
type cuttableLink struct {
	mu     sync.Mutex
	kind   cutKind
	healed chan struct{}
	open   map[*cuttableConn]bool
}

// cut cuts the path off until heal.
func (l *cuttableLink) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind, l.healed = kind, make(chan struct{})
	if kind == cutReset {
		for c := range l.open {
			_ = c.Close()
		}
		l.open = nil
	}
}

func (l *cuttableLink) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = notCut
	close(l.healed)
}

// state returns the kind of the cut, and a channel that is closed at its end.
func (l *cuttableLink) state() (cutKind, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kind, l.healed
}

// dial opens a connection that the link can cut.
func (l *cuttableLink) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	kind, _ := l.state()
	switch kind {
	case cutHanging:
		select {
		case <-ctx.Done():
		case <-time.After(cutDialTimeout):
		}
		return nil, context.DeadlineExceeded
	case cutReset, cutNewRefused:
		return nil, syscall.ECONNREFUSED
	}
	raw, err := upstream.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &cuttableConn{Conn: raw, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*cuttableConn]bool{}
	}
	l.open[c] = true
	return c, nil
}

// cuttableConn is a connection over a cuttableLink.
type cuttableConn struct {
	net.Conn
	link *cuttableLink
}

// Read returns nothing while the link hangs. It fails once bytes would have been
// unacknowledged for too long.
func (c *cuttableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if kind, healed := c.link.state(); kind == cutHanging {
		select {
		case <-healed:
		case <-time.After(cutWindow / 2):
			return 0, syscall.ETIMEDOUT
		}
	} else if kind == cutReset && err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return n, syscall.ECONNRESET
	}
	return n, err
}

// Write discards what is written while the link hangs.
func (c *cuttableConn) Write(p []byte) (int, error) {
	if kind, _ := c.link.state(); kind == cutHanging {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// startCuttableInstance starts an instance whose path to the targets can be cut off.
func (c *testCluster) startCuttableInstance() (*instance, *cuttableLink) {
	c.t.Helper()
	link := &cuttableLink{}
	i := &instance{settings: c.newSettings(), done: make(chan error, 1), registry: prometheus.NewRegistry()}
	gateway := &gatewayinstance.Instance{Settings: i.settings, Log: c.log, Registry: i.registry}
	platform.Connect(gateway)
	gateway.Platform.Client.Dial = link.dial
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go func() { i.done <- gateway.Run(ctx) }()
	c.addInstance(i)
	return i, link
}

// servedShare sends requests on all routes through an instance and returns the share
// that was served.
func (c *testCluster) servedShare(i *instance) float64 {
	const requests = 60
	var group sync.WaitGroup
	counted := &successCount{}
	for n := range requests {
		time.Sleep(15 * time.Millisecond)
		group.Go(func() {
			path := []string{"/read/", "/post/", "/stream/", "/draft/"}[n%4]
			counted.sent.Add(1)
			got := c.sendThrough(i, http.MethodPost, path, func(h http.Header) {
				if n%4 >= 2 {
					withParts("first:80,second:10")(h)
				}
			})
			if got.complete() {
				counted.complete.Add(1)
			}
		})
	}
	group.Wait()
	return counted.share()
}

// TestCallersOfInstanceCutOffFromTargetsAreServed guards against refusing the callers of an
// instance that reaches no target, while they, the store and other instances reach it,
// for as long as the cut lasts: whether its connections hang, are reset, or live on
// while new ones are refused. Nothing may run twice or be blamed for a crash.
func TestCallersOfInstanceCutOffFromTargetsAreServed(t *testing.T) {
	for name, kind := range map[string]cutKind{"hanging": cutHanging, "reset": cutReset, "new ones refused": cutNewRefused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t, 0)
			for n := 2; n <= 3; n++ {
				cluster.startTarget(platformtest.PlainService, fmt.Sprint("plain-", n))
			}
			i, link := cluster.startCuttableInstance()
			other := cluster.startInstance()
			cluster.waitForPeers()
			if share := cluster.servedShare(i); share < minServedShare {
				t.Fatalf("%.2f served before the cut", share)
			}
			link.cut(kind)
			_ = cluster.servedShare(i)
			time.Sleep(cutWindow)
			elsewhere, served := cluster.servedShare(other), cluster.servedShare(i)
			if served < minServedShare*elsewhere {
				t.Errorf("%.2f served at the instance that is cut off, %.2f elsewhere", served, elsewhere)
			}
			link.heal()
			time.Sleep(cutWindow)
			if share := cluster.servedShare(i); share < minServedShare {
				t.Errorf("%.2f served after the cut", share)
			}
			if n := cluster.logs.FilterMessage("target crashed").Len(); n > 0 {
				t.Errorf("%d targets that did not crash are reported as crashed", n)
			}
			cluster.checkRunsOnce()
		})
	}
}

// checkRunsOnce checks that no request with a body ran twice on a route whose requests may
// run once only.
func (c *testCluster) checkRunsOnce() {
	c.t.Helper()
	runs := map[string]int{}
	for _, target := range c.targets {
		for _, r := range target.ReceivedRequests() {
			if r.Ran && (r.URI == "/post/" || r.URI == "/draft/") {
				runs[r.Body]++
			}
			if r.Header.Get("Key") != "" || r.Header.Get("Tenant") != "roads" {
				c.t.Errorf("request with key %q and tenant %q", r.Header.Get("Key"), r.Header.Get("Tenant"))
			}
		}
	}
	for body, n := range runs {
		if n > 1 {
			c.t.Errorf("%s ran %d times", body, n)
		}
	}
}
