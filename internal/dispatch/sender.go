package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

const (
	// repeatableAttempts bounds how often a repeatable call is sent.
	repeatableAttempts = 3
	// comeBackAfter is when a caller should try again after a passing failure.
	comeBackAfter = time.Second
)

// Sender sends calls to the plain services of this instance's zone. A call that
// may not be repeated is sent at most once by this instance; with an
// idempotency key it is sent at most once by all instances together, since an
// intent in the platform comes before the first byte. A refusal says NotRun only
// when no byte of the call can have reached a target.
//
// NotRun speaks of the request that is refused. An earlier request with the
// same idempotency key is another request.
//
// All exported fields are set before Run and the first call, and not changed after.
type Sender struct {
	// Targets returns the targets of a service in this zone.
	Targets func(service string) []objectstore.TargetEntry
	// Store holds the intents.
	Store objectstore.Store
	// Forward sends a call through an instance of another zone, when this zone
	// has no target of the service. Nil forwards nothing.
	Forward func(ctx context.Context, c Call) (Reply, error)
	// Exchange sends one call to one target, once. Nil sends it over HTTP.
	Exchange func(ctx context.Context, t objectstore.TargetEntry, c Call) (Reply, error)
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time
	// Pause waits between tries at the platform; nil sleeps.
	Pause func(ctx context.Context, d time.Duration)
	// StoreTimeout bounds one call to the platform.
	StoreTimeout time.Duration
	// Retention is how long an intent is kept after its call's deadline at
	// least; zero is for ever.
	Retention time.Duration
	// SweepEvery is the time between looks at a part of the intents for ones
	// past Retention.
	SweepEvery time.Duration

	next   atomic.Uint64
	client client
	chores chores
}

// Send sends a call to a service, in this zone or through another one. Errors
// are *refusal.Error.
func (s *Sender) Send(ctx context.Context, c Call) (Reply, error) {
	if len(s.candidates(c.Service)) == 0 && s.Forward != nil {
		return s.Forward(ctx, c)
	}
	return s.SendHere(ctx, c)
}

// SendHere sends a call to a service in this zone. Errors are *refusal.Error.
func (s *Sender) SendHere(ctx context.Context, c Call) (Reply, error) {
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

// sendRepeatable sends a call again when it failed, to another target if there
// is one.
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
	return Reply{}, refuse(sent, err, s.expired(c))
}

// sendOnce sends a call to the first target that can be reached. Once a byte may
// have reached one, no other is tried.
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
			return Reply{}, refuse(true, err, s.expired(c))
		}
	}
	return Reply{}, refuse(false, err, s.expired(c))
}

// candidates returns the targets of a service in the order to try them, which
// turns by one with each call.
func (s *Sender) candidates(service string) []objectstore.TargetEntry {
	var staying []objectstore.TargetEntry
	for _, t := range s.Targets(service) {
		if !t.Leaving {
			staying = append(staying, t)
		}
	}
	return rotate(staying, s.next.Add(1))
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
	return refusal.NotRun(refusal.CodeNoTarget, "no target of this service is known here").After(comeBackAfter)
}

// refuse returns the refusal of a call that got no answer. sent says that a
// byte of it may have reached a target; cause is nil if it was never tried.
func refuse(sent bool, cause error, expired bool) error {
	switch {
	case sent:
		return refusal.MayHaveRun(refusal.CodeMayHaveRun, "the service gave no answer; the call may have run").Because(cause)
	case expired || cause == nil:
		return refusal.NotRun(refusal.CodeDeadline, "the deadline passed before the call was sent").Because(cause)
	default:
		return refusal.NotRun(refusal.CodeTargetUnreached, "no target of this service can be reached").
			After(comeBackAfter).Because(cause)
	}
}
