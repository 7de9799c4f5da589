package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

const (
	// maxRouteAttempts bounds the attempts of an interactive request.
	maxRouteAttempts = 8
	// routeBackoff is the delay before the first retry; it doubles up to
	// maxRouteBackoff.
	routeBackoff    = 100 * time.Millisecond
	maxRouteBackoff = time.Second
	// maxTargetWait bounds how long an attempt waits for a usable target.
	maxTargetWait      = 3 * time.Second
	targetPollInterval = 100 * time.Millisecond
	// noTargetRetryAfter is the retry delay sent to a caller when no target or no
	// owner of a target is available.
	noTargetRetryAfter = 2 * time.Second
)

// Router chooses a target for each model request and runs the request there. It
// retries on other targets while the request is known not to have run, and
// resumes a broken stream where it stopped, through the current owner of the
// target. It emits each token once and in order. It is safe for concurrent use.
type Router struct {
	Zone string
	// BaseModel returns the base model of an adapter, and false for an unknown one.
	BaseModel func(adapterID string) (string, bool)
	Ownership *Ownership
	Directory *Directory
	Peers     *Peers
	// InstanceID is the ID of this instance.
	InstanceID string

	mu      sync.Mutex
	view    adapter.View
	chooser adapter.Router
}

// Execute runs a caller's request on a target of this zone, or through an
// instance of another zone.
func (r *Router) Execute(ctx context.Context, request target.Request, emit target.Emit) (target.Usage, error) {
	return r.execute(ctx, request, emit, true)
}

// ExecuteForPeer runs a request received from a peer on the target that it names,
// which this instance must own, or on a target of this zone if it names none. It
// does not forward the request to another zone.
func (r *Router) ExecuteForPeer(ctx context.Context, request target.Request, emit target.Emit) (target.Usage, error) {
	if request.TargetID == "" {
		return r.execute(ctx, request, emit, false)
	}
	owner, ok := r.Ownership.Owner(request.TargetID)
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeNotOwner, "this instance does not own the target").WithRetryAfter(routeBackoff)
	}
	return owner.Execute(ctx, request, emit)
}

// execute attempts the request until it succeeds, its deadline passes or no retry
// is left, and returns the error of the last attempt.
func (r *Router) execute(ctx context.Context, request target.Request, emit target.Emit, mayForward bool) (target.Usage, error) {
	model, ok := r.BaseModel(request.Adapter.String())
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeUnknownAdapter, "adapter %s is not in the release in force here", request.Adapter)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	t := &routedRequest{request: request, model: model, emit: emit, nextToken: request.Offset, mayForward: mayForward}
	var lastErr error
	for ; t.mayAttempt(); t.attempts++ {
		usage, err := r.attempt(ctx, t)
		if err == nil {
			return usage, nil
		}
		lastErr = t.recordFailure(err)
		if !t.prepareRetry(err) || !sleep(ctx, jitter(t.backoff())) {
			break
		}
	}
	return target.Usage{}, lastErr
}

// attempt sends the request once: a broken stream to the target that it ran on,
// other requests to the zone that forwardZone returns, or to a target of this zone.
func (r *Router) attempt(ctx context.Context, t *routedRequest) (target.Usage, error) {
	request := t.request
	request.Offset = t.nextToken
	emit := func(c target.Chunk) error { return t.emitOnce(c) }
	if request.Resume {
		return r.sendToOwner(ctx, request, emit)
	}
	if zone, ok := r.forwardZone(t); ok {
		return r.forward(ctx, zone, request, t, emit)
	}
	id, ok := r.chooseTarget(ctx, t)
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request now").WithRetryAfter(noTargetRetryAfter)
	}
	t.request.TargetID, request.TargetID = id, id
	return r.sendToOwner(ctx, request, emit)
}

// chooseTarget chooses a target of this zone, preferably not the one that last
// refused or lost the request. While no target is usable but the platform lists
// one for the model, it waits up to maxTargetWait.
func (r *Router) chooseTarget(ctx context.Context, t *routedRequest) (string, bool) {
	request := &adapter.RouteRequest{
		Adapter:    t.request.Adapter,
		BaseModel:  t.model,
		PrefixHash: t.request.PrefixHash,
		Tokens:     t.request.Tokens(),
		Exclude:    t.lastExcluded(),
	}
	waitUntil := time.Now().Add(maxTargetWait)
	for {
		if id, ok := r.pickTarget(request); ok {
			return id, true
		}
		if len(t.excluded) > 0 {
			t.excluded = nil
			request.Exclude = ""
			continue
		}
		if !r.hasTargets(t.model, r.Zone) || time.Now().After(waitUntil) || !sleep(ctx, targetPollInterval) {
			return "", false
		}
	}
}

// pickTarget chooses a target from the view and records the request there.
func (r *Router) pickTarget(request *adapter.RouteRequest) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.chooser.Choose(request, &r.view, time.Now())
	if ok {
		r.view.RecordAttempt(id, request.Tokens, request.PrefixHash)
	}
	return id, ok
}

// hasTargets reports whether the platform lists an engine of a base model in a
// zone, not counting engines that are leaving.
func (r *Router) hasTargets(model, zone string) bool {
	for _, e := range r.Directory.Targets() {
		if e.Zone == zone && e.Kind == objectstore.TargetEngine && e.BaseModel == model && !e.Leaving {
			return true
		}
	}
	return false
}

// sendToOwner runs the request on its target through the target's owner, in this
// instance or a peer.
func (r *Router) sendToOwner(ctx context.Context, request target.Request, emit target.Emit) (target.Usage, error) {
	if owner, ok := r.Ownership.Owner(request.TargetID); ok {
		return owner.Execute(ctx, request, emit)
	}
	holder, ok := r.Ownership.Holder(request.TargetID)
	if !ok || holder == r.InstanceID {
		return target.Usage{}, refusal.NotRun(refusal.CodeNotOwner, "the target has no owner now").WithRetryAfter(noTargetRetryAfter)
	}
	address, ok := r.Directory.Address(holder)
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeNotOwner, "the target's owner is not known").WithRetryAfter(noTargetRetryAfter)
	}
	return r.Peers.Execute(ctx, address, request, emit)
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
