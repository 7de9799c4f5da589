package placement

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/wait"
)

const (
	// loadStepInterval is the time between attempts to make progress with a load.
	loadStepInterval = 15 * time.Millisecond
	// conflictBackoff is how long no order follows one refused as conflicting.
	conflictBackoff = 70 * time.Millisecond
	// maxLoadWait is how long a load request may wait until its load is accepted.
	maxLoadWait = 1500 * time.Millisecond
	// maxWaitersPerLoad limits the load requests that wait for the weight store,
	// for each load that may be in progress: later ones would miss their deadline anyway.
	maxWaitersPerLoad = 8
)

// loadKey identifies an adapter on an engine.
type loadKey struct {
	target deployment.TargetID
	name   deployment.AdapterName
}

// loadRequest is a request to load an adapter on an engine. All callers that need
// the same adapter share it. The results are set before done is closed.
type loadRequest struct {
	loadKey
	version uint64
	// rank is that of the most urgent caller; the holder's lock guards it.
	rank          inflight.Rank
	done          chan struct{}
	result        Result
	readyAt       time.Time
	loadedVersion uint64
}

// pendingLoads are the load requests in progress. coldQueue holds those that wait
// for the weight store, the most urgent first and of these the oldest.
type pendingLoads struct {
	byKey     map[loadKey]*loadRequest
	coldQueue []*loadRequest
}

// Load loads an adapter on an engine. It waits until the load is accepted or cannot
// be ordered, and returns when the adapter is expected to be ready, and its version.
func (h *Holder) Load(ctx context.Context, id deployment.TargetID, name deployment.AdapterName, version uint64) (Result, time.Time, uint64) {
	return h.LoadRanked(ctx, id, name, version, 0)
}

// LoadRanked is Load for a caller of a rank. Of the loads that wait for the weight store, the
// most urgent is next.
func (h *Holder) LoadRanked(ctx context.Context, id deployment.TargetID, name deployment.AdapterName, version uint64, rank inflight.Rank) (Result, time.Time, uint64) {
	t, ok := h.Targets()[id]
	if !ok || t.Zone != h.Zone || !h.available(t) || !h.Holds() {
		return NotHolder, time.Time{}, 0
	}
	request, ok := h.join(loadKey{target: id, name: name}, version, rank)
	if !ok {
		return Full, time.Time{}, 0
	}
	select {
	case <-request.done:
		return request.result, request.readyAt, request.loadedVersion
	case <-ctx.Done():
		return Failed, time.Time{}, 0
	}
}

// join returns the load request for an adapter at the given version or a later one,
// and starts one if there is none. It reports false when too many wait for the weight
// store.
func (h *Holder) join(key loadKey, version uint64, rank inflight.Rank) (*loadRequest, bool) {
	limit := h.coldLoadLimit()
	h.mu.Lock()
	defer h.mu.Unlock()
	if request, ok := h.pending.byKey[key]; ok && request.version >= version {
		if rank < request.rank {
			// It takes its new place in the queue with its next step.
			request.rank = rank
			h.dequeue(request)
		}
		return request, true
	}
	if len(h.pending.coldQueue) >= maxWaitersPerLoad*limit {
		h.Log.Info("adapter not loaded", zap.String("target", string(key.target)), zap.String("adapter", key.name.Adapter),
			zap.String("reason", "too many load requests wait for the weight store"), zap.Int("waiting", len(h.pending.coldQueue)))
		return nil, false
	}
	if h.pending.byKey == nil {
		h.pending.byKey = map[loadKey]*loadRequest{}
	}
	request := &loadRequest{loadKey: key, version: version, rank: rank, done: make(chan struct{})}
	h.pending.byKey[key] = request
	go h.process(request)
	return request, true
}

// process runs a load request to its end.
func (h *Holder) process(request *loadRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLoadWait)
	defer cancel()
	request.result = h.stepUntilDone(ctx, request)
	h.mu.Lock()
	if h.pending.byKey[request.loadKey] == request {
		delete(h.pending.byKey, request.loadKey)
	}
	h.dequeue(request)
	h.mu.Unlock()
	close(request.done)
}

// stepUntilDone takes steps until the load is accepted, cannot be ordered, or times
// out.
func (h *Holder) stepUntilDone(ctx context.Context, request *loadRequest) Result {
	for ctx.Err() == nil {
		t, ok := h.Targets()[request.target]
		if !ok || !h.available(t) || !h.Holds() {
			return NotHolder
		}
		e := h.engine(t)
		if result, done := h.loadStep(ctx, t, e, request); done {
			e.mu.Lock()
			request.readyAt, request.loadedVersion = e.state.ReadyAt(request.name)
			e.mu.Unlock()
			return result
		}
		if wait.Sleep(ctx, loadStepInterval) != nil {
			break
		}
	}
	h.logNotLoaded(request, "timed out before the load could be ordered")
	return Full
}

// loadStep takes one step towards loading an adapter. done is set when the request
// needs no further step.
func (h *Holder) loadStep(ctx context.Context, t deployment.Target, e *managedEngine, request *loadRequest) (result Result, done bool) {
	if !e.lock(ctx) {
		h.logNotLoaded(request, "timed out behind another order to the engine")
		return Failed, true
	}
	defer e.unlock()
	if !h.awaitSync(ctx, t, e) {
		h.logNotLoaded(request, "the state of the engine is unknown")
		return Failed, true
	}
	step, victim := h.nextStep(t, e, request)
	if step == StepUnload && h.allowLoad(e, request) {
		h.orderUnload(ctx, t, e, victim)
		step, _ = h.nextStep(t, e, request)
		if step == StepUnload {
			// The unload waits for requests in flight; its slot is occupied until then.
			return Full, false
		}
	}
	switch step {
	case StepReady:
		return Ready, true
	case StepLoad:
		return Ready, h.allowLoad(e, request) && h.orderLoad(ctx, t, e, request.name, request.version)
	case StepFull:
		h.logFull(t, e, request)
		return Full, true
	case StepNoModel:
		h.logNotLoaded(request, "the engine lacks the base model")
		return Failed, true
	}
	return Full, false
}

func (h *Holder) logNotLoaded(request *loadRequest, reason string) {
	h.Log.Info("adapter not loaded", zap.String("target", string(request.target)), zap.String("adapter", request.name.Adapter), zap.String("reason", reason))
}

// logFull logs what occupies the adapter slots of an engine.
func (h *Holder) logFull(t deployment.Target, e *managedEngine, request *loadRequest) {
	e.mu.Lock()
	usage := e.state.slotUsage(h.inUse(t.ID), h.Now())
	e.mu.Unlock()
	h.Log.Info("adapter not loaded", zap.String("target", string(t.ID)), zap.String("adapter", request.name.Adapter),
		zap.String("reason", "all adapter slots are occupied"), zap.Int("in_use", usage.inUse), zap.Int("recent", usage.recent),
		zap.Int("unloading", usage.unloading), zap.Int("places", usage.total))
}

func (h *Holder) nextStep(t deployment.Target, e *managedEngine, request *loadRequest) (Step, deployment.AdapterName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.state.Synced() {
		return StepWait, deployment.AdapterName{}
	}
	return e.state.NextStep(request.name, request.version, h.inUse(t.ID), h.Now())
}

// allowLoad reports whether a load may be ordered now: the engine did not just
// refuse an order as conflicting, and a load from the weight store is within the
// limit. Otherwise such a load joins the queue.
func (h *Holder) allowLoad(e *managedEngine, request *loadRequest) bool {
	e.mu.Lock()
	now := h.Now()
	warm := e.state.warm(request.name)
	refused := now.Sub(e.conflictAt) < conflictBackoff
	e.mu.Unlock()
	if refused {
		return false
	}
	if warm {
		return true
	}
	free := h.coldLoadLimit() - h.coldLoading(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	position := slices.Index(h.pending.coldQueue, request)
	if position < 0 {
		position = h.pending.enqueue(request)
	}
	if position >= free {
		h.LoadLimiter.RecordWait()
		return false
	}
	h.dequeue(request)
	return true
}

// WaitingLoads returns how many load requests wait for the weight store.
func (h *Holder) WaitingLoads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pending.coldQueue)
}

// ColdWait estimates how long a load waits for the weight store behind the given
// number of waiting loads, in a zone with the given number of engines.
func ColdWait(waiting, engines int) time.Duration {
	return time.Duration(float64(waiting) * float64(coldLoadTime) / max(initialLoadsPerEngine*float64(engines), 1))
}

// enqueue adds a load request to the queue, behind those that are as urgent, and returns its
// position.
func (p *pendingLoads) enqueue(request *loadRequest) int {
	position := slices.IndexFunc(p.coldQueue, func(other *loadRequest) bool { return other.rank > request.rank })
	if position < 0 {
		position = len(p.coldQueue)
	}
	p.coldQueue = slices.Insert(p.coldQueue, position, request)
	return position
}

// dequeue removes a load request from the queue. The caller holds the lock.
func (h *Holder) dequeue(request *loadRequest) {
	if i := slices.Index(h.pending.coldQueue, request); i >= 0 {
		h.pending.coldQueue = slices.Delete(h.pending.coldQueue, i, i+1)
	}
}

// coldLoadLimit returns how many adapters may load from the weight store at once,
// over all engines that this instance orders.
func (h *Holder) coldLoadLimit() int { return h.LoadLimiter.Limit(len(h.zoneEngines())) }

func (h *Holder) coldLoading(now time.Time) int {
	n := 0
	for _, e := range h.managedEngines() {
		e.mu.Lock()
		n += e.state.ColdLoading(now)
		e.mu.Unlock()
	}
	return n
}
