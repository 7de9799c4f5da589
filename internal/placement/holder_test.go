package placement_test

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
)

// memoryStore is an object store in memory, without history.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]platformstore.Object
	// generation rises with each restore, seen is the highest one of any answer.
	generation, seen uint64
	// fails is the error that all calls return; nil lets them succeed.
	fails error
}

func (s *memoryStore) store() platformstore.Store {
	return platformstore.Store{Get: s.get, Create: s.create, Replace: s.replace, SeenGeneration: s.seenGeneration}
}

func (s *memoryStore) seenGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// copyOf is a copy of a memoryStore.
type copyOf struct {
	revision uint64
	objects  map[string]platformstore.Object
}

func (s *memoryStore) snapshot() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOf{revision: s.revision, objects: maps.Clone(s.objects)}
}

// restore brings the store back to a copy.
func (s *memoryStore) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.revision, s.objects = c.revision, maps.Clone(c.objects)
}

func (s *memoryStore) get(_ context.Context, _ platformstore.Kind, name string) (platformstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails != nil {
		return platformstore.Object{}, s.fails
	}
	s.seen = s.generation
	o, ok := s.objects[name]
	if !ok {
		return platformstore.Object{}, platformstore.ErrNotFound.New("%s", name)
	}
	o.Generation = s.generation
	return o, nil
}

func (s *memoryStore) create(_ context.Context, _ platformstore.Kind, name string, value any) (platformstore.Object, error) {
	return s.write(name, 0, value)
}

func (s *memoryStore) replace(_ context.Context, _ platformstore.Kind, name string, revision uint64, value any) (platformstore.Object, error) {
	return s.write(name, revision, value)
}

func (s *memoryStore) write(name string, revision uint64, value any) (platformstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails != nil {
		return platformstore.Object{}, s.fails
	}
	s.seen = s.generation
	if _, ok := s.objects[name]; revision > 0 && !ok {
		return platformstore.Object{}, platformstore.ErrNotFound.New("%s", name)
	}
	if s.objects[name].Revision != revision {
		return platformstore.Object{}, platformstore.ErrConflict.New("%s", name)
	}
	s.revision++
	o := platformstore.Object{Name: name, Revision: s.revision, Generation: s.generation, Value: mustJSON(value)}
	if s.objects == nil {
		s.objects = map[string]platformstore.Object{}
	}
	s.objects[name] = o
	return o, nil
}

// testEngine is a fake engine that answers a Holder's calls.
type testEngine struct {
	mu       sync.Mutex
	sequence uint64
	adapters []deployment.Adapter
	orders   []placement.Order
	// answer is the outcome of each order.
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

// newHolder returns a holder that holds its lease, with one engine.
func newHolder(t *testing.T, e *testEngine) *placement.Holder {
	t.Helper()
	h := newHolderOf(t, &deployment.Engine{AdapterSlots: testSlots, Models: []deployment.Model{{Name: testModel}}}, testTarget)
	h.Order, h.Report = e.order, e.report
	return h
}

// newHolderOf returns a holder that holds its lease, with engines of one kind. The
// caller sets Order and Report.
func newHolderOf(t *testing.T, kind *deployment.Engine, engines ...deployment.TargetID) *placement.Holder {
	t.Helper()
	store := &memoryStore{}
	lease := &placement.Lease{Store: store.store(), Name: "zone", Holder: "instance-1", Incarnation: "1", Now: time.Now, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go lease.Run(ctx)
	targets := map[deployment.TargetID]deployment.Target{}
	for _, id := range engines {
		targets[id] = deployment.Target{ID: id, Zone: "zone", Service: "models"}
	}
	service := &deployment.Service{Engine: kind}
	h := &placement.Holder{
		Zone:          "zone",
		Lease:         lease,
		Targets:       func() map[deployment.TargetID]deployment.Target { return targets },
		Service:       func(string) *deployment.Service { return service },
		NewestVersion: func(deployment.AdapterName) uint64 { return 0 },
		InUse:         func(deployment.TargetID, deployment.AdapterName) bool { return false },
		Now:           time.Now,
		Log:           zap.NewNop(),
	}
	for !h.Holds() {
		time.Sleep(time.Millisecond)
	}
	return h
}

// TestConcurrentRequestsShareOneLoad guards against one order per request when many
// requests arrive at once for an adapter that is not loaded.
func TestConcurrentRequestsShareOneLoad(t *testing.T) {
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
		t.Errorf("%d orders, want 1", len(e.orders))
	}
}

// TestLoadThatIsNeverAcceptedIsNotReady guards against reporting an adapter as ready
// when its load was not accepted within the time limit.
func TestLoadThatIsNeverAcceptedIsNotReady(t *testing.T) {
	e := &testEngine{answer: placement.Conflicting}
	h := newHolder(t, e)
	if result, _, _ := h.Load(context.Background(), testTarget, adapterName(1), 0); result == placement.Ready {
		t.Error("ready although the engine never accepted a load")
	}
}

// TestNoOrdersWithoutLease checks that an instance without the lease sends no orders.
func TestNoOrdersWithoutLease(t *testing.T) {
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

// emptyEngines are fake engines that restarted without a base model. A load takes
// emptyLoadTime, and reports lag by emptyLag.
type emptyEngines struct {
	mu     sync.Mutex
	loaded map[deployment.TargetID]time.Time
	orders map[deployment.TargetID]int
}

const (
	emptyLoadTime = 200 * time.Millisecond
	emptyLag      = 100 * time.Millisecond
)

func (e *emptyEngines) order(_ context.Context, t deployment.Target, _ placement.Order) (placement.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[t.ID]++
	if at, ok := e.loaded[t.ID]; ok && time.Now().Before(at) {
		return placement.Conflicting, nil
	}
	e.loaded[t.ID] = time.Now().Add(emptyLoadTime)
	return placement.Started, nil
}

func (e *emptyEngines) report(_ context.Context, t deployment.Target) (placement.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.loaded[t.ID]
	report := placement.Report{Sequence: uint64(e.orders[t.ID])}
	if ok && time.Since(at) > emptyLag {
		report.Models = []deployment.ResidentModel{{Name: testModel}}
	}
	return report, nil
}

func (e *emptyEngines) all() (ordered, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.orders {
		most = max(most, n)
	}
	return len(e.orders), most
}

// TestEmptyEnginesLoadTheBaseModelOnce covers a quarter of the engines crashing
// together and restarting empty: each must be ordered once to load the base model,
// as fast as the weight store's rate allows, and must load adapters as soon as a
// report lists the model.
func TestEmptyEnginesLoadTheBaseModelOnce(t *testing.T) {
	kind := &deployment.Engine{
		AdapterSlots: testSlots, MaxWeightsMB: 10, ModelLoadsPerSecond: 10,
		Models: []deployment.Model{{Name: testModel, WeightsMB: 5, LoadTime: emptyLoadTime}},
	}
	ids := []deployment.TargetID{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6", "engine-7", "engine-8"}
	h := newHolderOf(t, kind, ids...)
	e := &emptyEngines{loaded: map[deployment.TargetID]time.Time{}, orders: map[deployment.TargetID]int{}}
	h.Order, h.Report = e.order, e.report
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(2500 * time.Millisecond)
	ordered, most := e.all()
	if ordered != len(ids) || most != 1 {
		t.Errorf("%d of %d engines were ordered to load the model, one of them %d times", ordered, len(ids), most)
	}
	if result, _, _ := h.Load(ctx, ids[0], adapterName(1), 0); result != placement.Ready {
		t.Errorf("result %v for an adapter of a loaded model", result)
	}
}

// TestUnavailableEngineIsNotCalled guards against orders and reports, also on behalf of
// other instances, to an engine that states that it takes no calls, be it before the
// load request or in the answer to the report that precedes the order.
func TestUnavailableEngineIsNotCalled(t *testing.T) {
	e := &testEngine{answer: placement.Started}
	h := newHolder(t, e)
	available := true
	h.Available = func(deployment.Target) bool { return available }
	h.Report = func(ctx context.Context, target deployment.Target) (placement.Report, error) {
		available = false
		return e.report(ctx, target)
	}
	for range 2 {
		result, _, _ := h.Load(context.Background(), testTarget, adapterName(1), 0)
		if result != placement.NotHolder {
			t.Errorf("result %s, want %s", result, placement.NotHolder)
		}
	}
	if n := h.Reports.Load(); n != 1 || len(e.orders) != 0 {
		t.Errorf("%d reports and %d orders, want 1 and none", n, len(e.orders))
	}
}

// TestEngineThatLeavesBeforeItsOrderGetsNone guards against an order to an engine that drains,
// is removed, or has another process since the load request began (DRAIN).
func TestEngineThatLeavesBeforeItsOrderGetsNone(t *testing.T) {
	listed := deployment.Target{ID: testTarget, Zone: "zone", Service: "models", Generation: 1}
	draining, replaced := listed, listed
	draining.Draining, replaced.Generation = true, 2
	for name, left := range map[string]map[deployment.TargetID]deployment.Target{
		"draining": {testTarget: draining}, "removed": {}, "replaced": {testTarget: replaced},
	} {
		e := &testEngine{answer: placement.Started}
		h := newHolder(t, e)
		var targets atomic.Pointer[map[deployment.TargetID]deployment.Target]
		targets.Store(&map[deployment.TargetID]deployment.Target{testTarget: listed})
		h.Targets = func() map[deployment.TargetID]deployment.Target { return *targets.Load() }
		ordered := 0
		h.Order = func(_ context.Context, target deployment.Target, o placement.Order) (placement.Outcome, error) {
			if target.Generation == listed.Generation {
				ordered++
			}
			return e.order(context.Background(), target, o)
		}
		h.Report = func(ctx context.Context, target deployment.Target) (placement.Report, error) {
			targets.Store(&left)
			return e.report(ctx, target)
		}
		if _, _, _ = h.Load(context.Background(), testTarget, adapterName(1), 0); ordered != 0 {
			t.Errorf("%s: %d orders", name, ordered)
		}
	}
}
