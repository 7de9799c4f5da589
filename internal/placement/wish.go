package placement

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/wait"
)

const (
	// loadStepInterval is the time between looks at an engine whose places are taken.
	loadStepInterval = 15 * time.Millisecond
	// conflictBackoff is the time after a refused order until the next.
	conflictBackoff = 70 * time.Millisecond
	// maxLoadWait is how long a load may take to be ordered.
	maxLoadWait = 1500 * time.Millisecond
	// maxWaitersPerLoad bounds the wishes that wait for the weight store, for each
	// adapter that may be on its way: later ones would be late anyway.
	maxWaitersPerLoad = 8
)

// loadKey names an adapter on an engine.
type loadKey struct {
	target deployment.TargetID
	name   deployment.AdapterName
}

// loadRequest is an adapter that requests wait for. All requests for it share one loadRequest.
type loadRequest struct {
	loadKey
	version       uint64
	done          chan struct{}
	result        Result
	readyAt       time.Time
	loadedVersion uint64
}

// pendingLoads are the open pendingLoads, and those of them that wait for the weight store,
// the oldest first.
type pendingLoads struct {
	byKey     map[loadKey]*loadRequest
	coldQueue []*loadRequest
}

// Load has an adapter loaded on an engine and returns when it can be used, and
// its version.
func (h *Holder) Load(ctx context.Context, id deployment.TargetID, name deployment.AdapterName, version uint64) (Result, time.Time, uint64) {
	t, ok := h.Targets()[id]
	if !ok || t.Zone != h.Zone || t.Draining || !h.Holds() {
		return NotHolder, time.Time{}, 0
	}
	request, ok := h.join(loadKey{target: id, name: name}, version)
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

// join returns the wish for an adapter and starts it if it is new. It reports
// false when too many wait.
func (h *Holder) join(key loadKey, version uint64) (*loadRequest, bool) {
	limit := h.coldLoadLimit()
	h.mu.Lock()
	defer h.mu.Unlock()
	if request, ok := h.pending.byKey[key]; ok && request.version >= version {
		return request, true
	}
	if len(h.pending.coldQueue) >= maxWaitersPerLoad*limit {
		h.Log.Info("adapter not loaded", zap.String("target", string(key.target)), zap.String("adapter", key.name.Adapter),
			zap.String("reason", "too many wait for the weight store"), zap.Int("waiting", len(h.pending.coldQueue)))
		return nil, false
	}
	if h.pending.byKey == nil {
		h.pending.byKey = map[loadKey]*loadRequest{}
	}
	request := &loadRequest{loadKey: key, version: version, done: make(chan struct{})}
	h.pending.byKey[key] = request
	go h.process(request)
	return request, true
}

// process takes steps until the wish is ready or cannot be fulfilled.
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

// stepUntilDone takes steps until the adapter is ordered, nothing helps, or the
// time is over.
func (h *Holder) stepUntilDone(ctx context.Context, request *loadRequest) Result {
	for ctx.Err() == nil {
		t, ok := h.Targets()[request.target]
		if !ok || t.Draining || !h.Holds() {
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
	h.logNotLoaded(request, "no turn in time")
	return Full
}

// loadStep takes one step towards an adapter; done says that no further helps.
func (h *Holder) loadStep(ctx context.Context, t deployment.Target, e *managedEngine, w *loadRequest) (result Result, done bool) {
	if !e.lock(ctx) {
		h.logNotLoaded(w, "another order took too long")
		return Failed, true
	}
	defer e.unlock()
	if !h.awaitSync(ctx, t, e) {
		h.logNotLoaded(w, "the engine's state is not known")
		return Failed, true
	}
	step, victim := h.nextStep(t, e, w)
	if step == StepUnload && h.allowLoad(e, w) {
		h.orderUnload(ctx, t, e, victim)
		step, _ = h.nextStep(t, e, w)
		if step == StepUnload {
			// The first one waits for its runs; its place is taken until then.
			return Full, false
		}
	}
	switch step {
	case StepReady:
		return Ready, true
	case StepLoad:
		return Ready, h.allowLoad(e, w) && h.orderLoad(ctx, t, e, w.name, w.version)
	case StepFull:
		h.logFull(t, e, w)
		return Full, true
	case StepNoModel:
		h.logNotLoaded(w, "the engine lacks the base model")
		return Failed, true
	}
	return Full, false
}

func (h *Holder) logNotLoaded(request *loadRequest, reason string) {
	h.Log.Info("adapter not loaded", zap.String("target", string(request.target)), zap.String("adapter", request.name.Adapter), zap.String("reason", reason))
}

// logFull logs what takes the places of an engine.
func (h *Holder) logFull(t deployment.Target, e *managedEngine, request *loadRequest) {
	e.mu.Lock()
	usage := e.state.slotUsage(h.inUse(t.ID), h.Now())
	e.mu.Unlock()
	h.Log.Info("adapter not loaded", zap.String("target", string(t.ID)), zap.String("adapter", request.name.Adapter),
		zap.String("reason", "all places are taken"), zap.Int("in_use", usage.inUse), zap.Int("recent", usage.recent),
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

// allowLoad says whether a load may be ordered now: the engine did not just refuse
// one, and for an adapter from the weight store it is the wish's turn there.
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
		position = len(h.pending.coldQueue)
		h.pending.coldQueue = append(h.pending.coldQueue, request)
	}
	if position >= free {
		h.Pace.RecordWait()
		return false
	}
	h.dequeue(request)
	return true
}

// WaitingLoads returns how many adapters wait for the weight store here.
func (h *Holder) WaitingLoads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pending.coldQueue)
}

// ColdWait estimates the wait for the weight store behind other loads of a zone
// with a number of engines.
func ColdWait(waiting, engines int) time.Duration {
	return time.Duration(float64(waiting) * float64(coldLoadTime) / max(initialLoadsPerEngine*float64(engines), 1))
}

// dequeue takes a wish out of the queue; the caller holds the lock.
func (h *Holder) dequeue(request *loadRequest) {
	if i := slices.Index(h.pending.coldQueue, request); i >= 0 {
		h.pending.coldQueue = slices.Delete(h.pending.coldQueue, i, i+1)
	}
}

// coldLoadLimit is how many adapters may be on their way from the weight store to
// the engines that this instance orders.
func (h *Holder) coldLoadLimit() int { return h.Pace.Limit(len(h.zoneEngines())) }

func (h *Holder) coldLoading(now time.Time) int {
	n := 0
	for _, e := range h.managedEngines() {
		e.mu.Lock()
		n += e.state.ColdLoading(now)
		e.mu.Unlock()
	}
	return n
}
