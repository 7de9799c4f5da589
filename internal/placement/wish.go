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
	// stepInterval is the time between looks at an engine whose places are taken.
	stepInterval = 15 * time.Millisecond
	// refusedPause is the time after a refused order until the next.
	refusedPause = 70 * time.Millisecond
	// maxLoadWait is how long a load may take to be ordered.
	maxLoadWait = 1500 * time.Millisecond
	// waitersPerShare bounds the wishes that wait for the weight store, for each
	// adapter that may be on its way: later ones would be late anyway.
	waitersPerShare = 8
)

// wishKey names an adapter on an engine.
type wishKey struct {
	target deployment.TargetID
	name   deployment.AdapterName
}

// wish is an adapter that requests wait for. All requests for it share one wish.
type wish struct {
	wishKey
	version uint64
	done    chan struct{}
	result  Result
	readyAt time.Time
	loaded  uint64
}

// wishes are the open wishes, and those of them that wait for the weight store,
// the oldest first.
type wishes struct {
	open  map[wishKey]*wish
	queue []*wish
}

// Load has an adapter loaded on an engine and returns when it can be used, and
// its version.
func (h *Holder) Load(ctx context.Context, id deployment.TargetID, name deployment.AdapterName, version uint64) (Result, time.Time, uint64) {
	t, ok := h.Targets()[id]
	if !ok || t.Zone != h.Zone || t.Draining || !h.Holds() {
		return NotHolder, time.Time{}, 0
	}
	w, ok := h.join(wishKey{target: id, name: name}, version)
	if !ok {
		return Full, time.Time{}, 0
	}
	select {
	case <-w.done:
		return w.result, w.readyAt, w.loaded
	case <-ctx.Done():
		return Failed, time.Time{}, 0
	}
}

// join returns the wish for an adapter and starts it if it is new. It reports
// false when too many wait.
func (h *Holder) join(key wishKey, version uint64) (*wish, bool) {
	share := h.coldShare()
	h.mu.Lock()
	defer h.mu.Unlock()
	if w, ok := h.wishes.open[key]; ok && w.version >= version {
		return w, true
	}
	if len(h.wishes.queue) >= waitersPerShare*share {
		h.Log.Info("adapter not loaded", zap.String("target", string(key.target)), zap.String("adapter", key.name.Adapter),
			zap.String("reason", "too many wait for the weight store"), zap.Int("waiting", len(h.wishes.queue)))
		return nil, false
	}
	if h.wishes.open == nil {
		h.wishes.open = map[wishKey]*wish{}
	}
	w := &wish{wishKey: key, version: version, done: make(chan struct{})}
	h.wishes.open[key] = w
	go h.fulfill(w)
	return w, true
}

// fulfill takes steps until the wish is ready or cannot be fulfilled.
func (h *Holder) fulfill(w *wish) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLoadWait)
	defer cancel()
	w.result = h.stepUntilDone(ctx, w)
	h.mu.Lock()
	if h.wishes.open[w.wishKey] == w {
		delete(h.wishes.open, w.wishKey)
	}
	h.leaveQueue(w)
	h.mu.Unlock()
	close(w.done)
}

// stepUntilDone takes steps until the adapter is ordered, nothing helps, or the
// time is over.
func (h *Holder) stepUntilDone(ctx context.Context, w *wish) Result {
	for ctx.Err() == nil {
		t, ok := h.Targets()[w.target]
		if !ok || t.Draining || !h.Holds() {
			return NotHolder
		}
		e := h.engine(t)
		if result, done := h.loadStep(ctx, t, e, w); done {
			e.mu.Lock()
			w.readyAt, w.loaded = e.state.ReadyAt(w.name)
			e.mu.Unlock()
			return result
		}
		if wait.Sleep(ctx, stepInterval) != nil {
			break
		}
	}
	h.logNotLoaded(w, "no turn in time")
	return Full
}

// loadStep takes one step towards an adapter; done says that no further helps.
func (h *Holder) loadStep(ctx context.Context, t deployment.Target, e *heldEngine, w *wish) (result Result, done bool) {
	if !e.lock(ctx) {
		h.logNotLoaded(w, "another order took too long")
		return Failed, true
	}
	defer e.unlock()
	if !h.settle(ctx, t, e) {
		h.logNotLoaded(w, "the engine's state is not known")
		return Failed, true
	}
	step, victim := h.next(t, e, w)
	if step == StepUnload && h.mayLoad(e, w) {
		h.orderUnload(ctx, t, e, victim)
		step, _ = h.next(t, e, w)
		if step == StepUnload {
			// The first one waits for its runs; its place is taken until then.
			return Full, false
		}
	}
	switch step {
	case StepReady:
		return Ready, true
	case StepLoad:
		return Ready, h.mayLoad(e, w) && h.orderLoad(ctx, t, e, w.name, w.version)
	case StepFull:
		h.logFull(t, e, w)
		return Full, true
	case StepNoModel:
		h.logNotLoaded(w, "the engine lacks the base model")
		return Failed, true
	}
	return Full, false
}

func (h *Holder) logNotLoaded(w *wish, reason string) {
	h.Log.Info("adapter not loaded", zap.String("target", string(w.target)), zap.String("adapter", w.name.Adapter), zap.String("reason", reason))
}

// logFull logs what takes the places of an engine.
func (h *Holder) logFull(t deployment.Target, e *heldEngine, w *wish) {
	e.mu.Lock()
	places := e.state.places(h.inUse(t.ID), h.Now())
	e.mu.Unlock()
	h.Log.Info("adapter not loaded", zap.String("target", string(t.ID)), zap.String("adapter", w.name.Adapter),
		zap.String("reason", "all places are taken"), zap.Int("in_use", places.inUse), zap.Int("recent", places.recent),
		zap.Int("unloading", places.unloading), zap.Int("places", places.all))
}

func (h *Holder) next(t deployment.Target, e *heldEngine, w *wish) (Step, deployment.AdapterName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.state.Synced() {
		return StepWait, deployment.AdapterName{}
	}
	return e.state.Next(w.name, w.version, h.inUse(t.ID), h.Now())
}

// mayLoad says whether a load may be ordered now: the engine did not just refuse
// one, and for an adapter from the weight store it is the wish's turn there.
func (h *Holder) mayLoad(e *heldEngine, w *wish) bool {
	e.mu.Lock()
	now := h.Now()
	warm := e.state.warm(w.name)
	refused := now.Sub(e.refused) < refusedPause
	e.mu.Unlock()
	if refused {
		return false
	}
	if warm {
		return true
	}
	free := h.coldShare() - h.coldComing(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	position := slices.Index(h.wishes.queue, w)
	if position < 0 {
		position = len(h.wishes.queue)
		h.wishes.queue = append(h.wishes.queue, w)
	}
	if position >= free {
		h.Pace.Waited()
		return false
	}
	h.leaveQueue(w)
	return true
}

// WaitingLoads returns how many adapters wait for the weight store here.
func (h *Holder) WaitingLoads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.wishes.queue)
}

// ColdWait estimates the wait for the weight store behind other loads of a zone
// with a number of engines.
func ColdWait(waiting, engines int) time.Duration {
	return time.Duration(float64(waiting) * float64(coldLoad) / max(startPerEngine*float64(engines), 1))
}

// leaveQueue takes a wish out of the queue; the caller holds the lock.
func (h *Holder) leaveQueue(w *wish) {
	if i := slices.Index(h.wishes.queue, w); i >= 0 {
		h.wishes.queue = slices.Delete(h.wishes.queue, i, i+1)
	}
}

// coldShare is how many adapters may be on their way from the weight store to
// the engines that this instance orders.
func (h *Holder) coldShare() int { return h.Pace.Share(len(h.owned())) }

func (h *Holder) coldComing(now time.Time) int {
	n := 0
	for _, e := range h.all() {
		e.mu.Lock()
		n += e.state.ColdComing(now)
		e.mu.Unlock()
	}
	return n
}
