package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

const (
	// repeatableAttempts is the number of attempts at a repeatable call, or one
	// per target if the service has more targets.
	repeatableAttempts = 3
	// retryAfter is the retry delay that a refusal suggests after a transient
	// failure.
	retryAfter = time.Second
)

// Sender sends calls to the plain services of this instance's zone. A call that
// may not be repeated is sent at most once by this instance. With an
// idempotency key it is sent at most once by all instances together, since an
// intent is created in the platform before the first byte is sent. A refusal
// has NotRun set only if no byte of the call can have reached a target.
//
// NotRun refers to the refused request only. An earlier request with the same
// idempotency key is a different request.
//
// All exported fields must be set before Run and the first call, and not
// changed after that.
type Sender struct {
	// Targets returns the targets of a service in this zone.
	Targets func(service string) []objectstore.TargetEntry
	// Store holds the intents.
	Store objectstore.Store
	// Forward sends a call through an instance of another zone when this zone
	// has no target of the service. If nil, calls are not forwarded.
	Forward func(ctx context.Context, c Call) (Reply, error)
	// Exchange sends a call to a target once. If nil, the call is sent over
	// HTTP.
	Exchange func(ctx context.Context, t objectstore.TargetEntry, c Call) (Reply, error)
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
	// Pause waits between attempts at the platform; nil means a timer that ends
	// with the context.
	Pause func(ctx context.Context, d time.Duration)
	// StoreTimeout bounds one call to the platform.
	StoreTimeout time.Duration
	// Retention is the minimum time that an intent is kept after its call's
	// deadline; zero keeps intents for ever.
	Retention time.Duration
	// SweepInterval is the time between two sweeps, each of one shard of the
	// intents. Zero disables them.
	SweepInterval time.Duration

	next   atomic.Uint64
	client client
	tasks  taskQueue
}

// Send sends a call to a service in this zone, or through another zone if this
// one has no target of it. Errors are *refusal.Error.
func (s *Sender) Send(ctx context.Context, c Call) (Reply, error) {
	if len(s.candidates(c.Service)) == 0 && s.Forward != nil {
		return s.Forward(ctx, c)
	}
	return s.SendLocal(ctx, c)
}

// SendLocal sends a call to a service in this zone only. Errors are
// *refusal.Error.
func (s *Sender) SendLocal(ctx context.Context, c Call) (Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	switch {
	case c.Repeatable:
		return s.sendRepeatable(ctx, c)
	case c.IdempotencyKey != "":
		return s.sendWithIntent(ctx, c)
	default:
		return s.sendOnce(ctx, c)
	}
}

// sendRepeatable sends a call until an attempt succeeds, rotating through the
// targets.
func (s *Sender) sendRepeatable(ctx context.Context, c Call) (Reply, error) {
	targets := s.candidates(c.Service)
	if len(targets) == 0 {
		return Reply{}, errNoTarget()
	}
	var sent bool
	var err error
	for i := range max(repeatableAttempts, len(targets)) {
		if s.expired(c) || ctx.Err() != nil {
			break
		}
		var reply Reply
		if reply, err = s.exchange(ctx, targets[i%len(targets)], c); err == nil {
			return reply, nil
		}
		sent = sent || !ErrNotSent.Has(err)
	}
	return Reply{}, newRefusal(sent, err, s.expired(c))
}

// sendOnce sends a call to the first target that can be reached. Once a byte
// may have reached a target, it tries no other.
func (s *Sender) sendOnce(ctx context.Context, c Call) (Reply, error) {
	targets := s.candidates(c.Service)
	if len(targets) == 0 {
		return Reply{}, errNoTarget()
	}
	var err error
	for _, t := range targets {
		if s.expired(c) || ctx.Err() != nil {
			break
		}
		var reply Reply
		if reply, err = s.exchange(ctx, t, c); err == nil {
			return reply, nil
		}
		if !ErrNotSent.Has(err) {
			return Reply{}, newRefusal(true, err, s.expired(c))
		}
	}
	return Reply{}, newRefusal(false, err, s.expired(c))
}

// candidates returns the targets of a service that are not leaving, in the
// order to try them. The order rotates by one target with each call.
func (s *Sender) candidates(service string) []objectstore.TargetEntry {
	var available []objectstore.TargetEntry
	for _, t := range s.Targets(service) {
		if !t.Leaving {
			available = append(available, t)
		}
	}
	return rotate(available, s.next.Add(1))
}

func rotate(targets []objectstore.TargetEntry, by uint64) []objectstore.TargetEntry {
	if len(targets) < 2 {
		return targets
	}
	first := int(by % uint64(len(targets)))
	return append(targets[first:len(targets):len(targets)], targets[:first]...)
}

func (s *Sender) exchange(ctx context.Context, t objectstore.TargetEntry, c Call) (Reply, error) {
	if s.Exchange != nil {
		return s.Exchange(ctx, t, c)
	}
	return s.client.exchange(ctx, t, c)
}

func (s *Sender) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Sender) expired(c Call) bool { return !s.now().Before(c.Deadline) }

func errNoTarget() error {
	return refusal.NotRun(refusal.CodeNoTarget, "no target of this service is known here").WithRetryAfter(retryAfter)
}

// newRefusal returns the refusal of a call that got no reply. sent is set if a
// byte of the call may have reached a target; cause is nil if no target was
// tried.
func newRefusal(sent bool, cause error, expired bool) error {
	switch {
	case sent:
		return refusal.MayHaveRun(refusal.CodeMayHaveRun, "the service gave no answer; the call may have run").WithCause(cause)
	case expired || cause == nil:
		return refusal.NotRun(refusal.CodeDeadlineExceeded, "the deadline passed before the call was sent").WithCause(cause)
	default:
		return refusal.NotRun(refusal.CodeTargetUnreachable, "no target of this service can be reached").
			WithRetryAfter(retryAfter).WithCause(cause)
	}
}
