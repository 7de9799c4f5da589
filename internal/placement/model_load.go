package placement

import (
	"context"

	"golang.org/x/time/rate"

	"heatherrelay/internal/deployment"
)

const (
	// modelLoadShare is the part of the weight store's rate for base models that is
	// used.
	modelLoadShare = 0.85
	// modelBurstShare is the part of one second's loads that may start together with
	// the first.
	modelBurstShare = 0.8
	// defaultModelsPerSecond is the rate if the configuration sets none.
	defaultModelsPerSecond = 2.0
)

// modelLoadPending reports whether a load of the base model was ordered and no
// report has listed the model yet. The caller holds the lock.
func (e *managedEngine) modelLoadPending() bool {
	return len(e.state.models) == 0 && !e.modelLoadUntil.IsZero()
}

// loadModel orders an engine without a base model to load the service's first
// one, if it fits. It reports whether the engine still lacks a base model.
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
	if !wanted || model.WeightsMB > s.Engine.MaxWeightsMB || !h.allowModelLoad(t, s.Engine) {
		return missing
	}
	outcome := h.order(ctx, t, e, Order{Operation: Load, AdapterName: deployment.AdapterName{Model: model.Name}})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordering = false
	switch outcome {
	case Started:
		e.state.recordAccepted(h.Now())
		// A report that lists the model, not the order's answer, confirms the load.
		e.modelLoadUntil = h.Now().Add(2*model.LoadTime + reportLag)
	case Done:
		e.state.MarkStale()
	}
	return true
}

// allowModelLoad reports whether a base model may be loaded now. Each zone uses an
// equal part of the weight store's rate, so that the loads of all zones together
// stay below it. The burst lets a few loads that are due together start at once.
func (h *Holder) allowModelLoad(t deployment.Target, engine *deployment.Engine) bool {
	zones := map[string]bool{}
	for _, other := range h.Targets() {
		if other.Service == t.Service {
			zones[other.Zone] = true
		}
	}
	perSecond := engine.ModelLoadsPerSecond
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
