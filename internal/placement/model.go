package placement

import (
	"context"

	"golang.org/x/time/rate"

	"heatherrelay/internal/deployment"
)

const (
	// modelLoadShare is the part of the weight store's rate of models that is used.
	modelLoadShare = 0.85
	// modelBurstShare is the part of a second's loads that may begin at once.
	modelBurstShare = 0.8
	// defaultModelsPerSecond applies where the rate is not known.
	defaultModelsPerSecond = 2.0
)

// modelLoadPending says that a load of the base model was ordered and that no report
// has shown the model yet. The caller holds the lock.
func (e *managedEngine) modelLoadPending() bool {
	return len(e.state.models) == 0 && !e.modelLoadUntil.IsZero()
}

// loadModel orders an engine without base model to load the one that it has
// room for. It reports whether the engine has none yet.
func (h *Holder) loadModel(ctx context.Context, t deployment.Target, e *managedEngine) bool {
	s := h.Service(t.Service)
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return true
	}
	model := s.Engine.Models[0]
	e.mu.Lock()
	missing := len(e.state.models) == 0
	wanted := missing && e.state.Synced() && !h.Now().Before(e.modelLoadUntil)
	e.mu.Unlock()
	if !wanted || model.WeightsMB > s.Engine.WeightsMB || !h.allowModelLoad(t, s.Engine) {
		return missing
	}
	outcome := h.order(ctx, t, e, Order{Operation: Load, AdapterName: deployment.AdapterName{Model: model.Name}})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch outcome {
	case Started:
		e.state.recordAccepted(h.Now())
		// The reports that follow tell when the model is there.
		e.modelLoadUntil = h.Now().Add(2*model.LoadTime + reportLag)
	case Done:
		e.state.MarkStale()
	}
	return true
}

// allowModelLoad says whether a base model may be loaded now: the loads of all zones
// together stay below the rate of the weight store. A few that are due at the
// same moment need not wait for each other.
func (h *Holder) allowModelLoad(t deployment.Target, engine *deployment.Engine) bool {
	zones := map[string]bool{}
	for _, other := range h.Targets() {
		if other.Service == t.Service {
			zones[other.Zone] = true
		}
	}
	perSecond := engine.LoadsPerSecond
	if perSecond <= 0 {
		perSecond = defaultModelsPerSecond
	}
	share := perSecond / float64(max(len(zones), 1))
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.modelLimiter == nil {
		h.modelLimiter = rate.NewLimiter(0, 1)
	}
	h.modelLimiter.SetLimitAt(now, rate.Limit(modelLoadShare*share))
	h.modelLimiter.SetBurstAt(now, 1+int(modelBurstShare*share))
	return h.modelLimiter.AllowN(now, 1)
}
