package placement_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/object"
	"heatherrelay/internal/placement"
)

// memoryStore is a store of objects without history.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object.Object
	// fails is the error of all calls; nil serves them.
	fails error
}

func (s *memoryStore) store() object.Store {
	return object.Store{Get: s.get, Create: s.create, Replace: s.replace}
}

func (s *memoryStore) get(_ context.Context, _ object.Kind, name string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails != nil {
		return object.Object{}, s.fails
	}
	o, ok := s.objects[name]
	if !ok {
		return object.Object{}, object.ErrNotFound.New("%s", name)
	}
	return o, nil
}

func (s *memoryStore) create(_ context.Context, _ object.Kind, name string, value any) (object.Object, error) {
	return s.write(name, 0, value)
}

func (s *memoryStore) replace(_ context.Context, _ object.Kind, name string, revision uint64, value any) (object.Object, error) {
	return s.write(name, revision, value)
}

func (s *memoryStore) write(name string, revision uint64, value any) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails != nil {
		return object.Object{}, s.fails
	}
	if s.objects[name].Revision != revision {
		return object.Object{}, object.ErrConflict.New("%s", name)
	}
	s.revision++
	o := object.Object{Name: name, Revision: s.revision, Value: mustJSON(value)}
	if s.objects == nil {
		s.objects = map[string]object.Object{}
	}
	s.objects[name] = o
	return o, nil
}

// testEngine is an engine behind a Holder's calls.
type testEngine struct {
	mu       sync.Mutex
	sequence uint64
	adapters []deployment.Adapter
	orders   []placement.Order
	// answer is what the engine says to each order.
	answer placement.Outcome
}

func (e *testEngine) order(_ context.Context, _ deployment.Target, o placement.Order) (placement.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.answer == placement.Started {
		e.sequence++
	}
	return e.answer, nil
}

func (e *testEngine) report(context.Context, deployment.Target) (placement.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reportOf(e.sequence, e.adapters...), nil
}

const testTarget = deployment.TargetID("engine-1")

// newHolder returns a holder that holds its lease, in front of one engine.
func newHolder(t *testing.T, e *testEngine) *placement.Holder {
	t.Helper()
	store := &memoryStore{}
	lease := &placement.Lease{Store: store.store(), Name: "zone", Holder: "instance-1", Incarnation: "1", Now: time.Now, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go lease.Run(ctx)
	service := &deployment.Service{Engine: &deployment.Engine{AdapterSlots: testSlots, Models: []deployment.Model{{Name: testModel}}}}
	h := &placement.Holder{
		Zone:  "zone",
		Lease: lease,
		Targets: func() map[deployment.TargetID]deployment.Target {
			return map[deployment.TargetID]deployment.Target{testTarget: {ID: testTarget, Zone: "zone", Service: "models"}}
		},
		Service:       func(string) *deployment.Service { return service },
		NewestVersion: func(deployment.AdapterName) uint64 { return 0 },
		InUse:         func(deployment.TargetID, deployment.AdapterName) bool { return false },
		Order:         e.order,
		Report:        e.report,
		Now:           time.Now,
		Log:           zap.NewNop(),
	}
	for !h.Holds() {
		time.Sleep(time.Millisecond)
	}
	return h
}

// TestWishesForOneAdapterShareOneLoad answers the pattern of a rare adapter that
// many ask for at once.
func TestWishesForOneAdapterShareOneLoad(t *testing.T) {
	e := &testEngine{answer: placement.Started}
	h := newHolder(t, e)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			if result, readyAt, _ := h.Load(context.Background(), testTarget, adapterName(1), 0); result != placement.Ready || readyAt.IsZero() {
				t.Errorf("result %v, ready at %v", result, readyAt)
			}
		})
	}
	group.Wait()
	if len(e.orders) != 1 {
		t.Errorf("%d orders", len(e.orders))
	}
}

// TestLoadWithoutTurnIsNotReady answers the pattern of a weight store that is
// busy for longer than a request can wait: the wish must not count as fulfilled.
func TestLoadWithoutTurnIsNotReady(t *testing.T) {
	e := &testEngine{answer: placement.Conflicting}
	h := newHolder(t, e)
	if result, _, _ := h.Load(context.Background(), testTarget, adapterName(1), 0); result == placement.Ready {
		t.Error("an adapter that was never ordered counts as ready")
	}
}

// TestNothingIsOrderedWithoutLease checks that an instance whose lease is not
// renewed sends no orders.
func TestNothingIsOrderedWithoutLease(t *testing.T) {
	e := &testEngine{answer: placement.Started}
	h := newHolder(t, e)
	h.Lease = &placement.Lease{Now: time.Now}
	if result, _, _ := h.Load(context.Background(), testTarget, adapterName(1), 0); result != placement.NotHolder {
		t.Errorf("result %v", result)
	}
	if len(e.orders) != 0 {
		t.Errorf("%d orders without the lease", len(e.orders))
	}
}
