package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/platform"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

const (
	maxRouteAttempts = 8
	routePause       = 100 * time.Millisecond
	noTargetWait     = 3 * time.Second
	noTargetPoll     = 100 * time.Millisecond
	noTargetRetry    = 2 * time.Second
	// resumeWait bounds how long a broken stream looks for the target's next owner.
	resumeWait = 20 * time.Second
)

// Router finds a target for each model request and sees the request through: it
// tries other targets while a request has surely not run, and takes a broken
// stream up again where it stopped, through the target's owner of the time. It
// emits each token once and in order. It is safe for concurrent use.
type Router struct {
	Zone string
	// BaseModel returns the model that an adapter belongs to.
	BaseModel func(adapterID string) (string, bool)
	Ownership *Ownership
	Directory *Directory
	Peers     *Peers
	Self      string
	Log       *zap.Logger

	mu     sync.Mutex
	view   adapter.View
	choice adapter.Router
}

// trip is one request's way through the router.
type trip struct {
	request  target.Request
	model    string
	emit     target.Emit
	next     int
	excluded []string
	// mayHaveRun stays true once any attempt may have reached a target.
	mayHaveRun bool
	forwarded  bool
	brokenAt   time.Time
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
	t := &trip{request: request, model: model, emit: emit, next: request.Offset, forwarded: !mayForward}
	var last error
	for attempt := 0; attempt < maxRouteAttempts || !t.brokenAt.IsZero(); attempt++ {
		usage, err := r.attempt(ctx, t)
		if err == nil {
			return usage, nil
		}
		last = t.failed(err)
		if !t.again(err) || !sleep(ctx, jitter(routePause)) {
			break
		}
	}
	return target.Usage{}, last
}

// attempt sends the request once.
func (r *Router) attempt(ctx context.Context, t *trip) (target.Usage, error) {
	request := t.request
	request.Offset = t.next
	emit := func(c target.Chunk) error { return t.pass(c) }
	if request.TargetID != "" && request.Resume {
		return r.send(ctx, request, emit)
	}
	id, ok := r.choose(ctx, t)
	if ok {
		t.request.TargetID, request.TargetID = id, id
		return r.send(ctx, request, emit)
	}
	if !t.forwarded {
		return r.forward(ctx, request, t, emit)
	}
	return target.Usage{}, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request now").After(noTargetRetry)
}

// choose picks a target; without one it waits a little if this zone should have
// one soon.
func (r *Router) choose(ctx context.Context, t *trip) (string, bool) {
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
		if e.Zone == zone && e.Kind == platform.TargetEngine && e.BaseModel == model && !e.Leaving {
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

// forward sends the request to an instance of another zone that has targets for it.
func (r *Router) forward(ctx context.Context, request target.Request, t *trip, emit target.Emit) (target.Usage, error) {
	var addresses []netip.AddrPort
	for _, l := range r.Directory.Live("") {
		if l.Zone != r.Zone && l.Ready && !l.Leaving && r.hasTargets(t.model, l.Zone) {
			addresses = append(addresses, l.Peer)
		}
	}
	if len(addresses) == 0 {
		return target.Usage{}, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request now").After(noTargetRetry)
	}
	request.TargetID = ""
	return r.Peers.Execute(ctx, addresses[rand.IntN(len(addresses))], request, emit)
}

// lastExcluded returns the target that refused last; empty if none did.
func (t *trip) lastExcluded() string {
	if len(t.excluded) == 0 {
		return ""
	}
	return t.excluded[len(t.excluded)-1]
}

// pass emits a chunk once; a stream that was taken up again may repeat some.
func (t *trip) pass(c target.Chunk) error {
	if c.Tokens > 0 && c.Offset+c.Tokens <= t.next {
		return nil
	}
	if err := t.emit(c); err != nil {
		return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller went away").Because(err)
	}
	t.next = max(t.next, c.Offset+c.Tokens)
	return nil
}

// failed notes an attempt's outcome and returns the refusal as the caller may
// see it: one attempt that may have run outweighs all later ones that did not.
func (t *trip) failed(err error) *refusal.Error {
	e := *refusal.From(err)
	t.mayHaveRun = t.mayHaveRun || !e.NotRun
	e.NotRun = !t.mayHaveRun
	return &e
}

// again decides whether and how the request is tried once more.
func (t *trip) again(err error) bool {
	e := refusal.From(err)
	switch {
	case errors.Is(e.Cause, context.Canceled):
		return false
	case e.NotRun && !t.request.Resume:
		t.excluded = append(t.excluded, t.request.TargetID)
		return retryable[e.Code]
	case e.NotRun, e.Code == refusal.CodeBrokenStream:
		return t.takeUp(e)
	}
	return false
}

// takeUp prepares a broken stream to go on: at the same target while that may
// still hold it, or from the start elsewhere if no token has been emitted.
func (t *trip) takeUp(e *refusal.Error) bool {
	now := time.Now()
	if t.brokenAt.IsZero() {
		t.brokenAt = now
	}
	if now.Sub(t.brokenAt) > resumeWait {
		return false
	}
	lost := target.ErrUnknownStream.Has(e.Cause) || e.Code == refusal.CodeTargetUnreached || t.request.TargetID == ""
	if !lost || t.next > 0 {
		t.request.Resume = t.request.TargetID != ""
		return !lost
	}
	t.request.Resume = false
	t.excluded = append(t.excluded, t.request.TargetID)
	t.request.TargetID = ""
	return true
}

// retryable are the reasons for which another target, or the same a little
// later, may take a request that has not run.
var retryable = map[refusal.Code]bool{
	refusal.CodeNotOwner:        true,
	refusal.CodeTargetUnreached: true,
	refusal.CodeShuttingDown:    true,
	refusal.CodeNoTarget:        true,
	refusal.CodeOverloaded:      true,
	refusal.CodeLoadFailed:      true,
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
