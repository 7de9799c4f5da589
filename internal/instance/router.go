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
	maxRouteAttempts = 8
	routePause       = 100 * time.Millisecond
	maxRoutePause    = time.Second
	noTargetWait     = 3 * time.Second
	noTargetPoll     = 100 * time.Millisecond
	noTargetRetry    = 2 * time.Second
)

// Router finds a target for each model request and sees the request through: it
// tries other targets while a request has surely not run, and resumes a broken
// stream where it stopped, through the target's owner of the time. It emits each
// token once and in order. It is safe for concurrent use.
type Router struct {
	Zone string
	// BaseModel returns the model that an adapter belongs to.
	BaseModel func(adapterID string) (string, bool)
	Ownership *Ownership
	Directory *Directory
	Peers     *Peers
	Self      string

	mu     sync.Mutex
	view   adapter.View
	choice adapter.Router
}

// Execute runs a request on a target of this zone, or through an instance of
// another zone when this one has none.
func (r *Router) Execute(ctx context.Context, request target.Request, emit target.Emit) (target.Usage, error) {
	return r.execute(ctx, request, emit, true)
}

// ExecuteForPeer runs a request that a peer sent: on the target that it names,
// or, without one, on one of this zone.
func (r *Router) ExecuteForPeer(ctx context.Context, request target.Request, emit target.Emit) (target.Usage, error) {
	if request.TargetID == "" {
		return r.execute(ctx, request, emit, false)
	}
	owner, ok := r.Ownership.Owner(request.TargetID)
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeNotOwner, "this instance does not own the target").After(routePause)
	}
	return owner.Execute(ctx, request, emit)
}

func (r *Router) execute(ctx context.Context, request target.Request, emit target.Emit, mayForward bool) (target.Usage, error) {
	model, ok := r.BaseModel(request.Adapter.String())
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeUnknownAdapter, "adapter %s is not in the release in force here", request.Adapter)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	t := &routedRequest{request: request, model: model, emit: emit, next: request.Offset, mayForward: mayForward}
	var last error
	for ; t.mayTry(); t.attempts++ {
		usage, err := r.attempt(ctx, t)
		if err == nil {
			return usage, nil
		}
		last = t.failed(err)
		if !t.again(err) || !sleep(ctx, jitter(t.pause())) {
			break
		}
	}
	return target.Usage{}, last
}

// attempt sends the request once: to where its stream was, to the adapter's
// home zone, or to a target of this zone, in turn with other zones.
func (r *Router) attempt(ctx context.Context, t *routedRequest) (target.Usage, error) {
	request := t.request
	request.Offset = t.next
	emit := func(c target.Chunk) error { return t.pass(c) }
	if request.Resume {
		return r.send(ctx, request, emit)
	}
	if zone, ok := r.otherZone(t); ok {
		return r.forward(ctx, zone, request, t, emit)
	}
	id, ok := r.choose(ctx, t)
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request now").After(noTargetRetry)
	}
	t.request.TargetID, request.TargetID = id, id
	return r.send(ctx, request, emit)
}

// choose picks a target; without one it waits a little if this zone should have
// one soon.
func (r *Router) choose(ctx context.Context, t *routedRequest) (string, bool) {
	want := &adapter.Want{
		Adapter:    t.request.Adapter,
		BaseModel:  t.model,
		PrefixHash: t.request.PrefixHash,
		Tokens:     t.request.Tokens(),
		Exclude:    t.lastExcluded(),
	}
	until := time.Now().Add(noTargetWait)
	for {
		if id, ok := r.pick(want); ok {
			return id, true
		}
		if len(t.excluded) > 0 {
			t.excluded = nil
			want.Exclude = ""
			continue
		}
		if !r.hasTargets(t.model, r.Zone) || time.Now().After(until) || !sleep(ctx, noTargetPoll) {
			return "", false
		}
	}
}

func (r *Router) pick(want *adapter.Want) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.choice.Choose(want, &r.view, time.Now())
	if ok {
		r.view.Sent(id, want.Tokens, want.PrefixHash)
	}
	return id, ok
}

// hasTargets reports whether the platform lists a usable engine of a model in a zone.
func (r *Router) hasTargets(model, zone string) bool {
	for _, e := range r.Directory.Targets() {
		if e.Zone == zone && e.Kind == objectstore.TargetEngine && e.BaseModel == model && !e.Leaving {
			return true
		}
	}
	return false
}

// send runs the request on its target through the target's owner.
func (r *Router) send(ctx context.Context, request target.Request, emit target.Emit) (target.Usage, error) {
	if owner, ok := r.Ownership.Owner(request.TargetID); ok {
		return owner.Execute(ctx, request, emit)
	}
	holder, ok := r.Ownership.Holder(request.TargetID)
	if !ok || holder == r.Self {
		return target.Usage{}, refusal.NotRun(refusal.CodeNotOwner, "the target has no owner now").After(noTargetRetry)
	}
	address, ok := r.Directory.Address(holder)
	if !ok {
		return target.Usage{}, refusal.NotRun(refusal.CodeNotOwner, "the target's owner is not known").After(noTargetRetry)
	}
	return r.Peers.Execute(ctx, address, request, emit)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
