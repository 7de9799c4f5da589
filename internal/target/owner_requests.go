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
	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/refusal"
)

// maxReloads bounds how often a request is queued again because the engine no longer
// had its adapter.
const maxReloads = 3

// submission is a request submitted to an owner. Exactly one side claims a queued
// submission: Run when it starts or refuses the request, or Execute when it abandons
// the request.
type submission struct {
	ctx       context.Context
	request   Request
	emit      Emit
	outcome   chan outcome
	arrivedAt time.Time
	// stalled is set when the request had to wait for a load.
	stalled bool
	// reloads counts how often the engine refused the request because its adapter was
	// no longer resident.
	reloads int
	claimed atomic.Bool
	// mayHaveRun is set once an attempt may have executed the request.
	mayHaveRun atomic.Bool
}

// outcome is the result of a request, sent to Execute.
type outcome struct {
	usage Usage
	err   error
}

// abandon claims the request for its caller, which no longer waits. It returns false
// if the request was started or refused before.
func (s *submission) abandon() bool { return s.claimed.CompareAndSwap(false, true) }

// claim claims the request for Run. It returns false if the request was abandoned.
func (s *submission) claim() bool { return s.claimed.CompareAndSwap(false, true) }

func notOwnerError() *refusal.Error {
	return refusal.NotRun(refusal.CodeNotOwner, "this instance does not own the target").WithRetryAfter(handoverRetryAfter)
}

func unreachableError() *refusal.Error {
	return refusal.NotRun(refusal.CodeTargetUnreachable, "the target cannot be reached").WithRetryAfter(unreachableRetryAfter)
}

func deadlineError() *refusal.Error {
	return refusal.NotRun(refusal.CodeDeadlineExceeded, "the request's time was over before it could start").WithRetryAfter(fairqueue.OverloadedRetryAfter)
}

func abandonedError(ctx context.Context) *refusal.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineError()
	}
	return refusal.NotRun(refusal.CodeCallerGone, "the caller went away before the request started")
}

// correctNotRun returns err as a refusal, with NotRun cleared if an earlier attempt may
// have executed the request.
func (s *submission) correctNotRun(err error) error {
	e := refusal.From(err)
	if !e.NotRun || !s.mayHaveRun.Load() {
		return e
	}
	corrected := *e
	corrected.NotRun = false
	return &corrected
}

// accept queues a request, or refuses it if the queue is full.
func (o *Owner) accept(s *submission, now time.Time) {
	if o.queue.QueuedTokens()+s.request.Tokens() > o.QueueTokens {
		o.refuse(s, refusal.NotRun(refusal.CodeOverloaded, "the target's queue is full").WithRetryAfter(fairqueue.OverloadedRetryAfter))
		return
	}
	o.slotTable.Touch(s.request.Adapter, now, s.request.Tokens())
	o.enqueue(s, now)
}

// enqueue adds a submission to the queue, as having arrived at now, and its adapter to
// the pending loads.
func (o *Owner) enqueue(s *submission, now time.Time) {
	r := &s.request
	item := fairqueue.Item[*submission]{
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
	o.queuedByAdapter[r.Adapter]++
	o.enqueueLoad(s, now)
}

// uncountQueued removes an item that has left the queue from the count of its adapter.
func (o *Owner) uncountQueued(item fairqueue.Item[*submission]) {
	if o.queuedByAdapter[item.Adapter]--; o.queuedByAdapter[item.Adapter] <= 0 {
		delete(o.queuedByAdapter, item.Adapter)
	}
}

// removeQueued removes an abandoned request from the queue.
func (o *Owner) removeQueued(requestID string) {
	if item, ok := o.queue.Remove(requestID); ok {
		o.uncountQueued(item)
	}
}

// refuse ends a queued request with err, unless it was abandoned.
func (o *Owner) refuse(s *submission, err error) {
	if s.claim() {
		s.outcome <- outcome{err: s.correctNotRun(err)}
	}
}

// refuseAllQueued refuses all requests that have not started.
func (o *Owner) refuseAllQueued(err error) {
	for {
		item, ok := o.queue.Pop(time.Time{}, nil)
		if !ok {
			break
		}
		o.uncountQueued(item)
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

// startRequests starts queued requests while the engine's batch has capacity.
func (o *Owner) startRequests(ctx context.Context, now time.Time) {
	for o.running < o.status.capacity() && o.mayStart(now) {
		item, ok := o.queue.Pop(now, o.slotTable.Resident)
		if !ok {
			return
		}
		o.uncountQueued(item)
		s := item.Payload
		if !s.claim() {
			continue
		}
		o.startRequest(ctx, s, now)
	}
}

// startRequest pins the adapter of a request and streams its answer in a new goroutine.
func (o *Owner) startRequest(ctx context.Context, s *submission, now time.Time) {
	id := s.request.Adapter
	o.slotTable.Pin(id)
	o.runningByAdapter[id]++
	o.running++
	o.status.snapshotStale = true
	if o.Observer.OnStart != nil {
		o.Observer.OnStart(&s.request, now.Sub(s.arrivedAt), s.stalled)
	}
	o.tasks.Go(func() {
		usage, err := o.runStream(ctx, s)
		o.post(func(now time.Time) { o.finishRequest(s, usage, err, now) })
	})
}

// runStream streams the answer to a request until its deadline, or until the context
// of the caller or of the owner ends.
func (o *Owner) runStream(ctx context.Context, s *submission) (Usage, error) {
	merged, cancel := context.WithDeadline(s.ctx, s.request.Deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	return o.Engine.Stream(merged, &s.request, o.FencingNumber, s.emit)
}

// finishRequest unpins the adapter and delivers the outcome. If the engine refused the
// request because its adapter was not resident, it queues the request again.
func (o *Owner) finishRequest(s *submission, usage Usage, err error, now time.Time) {
	id := s.request.Adapter
	o.slotTable.Unpin(id, now)
	o.running--
	o.status.snapshotStale = true
	if o.runningByAdapter[id]--; o.runningByAdapter[id] == 0 {
		delete(o.runningByAdapter, id)
	}
	if ErrMayHaveRun.Has(err) {
		s.mayHaveRun.Store(true)
	}
	if ErrNotLoaded.Has(err) && s.reloads < maxReloads {
		o.requeue(s, now)
		return
	}
	if ErrStaleFencing.Has(err) {
		o.ownershipLost = true
	}
	if err != nil {
		o.Log.Info("request_failed", zap.String("request_id", s.request.ID), zap.String("target", o.TargetID), zap.Error(err))
		err = streamRefusal(err, s)
	}
	s.outcome <- outcome{usage: usage, err: err}
}

// requeue queues a request again that the engine refused for a missing adapter.
func (o *Owner) requeue(s *submission, now time.Time) {
	o.slotTable.Remove(s.request.Adapter)
	s.reloads++
	s.stalled = true
	s.claimed.Store(false)
	if s.ctx.Err() != nil {
		o.refuse(s, abandonedError(s.ctx))
		return
	}
	o.enqueue(s, now)
}

// streamRefusal returns the refusal for the error of a stream. An engine's error becomes
// a refusal marked as not run only if the engine did not execute the request and no
// earlier attempt may have.
func streamRefusal(err error, s *submission) *refusal.Error {
	var existing *refusal.Error
	noEarlierRun := !s.request.Resume && s.request.Offset == 0 && !s.mayHaveRun.Load()
	switch {
	case errors.As(err, &existing):
		return existing
	case ErrStaleFencing.Has(err) && noEarlierRun:
		return notOwnerError().WithCause(err)
	case ErrNotSent.Has(err) && noEarlierRun:
		return unreachableError().WithCause(err)
	case ErrNotLoaded.Has(err) && noEarlierRun:
		return refusal.NotRun(refusal.CodeLoadFailed, "the target lost the adapter").WithCause(err).WithRetryAfter(unreachableRetryAfter)
	case ErrUnknownStream.Has(err):
		return refusal.MayHaveRun(refusal.CodeStreamGone, "the target does not hold the answer any more").WithCause(err)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.MayHaveRun(refusal.CodeDeadlineExceeded, "the request's time is over").WithCause(err)
	case errors.Is(err, context.Canceled):
		return refusal.MayHaveRun(refusal.CodeCallerGone, "the request was cancelled").WithCause(err)
	case ErrWrongAnswer.Has(err):
		return refusal.MayHaveRun(refusal.CodeWrongAnswer, "the target gave a wrong answer").WithCause(err)
	}
	return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer broke off").WithCause(err)
}

func sortedIDs(ids map[adapter.ID]int) []adapter.ID {
	return slices.SortedFunc(maps.Keys(ids), func(a, b adapter.ID) int {
		return strings.Compare(a.String(), b.String())
	})
}
