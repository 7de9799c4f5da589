package placement

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/wait"
)

// Intervals and timeouts of a holder.
const (
	maintenanceInterval = 250 * time.Millisecond
	// reportInterval is the time between reports of an engine that has no order
	// outstanding.
	reportInterval = 3 * time.Second
	// syncRetryInterval is the time between reports while an order's outcome is
	// unknown; reports lag by some hundred milliseconds.
	syncRetryInterval = 120 * time.Millisecond
	// unansweredBackoff is how long load requests for an engine fail at once after
	// it did not answer.
	unansweredBackoff = 500 * time.Millisecond
	// orderTimeout is the time that the lease must still last when an order is sent.
	// It also limits one round of maintenance of an engine.
	orderTimeout = 300 * time.Millisecond
)

// Holder orders the engines of one zone to load and unload adapters while this
// instance holds the zone's lease. Each engine receives its orders one at a time.
// All state can be rebuilt from the engines' reports and from the other instances'
// counts. Set the exported fields before Run.
type Holder struct {
	Zone  string
	Lease *Lease
	// Targets returns all targets, Service a service by name or nil.
	Targets func() map[deployment.TargetID]deployment.Target
	Service func(name string) *deployment.Service
	// NewestVersion returns the newest announced version of an adapter, or zero.
	NewestVersion func(deployment.AdapterName) uint64
	// InUse reports whether any instance has requests in flight for an adapter on a
	// target.
	InUse func(deployment.TargetID, deployment.AdapterName) bool
	// Available reports whether an engine takes calls from this instance at present;
	// nil means that all do.
	Available func(deployment.Target) bool
	// Order sends an order to an engine, Report reads an engine's report.
	Order  func(ctx context.Context, target deployment.Target, order Order) (Outcome, error)
	Report func(ctx context.Context, target deployment.Target) (Report, error)
	// OnUnanswered is called when an engine did not answer an order or a request for a
	// report; may be nil. It must not block.
	OnUnanswered func(deployment.Target)
	Now          func() time.Time
	Log          *zap.Logger

	// LoadLimiter limits the adapters loading from the weight store.
	LoadLimiter LoadLimiter
	// Loads and Unloads count the orders for adapters that engines accepted, Reports
	// the reports that were requested from engines.
	Loads, Unloads, Reports atomic.Uint64

	// stateSequence counts the calls of States; it orders their results.
	stateSequence atomic.Uint64

	mu      sync.Mutex
	engines map[deployment.TargetID]*managedEngine
	// modelLimiter limits the loads of base models.
	modelLimiter *rate.Limiter
	pending      pendingLoads
}

// managedEngine is an engine with the lock that serializes its orders. Its state
// has a separate lock, so that reading it never waits for an order.
type managedEngine struct {
	orderLock chan struct{}

	mu         sync.Mutex
	state      Engine
	reportedAt time.Time
	// ordering is set from before an order is sent until its outcome is recorded.
	ordering bool
	// unansweredAt is when the engine last failed to report.
	unansweredAt time.Time
	// conflictAt is when the engine last refused an order as conflicting.
	conflictAt time.Time
	// modelLoadUntil is when an ordered load of the base model should be done at
	// the latest.
	modelLoadUntil time.Time
}

// Run maintains the engines while the lease is held, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, ok := h.mayOrder(); !ok {
			h.forgetEngines()
			continue
		}
		h.maintain(ctx)
	}
}

// mayOrder returns the fencing number if an order may be sent now: the lease must
// still last for orderTimeout, to leave time for the answer.
func (h *Holder) mayOrder() (uint64, bool) { return h.Lease.Held(h.Now().Add(orderTimeout)) }

// Holds reports whether this instance may order the zone's engines.
func (h *Holder) Holds() bool {
	_, ok := h.mayOrder()
	return ok
}

func (h *Holder) forgetEngines() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engines = nil
}

// zoneEngines returns the zone's engines that are not draining.
func (h *Holder) zoneEngines() []deployment.Target {
	var engines []deployment.Target
	for _, t := range h.Targets() {
		if t.Zone != h.Zone || t.Draining {
			continue
		}
		if s := h.Service(t.Service); s != nil && s.Engine != nil {
			engines = append(engines, t)
		}
	}
	return engines
}

// available reports whether an engine may be called. It may have left since it was read from
// Targets.
func (h *Holder) available(t deployment.Target) bool {
	listed, ok := h.Targets()[t.ID]
	return ok && listed.Generation == t.Generation && !listed.Draining && (h.Available == nil || h.Available(t))
}

func (h *Holder) engine(t deployment.Target) *managedEngine {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.engines == nil {
		h.engines = map[deployment.TargetID]*managedEngine{}
	}
	e, ok := h.engines[t.ID]
	if !ok {
		e = &managedEngine{orderLock: make(chan struct{}, 1), state: Engine{ID: t.ID, Generation: t.Generation}}
		h.engines[t.ID] = e
	}
	return e
}

// maintain reads reports that are due, loads missing base models and replaces
// outdated adapters that are idle.
func (h *Holder) maintain(ctx context.Context) {
	engines := h.zoneEngines()
	h.retainEngines(engines)
	var group conc.WaitGroup
	for _, t := range engines {
		e := h.engine(t)
		group.Go(func() { h.maintainEngine(ctx, t, e) })
	}
	group.Wait()
}

// retainEngines removes the state of all engines except the given ones.
func (h *Holder) retainEngines(engines []deployment.Target) {
	retained := make(map[deployment.TargetID]bool, len(engines))
	for _, t := range engines {
		retained[t.ID] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.engines {
		if !retained[id] {
			delete(h.engines, id)
		}
	}
}

func (h *Holder) maintainEngine(ctx context.Context, t deployment.Target, e *managedEngine) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !h.available(t) {
		return
	}
	e.mu.Lock()
	due := !e.state.Synced() || e.state.Generation != t.Generation || e.state.unloading() || e.modelLoadPending() || h.Now().Sub(e.reportedAt) > reportInterval
	e.mu.Unlock()
	if due && !h.sync(ctx, t, e) {
		return
	}
	if !e.lock(ctx) {
		return
	}
	defer e.unlock()
	if h.loadModel(ctx, t, e) {
		return
	}
	e.mu.Lock()
	name, ok := e.state.Outdated(h.NewestVersion, h.inUse(t.ID), h.Now())
	e.mu.Unlock()
	if ok && h.coldLoading(h.Now()) < h.coldLoadLimit() && h.WaitingLoads() == 0 {
		h.orderLoad(ctx, t, e, name, h.NewestVersion(name))
	}
}

func (h *Holder) inUse(id deployment.TargetID) func(deployment.AdapterName) bool {
	return func(name deployment.AdapterName) bool { return h.InUse(id, name) }
}

// sync reads an engine's report. It reports whether the state is known afterwards. A
// report that arrives during an order is ignored, since it may count the order already.
func (h *Holder) sync(ctx context.Context, t deployment.Target, e *managedEngine) bool {
	h.Reports.Add(1)
	report, err := h.Report(ctx, t)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		h.unanswered(t)
		e.unansweredAt = h.Now()
		h.Log.Debug("engine report failed", zap.String("target", string(t.ID)), zap.Error(err))
		return false
	}
	if s := h.Service(t.Service); s != nil && s.Engine != nil {
		e.state.Slots = s.Engine.AdapterSlots
	}
	if e.ordering {
		return e.state.Synced()
	}
	e.reportedAt = h.Now()
	return e.state.ApplyReport(report, e.reportedAt)
}

// awaitSync reads reports until the engine's state is known. It gives up when the
// engine takes no calls or does not answer, and then fails at once during unansweredBackoff.
func (h *Holder) awaitSync(ctx context.Context, t deployment.Target, e *managedEngine) bool {
	for ctx.Err() == nil {
		e.mu.Lock()
		synced, unanswered := e.state.Synced(), h.Now().Sub(e.unansweredAt) < unansweredBackoff
		e.mu.Unlock()
		if synced {
			return true
		}
		if unanswered || !h.available(t) {
			return false
		}
		if h.sync(ctx, t, e) {
			return true
		}
		if wait.Sleep(ctx, syncRetryInterval) != nil {
			break
		}
	}
	return false
}

// orderLoad orders a load. It reports whether the engine accepted it.
func (h *Holder) orderLoad(ctx context.Context, t deployment.Target, e *managedEngine, name deployment.AdapterName, version uint64) bool {
	outcome := h.order(ctx, t, e, Order{Operation: Load, AdapterName: name, Version: version})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordering = false
	switch outcome {
	case Started:
		h.Loads.Add(1)
		e.state.RecordLoad(name, version, h.Now())
		return true
	case Done:
		e.state.MarkStale()
	}
	return false
}

func (h *Holder) orderUnload(ctx context.Context, t deployment.Target, e *managedEngine, name deployment.AdapterName) {
	outcome := h.order(ctx, t, e, Order{Operation: Unload, AdapterName: name})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordering = false
	if outcome == Started || outcome == Done {
		h.Unloads.Add(1)
		e.state.RecordUnload(name, outcome == Done, h.Now())
	}
}

// order sends one order under the lease. Unless the engine accepts it, the
// engine's state has to be read again. The caller records the outcome and then clears
// ordering.
func (h *Holder) order(ctx context.Context, t deployment.Target, e *managedEngine, order Order) Outcome {
	fencing, ok := h.mayOrder()
	if !ok || !h.available(t) {
		return Rejected
	}
	e.mu.Lock()
	order.Sequence = e.state.Sequence
	e.ordering = true
	e.mu.Unlock()
	order.Holder, order.FencingNumber = h.Lease.Holder, fencing
	outcome, err := h.Order(ctx, t, order)
	h.Log.Info("order sent", zap.String("target", string(t.ID)), zap.String("operation", string(order.Operation)),
		zap.String("model", order.Model), zap.String("adapter", order.Adapter), zap.Uint64("version", order.Version),
		zap.Uint64("sequence", order.Sequence), zap.Uint64("fencing_number", fencing), zap.Stringer("outcome", outcome), zap.Error(err))
	if outcome == Unanswered {
		h.unanswered(t)
	}
	if outcome != Started && outcome != Done {
		e.mu.Lock()
		e.state.MarkStale()
		if outcome == Conflicting {
			e.conflictAt = h.Now()
		}
		e.mu.Unlock()
	}
	return outcome
}

func (h *Holder) unanswered(t deployment.Target) {
	if h.OnUnanswered != nil {
		h.OnUnanswered(t)
	}
}

// RecordUse records that requests use an adapter on an engine. Their number may be
// fractional.
func (h *Holder) RecordUse(id deployment.TargetID, name deployment.AdapterName, requests float64) {
	h.mu.Lock()
	e, ok := h.engines[id]
	h.mu.Unlock()
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.RecordUse(name, requests, h.Now())
}

// managedEngines returns the engines that this instance orders.
func (h *Holder) managedEngines() []*managedEngine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.engines))
}

// EngineState is an engine's state as it is published to the other instances.
type EngineState struct {
	Target     deployment.TargetID
	Generation int64
	// FencingNumber and Sequence order the states of one generation of an engine.
	FencingNumber uint64
	Sequence      uint64
	Residents     []Resident
	Models        []string
}

// States returns the states of the engines that this instance orders.
func (h *Holder) States() []EngineState {
	fencing, ok := h.mayOrder()
	if !ok {
		return nil
	}
	sequence := h.stateSequence.Add(1)
	var states []EngineState
	for _, e := range h.managedEngines() {
		e.mu.Lock()
		if e.state.models != nil {
			residents, models := e.state.Residents()
			states = append(states, EngineState{
				Target: e.state.ID, Generation: e.state.Generation, FencingNumber: fencing, Sequence: sequence, Residents: residents, Models: models,
			})
		}
		e.mu.Unlock()
	}
	return states
}

func (e *managedEngine) lock(ctx context.Context) bool {
	select {
	case e.orderLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *managedEngine) unlock() { <-e.orderLock }
