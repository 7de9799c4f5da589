package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/instance"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

// partitionedStore returns a store whose reads, writes and watches fail with an
// unknown outcome after callTimeout while partitioned is set.
func partitionedStore(store objectstore.Store, partitioned *atomic.Bool, callTimeout time.Duration) objectstore.Store {
	fail := func() error {
		time.Sleep(callTimeout)
		return objectstore.ErrUnavailable.New("cut")
	}
	s := store
	s.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		if partitioned.Load() {
			return objectstore.Object{}, fail()
		}
		return store.Get(ctx, key)
	}
	s.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		if partitioned.Load() {
			return 0, fail()
		}
		return store.Put(ctx, key, value, ifVersion)
	}
	s.List = func(ctx context.Context, prefix string) (objectstore.Listing, error) {
		if partitioned.Load() {
			return objectstore.Listing{}, fail()
		}
		return store.List(ctx, prefix)
	}
	s.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Changes, error) {
		if partitioned.Load() {
			return objectstore.Changes{}, fail()
		}
		return store.Watch(ctx, prefix, after, wait)
	}
	return s
}

// idleEngine returns the calls of an engine that accepts all orders and reports
// no load. It cannot run requests.
func idleEngine() target.Calls {
	return target.Calls{
		Report: func(context.Context) (target.Report, error) { return target.Report{Slots: 1, MaxBatch: 1}, nil },
		Fence:  func(context.Context, uint64) error { return nil },
		Load:   func(context.Context, adapter.ID, uint64) error { return nil },
		Evict:  func(context.Context, adapter.ID, uint64) error { return nil },
	}
}

// ownershipFixture is the Ownership of one instance over a store that can be
// made unavailable.
type ownershipFixture struct {
	instance.Ownership
	memory      objectstore.Memory
	partitioned atomic.Bool
	// callTimeout is how long a call to the unavailable store takes to fail.
	callTimeout time.Duration

	mu sync.Mutex
	// authorities holds the authority function of each target's last owner.
	authorities map[string]func(time.Time) target.Authority
}

func (w *ownershipFixture) setUp() {
	w.authorities = map[string]func(time.Time) target.Authority{}
	store := partitionedStore(w.memory.Store(), &w.partitioned, w.callTimeout)
	w.memory.SetTargets(targetEntries(""))
	w.Ownership = instance.Ownership{
		Zone:         "a",
		Self:         instance.Member{ID: "near", Incarnation: "x"},
		GroupCount:   4,
		Store:        store,
		Directory:    &instance.Directory{Store: store, Term: time.Hour, Log: zap.NewNop()},
		LeaseValid:   func() bool { return true },
		Leaving:      func() bool { return false },
		Ready:        func() bool { return true },
		PeersQueried: func() bool { return true },
		WatchWait:    time.Second,
		NewOwner:     w.newOwner,
		Log:          zap.NewNop(),
	}
}

// targetEntries returns eight engines; the one with the given ID is leaving.
func targetEntries(leaving string) []objectstore.TargetEntry {
	var entries []objectstore.TargetEntry
	for i := range 8 {
		id := fmt.Sprintf("e%d", i)
		entries = append(entries, objectstore.TargetEntry{ID: id, Zone: "a", Kind: objectstore.TargetEngine, Leaving: id == leaving})
	}
	return entries
}

func (w *ownershipFixture) newOwner(e objectstore.TargetEntry, g instance.Group, authority func(time.Time) target.Authority) *target.Owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.authorities[e.ID] = authority
	return &target.Owner{
		TargetID:      e.ID,
		Engine:        idleEngine(),
		FencingNumber: g.FencingNumber,
		Authority:     authority,
		ReportEvery:   time.Second,
		Log:           zap.NewNop(),
	}
}

// ownedTargets counts the targets that the instance owns.
func (w *ownershipFixture) ownedTargets() int {
	count := 0
	for _, s := range w.States() {
		if s.Owned {
			count++
		}
	}
	return count
}

// heldTargets counts the targets whose owner has authority Held. It calls the
// authorities without the fixture's mutex: they take the mutex of Ownership, which is
// held when newOwner takes the fixture's.
func (w *ownershipFixture) heldTargets() int {
	w.mu.Lock()
	authorities := maps.Clone(w.authorities)
	w.mu.Unlock()
	count := 0
	for _, authority := range authorities {
		if authority(time.Now()) == target.Held {
			count++
		}
	}
	return count
}

// addPeer adds a second ready instance to the zone.
func (w *ownershipFixture) addPeer(t *testing.T) {
	t.Helper()
	lease, err := json.Marshal(objectstore.InstanceLease{ID: "other", Zone: "a", Incarnation: "y", Ready: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.memory.Store().Put(t.Context(), objectstore.InstanceLeaseKey("other"), lease, 0); err != nil {
		t.Fatal(err)
	}
	if err := w.Directory.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// startOwnership starts an instance and waits until it can have acquired all groups.
// Calls to its store take callTimeout to fail while the store is unavailable.
func startOwnership(t *testing.T, callTimeout time.Duration) (w *ownershipFixture, stop func()) {
	t.Helper()
	w = &ownershipFixture{callTimeout: callTimeout}
	w.setUp()
	if err := w.Directory.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { w.Run(ctx) })
	time.Sleep(time.Second)
	return w, func() {
		cancel()
		tasks.Wait()
		w.Stop(context.Background())
	}
}

// TestUnansweredHandoverLeavesNoTargetWithoutOwner guards against targets that
// lose their owner when the write of a handover has an unknown outcome. The
// platform becomes unavailable when groups should move to a new instance.
func TestUnansweredHandoverLeavesNoTargetWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := startOwnership(t, 0)
		if w.ownedTargets() != 8 || w.heldTargets() != 8 {
			t.Errorf("%d of 8 targets owned, %d held at the start", w.ownedTargets(), w.heldTargets())
		}
		w.addPeer(t)
		w.partitioned.Store(true)
		time.Sleep(10 * time.Second)
		if w.ownedTargets() != 8 {
			t.Errorf("%d of 8 targets owned while the outcome of the handover is unknown", w.ownedTargets())
		}
		if w.heldTargets() == 8 {
			t.Error("all 8 targets have authority Held, although the outcome of the handover is unknown")
		}
		w.partitioned.Store(false)
		time.Sleep(10 * time.Second)
		if groups := w.HeldGroups(); len(groups) != 2 {
			t.Errorf("groups held after the platform is back: %s, want 2 of 4", strings.Join(groups, " "))
		}
		stop()
	})
}

// TestUnansweredHandoverDrainsTargetsOnce guards against targets that have no owner
// for most of an outage of the platform: while the outcome of a handover's write is
// unknown, each planning drained the owners again for one more write, and they stayed
// drained during the writes of the other groups.
func TestUnansweredHandoverDrainsTargetsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			callTimeout = 800 * time.Millisecond
			sampleEvery = 10 * time.Millisecond
		)
		w, stop := startOwnership(t, callTimeout)
		w.addPeer(t)
		w.partitioned.Store(true)
		unowned := map[string]time.Duration{}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(sampleEvery) {
			for _, e := range targetEntries("") {
				if _, ok := w.Owner(e.ID); !ok {
					unowned[e.ID] += sampleEvery
				}
			}
		}
		if len(unowned) != 4 {
			t.Errorf("%d of 8 targets drained, want the 4 of the 2 groups to hand over", len(unowned))
		}
		for id, duration := range unowned {
			if duration > callTimeout+sampleEvery {
				t.Errorf("%s had no owner for %s of 10s, want at most the %s of one write", id, duration, callTimeout)
			}
		}
		w.partitioned.Store(false)
		stop()
	})
}

// TestLeavingTargetGetsNoNewRequests checks that a target has no owner for new
// requests once the platform lists it as leaving, and that its draining owner
// refuses requests.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := startOwnership(t, 0)
		owner, ok := w.Owner("e3")
		if !ok {
			t.Fatal("the target has no owner at the start")
		}
		w.memory.SetTargets(targetEntries("e3"))
		if err := w.Directory.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, ok := w.Owner("e3"); ok {
			t.Error("the leaving target still has an owner for new requests")
		}
		request := modelRequest()
		_, err := owner.Execute(t.Context(), request, func(target.Chunk) error { return nil })
		if err == nil || !refusal.From(err).NotRun {
			t.Errorf("Execute() on the leaving target = %v, want a refusal with NotRun set", err)
		}
		if w.ownedTargets() != 7 {
			t.Errorf("%d targets owned, want the other 7", w.ownedTargets())
		}
		stop()
	})
}
