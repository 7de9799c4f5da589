package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
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

// cutStore fails all calls with unknown outcome while cut is set.
func cutStore(store objectstore.Store, cut *atomic.Bool) objectstore.Store {
	away := objectstore.ErrUnavailable.New("cut")
	s := store
	s.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		if cut.Load() {
			return objectstore.Object{}, away
		}
		return store.Get(ctx, key)
	}
	s.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		if cut.Load() {
			return 0, away
		}
		return store.Put(ctx, key, value, ifVersion)
	}
	s.List = func(ctx context.Context, prefix string) (objectstore.Listing, error) {
		if cut.Load() {
			return objectstore.Listing{}, away
		}
		return store.List(ctx, prefix)
	}
	s.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Changes, error) {
		if cut.Load() {
			return objectstore.Changes{}, away
		}
		return store.Watch(ctx, prefix, after, wait)
	}
	return s
}

// idleCalls is an engine that answers reports and nothing else.
func idleCalls() target.Calls {
	return target.Calls{
		Report: func(context.Context) (target.Report, error) { return target.Report{Slots: 1, MaxBatch: 1}, nil },
		Fence:  func(context.Context, uint64) error { return nil },
		Load:   func(context.Context, adapter.ID, uint64) error { return nil },
		Evict:  func(context.Context, adapter.ID, uint64) error { return nil },
	}
}

// ownershipWorld is one instance's ownership over a store that can be cut off.
type ownershipWorld struct {
	instance.Ownership
	memory objectstore.Memory
	cut    atomic.Bool

	mu          sync.Mutex
	authorities map[string]func(time.Time) target.Authority
}

func (w *ownershipWorld) setUp() {
	w.authorities = map[string]func(time.Time) target.Authority{}
	store := cutStore(w.memory.Store(), &w.cut)
	w.memory.SetTargets(targetEntries(""))
	w.Ownership = instance.Ownership{
		Zone:       "a",
		Self:       instance.Member{ID: "near", Incarnation: "x"},
		GroupCount: 4,
		Store:      store,
		Directory:  &instance.Directory{Store: store, Term: time.Hour, Log: zap.NewNop()},
		LeaseValid: func() bool { return true },
		Leaving:    func() bool { return false },
		Ready:      func() bool { return true },
		AskedPeers: func() bool { return true },
		WatchWait:  time.Second,
		NewOwner:   w.newOwner,
		Log:        zap.NewNop(),
	}
}

// targetEntries returns eight engines, one of them leaving unless leaving is empty.
func targetEntries(leaving string) []objectstore.TargetEntry {
	var entries []objectstore.TargetEntry
	for i := range 8 {
		id := fmt.Sprintf("e%d", i)
		entries = append(entries, objectstore.TargetEntry{ID: id, Zone: "a", Kind: objectstore.TargetEngine, Leaving: id == leaving})
	}
	return entries
}

func (w *ownershipWorld) newOwner(e objectstore.TargetEntry, g instance.Group, authority func(time.Time) target.Authority) *target.Owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.authorities[e.ID] = authority
	return &target.Owner{
		TargetID:      e.ID,
		Engine:        idleCalls(),
		FencingNumber: g.FencingNumber,
		Authority:     authority,
		ReportEvery:   time.Second,
		Log:           zap.NewNop(),
	}
}

func (w *ownershipWorld) owned() int {
	owned := 0
	for _, s := range w.States() {
		if s.Owned {
			owned++
		}
	}
	return owned
}

// held counts the targets for which the instance relies on its lease.
func (w *ownershipWorld) held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := 0
	for _, authority := range w.authorities {
		if authority(time.Now()) == target.Held {
			held++
		}
	}
	return held
}

func (w *ownershipWorld) addPeer(t *testing.T) {
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

// startOwnership runs an instance that has had time to take all groups.
func startOwnership(t *testing.T) (w *ownershipWorld, stop func()) {
	t.Helper()
	w = &ownershipWorld{}
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

// TestHandoverWithoutAnswerLeavesNoTargetWithoutOwner cuts the platform off just
// when groups are due to move to an instance that has come.
func TestHandoverWithoutAnswerLeavesNoTargetWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := startOwnership(t)
		if w.owned() != 8 || w.held() != 8 {
			t.Errorf("%d of 8 targets owned, %d held at the start", w.owned(), w.held())
		}
		w.addPeer(t)
		w.cut.Store(true)
		time.Sleep(10 * time.Second)
		if w.owned() != 8 {
			t.Errorf("%d of 8 targets owned while the handover has no answer", w.owned())
		}
		if w.held() == 8 {
			t.Error("all targets held as if no record could have changed")
		}
		w.cut.Store(false)
		time.Sleep(10 * time.Second)
		if groups := w.Groups(); len(groups) != 2 {
			t.Errorf("groups held after the cut: %s, want 2 of 4", strings.Join(groups, " "))
		}
		stop()
	})
}

// TestLeavingTargetGetsNoNewWork marks a target as leaving in the platform's list.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := startOwnership(t)
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
			t.Error("the leaving target still has an owner for new work")
		}
		request := modelRequest()
		_, err := owner.Execute(t.Context(), request, func(target.Chunk) error { return nil })
		if err == nil || !refusal.From(err).NotRun {
			t.Errorf("Execute() on the leaving target = %v, want a refusal that says 'not run'", err)
		}
		if w.owned() != 7 {
			t.Errorf("%d targets owned, want the other 7", w.owned())
		}
		stop()
	})
}
