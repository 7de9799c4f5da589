package reach_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/reach"
)

// network holds the targets, and which of them accept connections from this instance and
// from its peers.
type network struct {
	mu      sync.Mutex
	now     time.Time
	targets map[deployment.TargetID]deployment.Target
	// cut holds the targets that only peers reach, down those that nobody reaches.
	cut, down map[deployment.TargetID]bool
	probes    int
}

func newNetwork(perService map[string]int) *network {
	n := &network{now: time.Unix(1000, 0), targets: map[deployment.TargetID]deployment.Target{}, cut: map[deployment.TargetID]bool{}, down: map[deployment.TargetID]bool{}}
	for service, count := range perService {
		for i := range count {
			id := deployment.TargetID(fmt.Sprint(service, "-", i))
			n.targets[id] = deployment.Target{ID: id, Service: service, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+len(n.targets)))}
		}
	}
	return n
}

var errRefused = errors.New("connection refused")

func (n *network) monitor() *reach.Monitor {
	m := &reach.Monitor{
		Zone:    "north",
		Targets: func() map[deployment.TargetID]deployment.Target { return n.targets },
		Now:     func() time.Time { n.mu.Lock(); defer n.mu.Unlock(); return n.now },
		Log:     zap.NewNop(),
	}
	m.Probe = func(_ context.Context, address netip.AddrPort) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.probes++
		for id, t := range n.targets {
			if t.Address == address && (n.cut[id] || n.down[id]) {
				return errRefused
			}
		}
		return nil
	}
	m.PeerProbe = func(_ context.Context, t deployment.Target) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.down[t.ID] {
			return errRefused
		}
		return nil
	}
	return m
}

func (n *network) set(of map[deployment.TargetID]bool, service string, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, t := range n.targets {
		if t.Service == service {
			of[id] = value
		}
	}
}

func (n *network) pass(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now = n.now.Add(d)
}

// eventually reports whether a condition holds within a second.
func eventually(condition func() bool) bool {
	for range 200 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// TestOnlyPathsThatPeersHaveCountAsCut guards against sending requests through peers to a
// target that is down for all, or silent for a moment, and against missing that only
// this instance does not reach it.
func TestOnlyPathsThatPeersHaveCountAsCut(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(n *network)
		want    bool
	}{
		"silent on its connections":  {func(*network) {}, false},
		"down":                       {func(n *network) { n.down["ledger-0"] = true }, false},
		"service down for all":       {func(n *network) { n.set(n.down, "ledger", true) }, false},
		"cut off from here":          {func(n *network) { n.cut["ledger-0"] = true }, true},
		"all targets cut off":        {func(n *network) { n.set(n.cut, "ledger", true); n.set(n.cut, "models", true) }, true},
		"down behind a cut of other": {func(n *network) { n.set(n.cut, "models", true); n.down["ledger-0"] = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(map[string]int{"models": 12, "ledger": 3})
			m := n.monitor()
			c.disturb(n)
			m.Suspect(n.targets["ledger-0"])
			if got := eventually(func() bool { return m.Cut(n.targets["ledger-0"]) }); got != c.want || m.Cut(n.targets["models-0"]) {
				t.Errorf("cut %t, want %t; another service: %t", got, c.want, m.Cut(n.targets["models-0"]))
			}
		})
	}
}

// TestOtherTargetsAreExpectedBehindCut guards against a connection timeout for each target
// in turn: when two targets of a service are behind a cut path, the others are expected
// to be, unless they have accepted a connection.
func TestOtherTargetsAreExpectedBehindCut(t *testing.T) {
	n := newNetwork(map[string]int{"models": 6, "ledger": 3})
	m := n.monitor()
	m.RecordPeerConnected(n.targets["models-0"])
	if m.Cut(n.targets["models-2"]) {
		t.Error("expected behind a cut because of one target")
	}
	m.RecordPeerConnected(n.targets["models-1"])
	m.RecordConnected(n.targets["models-5"].Address)
	for id, want := range map[deployment.TargetID]bool{"models-0": true, "models-2": true, "models-5": false, "ledger-0": false} {
		if got := m.Cut(n.targets[id]); got != want {
			t.Errorf("%s: cut %t, want %t", id, got, want)
		}
	}
	if services := m.CutOffServices(); len(services) > 0 {
		t.Errorf("cut off from %v with two of six targets", services)
	}
	m.RecordPeerConnected(n.targets["models-2"])
	if services := m.CutOffServices(); !slices.Equal(services, []string{"models"}) {
		t.Errorf("cut off from %v, want models", services)
	}
}

// TestFailuresAtOnceShareTheirProbes guards against a storm of connections when many
// requests fail at the same moment.
func TestFailuresAtOnceShareTheirProbes(t *testing.T) {
	n := newNetwork(map[string]int{"ledger": 3})
	n.down["ledger-0"] = true
	m := n.monitor()
	for range 100 {
		m.Suspect(n.targets["ledger-0"])
	}
	time.Sleep(50 * time.Millisecond)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.probes != 1 {
		t.Errorf("%d probes for 100 failures", n.probes)
	}
}

// TestCutEndsWithConnections checks that a cut is reported, that it ends when targets
// accept connections, and that a second one right after it is found.
func TestCutEndsWithConnections(t *testing.T) {
	n := newNetwork(map[string]int{"models": 4})
	m := n.monitor()
	var mu sync.Mutex
	changes := map[bool]int{}
	m.OnChange = func(_ deployment.Target, cut bool) { mu.Lock(); defer mu.Unlock(); changes[cut]++ }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	for round := 1; round <= 2; round++ {
		n.set(n.cut, "models", true)
		for _, target := range n.targets {
			m.Suspect(target)
		}
		if !eventually(func() bool { mu.Lock(); defer mu.Unlock(); return changes[true] == 4*round }) {
			t.Fatalf("round %d: changes %v", round, changes)
		}
		n.set(n.cut, "models", false)
		if !eventually(func() bool { mu.Lock(); defer mu.Unlock(); return changes[false] == 4*round }) || m.Cut(n.targets["models-0"]) {
			t.Fatalf("round %d: changes %v", round, changes)
		}
		n.pass(time.Second)
	}
	cancel()
	<-done
}
