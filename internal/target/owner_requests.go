package target

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
)

// maxReloads is how often a request waits anew because the engine had lost its adapter.
const maxReloads = 3

// submission is a request inside an owner. It leaves the waiting state once:
// either the owner starts it or its caller gives it up.
type submission struct {
	ctx     context.Context
	request Request
	emit    Emit
	answer  chan answer
	arrived time.Time
	stalled bool
	reloads int
	taken   atomic.Bool
	// mayHaveRun stays true once an attempt may have run.
	mayHaveRun atomic.Bool
}

type answer struct {
	usage Usage
	err   error
}

// giveUp reports whether the request had not started and now never will.
func (s *submission) giveUp() bool { return s.taken.CompareAndSwap(false, true) }

// start reports whether the request may go to the engine.
func (s *submission) start() bool { return s.taken.CompareAndSwap(false, true) }

func notOwner() *refusal.Error {
	return refusal.NotRun(refusal.CodeNotOwner, "this instance does not own the target").After(handoverRetryAfter)
}

func unreachable() *refusal.Error {
	return refusal.NotRun(refusal.CodeTargetUnreached, "the target cannot be reached").After(downRetryAfter)
}

func deadlinePassed() *refusal.Error {
	return refusal.NotRun(refusal.CodeDeadline, "the request's time was over before it could start").After(overloadedRetryAfter)
}

func gaveUp(ctx context.Context) *refusal.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlinePassed()
	}
	return refusal.NotRun(refusal.CodeCallerGone, "the caller went away before the request started")
}

// truthful returns a refusal that does not claim that the request did not run
// when an attempt may have.
func (s *submission) truthful(err error) error {
	e := refusal.From(err)
	if !e.NotRun || !s.mayHaveRun.Load() {
		return e
	}
	known := *e
	known.NotRun = false
	return &known
}

// accept queues a request.
func (o *Owner) accept(s *submission, now time.Time) {
	if o.queue.QueuedTokens()+s.request.Tokens() > o.QueueTokens {
		o.refuse(s, refusal.NotRun(refusal.CodeOverloaded, "the target's queue is full").After(overloadedRetryAfter))
		return
	}
	o.table.Touch(s.request.Adapter, now, s.request.Tokens())
	o.enqueue(s, now)
}

func (o *Owner) enqueue(s *submission, now time.Time) {
	r := &s.request
	item := Item[*submission]{
		ID:       r.ID,
		Team:     r.Team,
		Weight:   r.TeamWeight,
		Class:    r.Class,
		Adapter:  r.Adapter,
		Tokens:   r.Tokens(),
		Deadline: r.Deadline,
		Payload:  s,
	}
	if err := o.queue.Push(now, item); err != nil {
		o.refuse(s, err)
		return
	}
	o.waiting[r.Adapter]++
	o.wantLoad(s, now)
}

// left counts an item that is not queued any more.
func (o *Owner) left(item Item[*submission]) {
	if o.waiting[item.Adapter]--; o.waiting[item.Adapter] <= 0 {
		delete(o.waiting, item.Adapter)
	}
}

// forget drops a request whose caller gave it up.
func (o *Owner) forget(requestID string) {
	if item, ok := o.queue.Remove(requestID); ok {
		o.left(item)
	}
}

// refuse answers a request that has not started.
func (o *Owner) refuse(s *submission, err error) {
	if s.start() {
		s.answer <- answer{err: s.truthful(err)}
	}
}

// refuseWaiting answers all requests that have not started.
func (o *Owner) refuseWaiting(err error) {
	for {
		item, ok := o.queue.Pop(time.Time{}, nil)
		if !ok {
			break
		}
		o.left(item)
		o.refuse(item.Payload, err)
	}
	for {
		select {
		case s := <-o.submissions:
			o.refuse(s, err)
		default:
			return
		}
	}
}

// startRequests sends requests while the engine's batch has room.
func (o *Owner) startRequests(ctx context.Context, now time.Time) {
	for o.running < o.engine.capacity() && o.mayStart(now) {
		item, ok := o.queue.Pop(now, o.table.Resident)
		if !ok {
			return
		}
		o.left(item)
		s := item.Payload
		if !s.start() {
			continue
		}
		o.begin(ctx, s, now)
	}
}

func (o *Owner) begin(ctx context.Context, s *submission, now time.Time) {
	id := s.request.Adapter
	o.table.Pin(id)
	o.inUse[id]++
	o.running++
	o.engine.changed = true
	if o.Observe.Started != nil {
		o.Observe.Started(&s.request, now.Sub(s.arrived), s.stalled)
	}
	o.tasks.Go(func() {
		usage, err := o.stream(ctx, s)
		o.post(func(now time.Time) { o.finish(s, usage, err, now) })
	})
}

// stream runs the request under the contexts of both its caller and the owner.
func (o *Owner) stream(ctx context.Context, s *submission) (Usage, error) {
	merged, cancel := context.WithDeadline(s.ctx, s.request.Deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	return o.Engine.Stream(merged, &s.request, o.FencingNumber, s.emit)
}

// finish ends one use of an adapter and answers, or queues the request again
// when the engine refused it for want of its adapter.
func (o *Owner) finish(s *submission, usage Usage, err error, now time.Time) {
	id := s.request.Adapter
	o.table.Unpin(id, now)
	o.running--
	o.engine.changed = true
	if o.inUse[id]--; o.inUse[id] == 0 {
		delete(o.inUse, id)
	}
	if ErrSent.Has(err) {
		s.mayHaveRun.Store(true)
	}
	if ErrNotLoaded.Has(err) && s.reloads < maxReloads {
		o.requeue(s, now)
		return
	}
	if ErrStaleFencing.Has(err) {
		o.lost = true
	}
	if err != nil {
		o.Log.Info("request_failed", zap.String("request_id", s.request.ID), zap.String("target", o.TargetID), zap.Error(err))
		err = asRefusal(err, s)
	}
	s.answer <- answer{usage: usage, err: err}
}

// requeue puts back a request that the engine has not run.
func (o *Owner) requeue(s *submission, now time.Time) {
	o.table.Remove(s.request.Adapter)
	s.reloads++
	s.stalled = true
	s.taken.Store(false)
	if s.ctx.Err() != nil {
		o.refuse(s, gaveUp(s.ctx))
		return
	}
	o.enqueue(s, now)
}

// asRefusal says what a failed stream means for its caller.
func asRefusal(err error, s *submission) *refusal.Error {
	var given *refusal.Error
	fresh := !s.request.Resume && s.request.Offset == 0 && !s.mayHaveRun.Load()
	switch {
	case errors.As(err, &given):
		return given
	case ErrStaleFencing.Has(err) && fresh:
		return notOwner().Because(err)
	case ErrUnreached.Has(err) && fresh:
		return unreachable().Because(err)
	case ErrNotLoaded.Has(err) && fresh:
		return refusal.NotRun(refusal.CodeLoadFailed, "the target lost the adapter").Because(err).After(downRetryAfter)
	case ErrUnknownStream.Has(err):
		return refusal.MayHaveRun(refusal.CodeStreamGone, "the target does not hold the answer any more").Because(err)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.MayHaveRun(refusal.CodeDeadline, "the request's time is over").Because(err)
	case errors.Is(err, context.Canceled):
		return refusal.MayHaveRun(refusal.CodeCallerGone, "the request was cancelled").Because(err)
	case ErrWrongAnswer.Has(err):
		return refusal.MayHaveRun(refusal.CodeWrongAnswer, "the target gave a wrong answer").Because(err)
	}
	return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer broke off").Because(err)
}

func sortedIDs(ids map[adapter.ID]int) []adapter.ID {
	return slices.SortedFunc(maps.Keys(ids), func(a, b adapter.ID) int {
		return strings.Compare(a.String(), b.String())
	})
}
