package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync/atomic"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/refusal"
)

const (
	// minClientPatience is the least time for which clients wait for the next event of
	// a stream before they disconnect. The objectives of the route lengthen it by
	// their factors.
	minClientPatience        = 2 * time.Second
	latencyObjectivePatience = 4
	gapObjectivePatience     = 8
	// streamHedgeShare is the fraction of the client's patience after which a silent
	// stream is hedged. The rest is left for the hedge to start.
	streamHedgeShare = 0.6
	// idempotentHedgeShare is the fraction of the remaining time after which an
	// idempotent request without a response is hedged.
	idempotentHedgeShare = 0.4
)

// errHedged is the cause with which an attempt ends whose hedge was faster.
var errHedged = errors.New("a hedge of the request was faster")

// hedgeState decides which of two attempts provides the response.
type hedgeState = int32

const (
	// hedgePending means that neither attempt has provided a response yet.
	hedgePending hedgeState = iota
	// hedgeWon means that the hedge provides the response.
	hedgeWon
	// hedgeEnded means that the hedge failed or that the first attempt was faster.
	hedgeEnded
)

// hedge is a further attempt of a request whose target has been silent for a while.
// It runs beside the silent attempt, the source, which ends only after the hedge has
// received the continuation: a silent target may go on, and a hedge may be refused.
// Exactly one of the two provides what the client receives next.
type hedge struct {
	// exchange holds the delivery of the hedge. Its goroutine owns it until done is
	// closed.
	exchange *exchange
	state    atomic.Int32
	// refused is why the hedge failed; nil if it has a response.
	refused *refusal.Error
	// early is set if the source was only slow when the hedge started.
	early bool
	// done is closed at the end of the hedge's goroutine.
	done chan struct{}
}

// prefetched is what a hedge has read of its response: the whole body, or the first
// event with the reader of the further ones.
type prefetched struct {
	reader *eventReader
	event  eventstream.Event
	err    error
	body   []byte
}

// silenceLimit returns how long a target may send nothing before the request is
// hedged, or zero if requests of the route are never hedged.
func (e *exchange) silenceLimit() time.Duration {
	switch {
	case !e.route.Repeatable():
		return 0
	case e.route.Kind == deployment.Streaming:
		patience := max(minClientPatience, latencyObjectivePatience*e.route.LatencyObjective, gapObjectivePatience*e.route.GapObjective)
		return time.Duration(streamHedgeShare * float64(patience))
	}
	if limit := e.slowSilenceLimit(); limit > 0 {
		return min(limit, e.idempotentLimit())
	}
	return e.idempotentLimit()
}

// idempotentLimit returns how long a target may send nothing for an idempotent request before
// it counts as silent.
func (e *exchange) idempotentLimit() time.Duration {
	return max(time.Duration(idempotentHedgeShare*float64(e.remaining())), e.route.LatencyObjective)
}

// startHedge starts a hedge of the request, unless one is under way or no further
// attempt is allowed. The goroutine that waits for the source calls it. The source may
// itself be a hedge.
func (e *exchange) startHedge() {
	e.countPending()
	if e.hedgeUnderWay() || !e.mayRetry() {
		return
	}
	h := &hedge{exchange: e.cloneForHedge(), early: e.onlySlow(), done: make(chan struct{})}
	e.hedge = h
	e.recordStep("hedge", e.target.ID, "started")
	if !h.early {
		e.server.OnFailure(e.target)
	}
	go h.run(e.cancelAttempt)
}

// hedgeUnderWay reports whether a hedge is pending or has won. It drops one that has
// failed.
func (e *exchange) hedgeUnderWay() bool {
	if e.hedge == nil {
		return false
	}
	select {
	case <-e.hedge.done:
	default:
		return true
	}
	if e.hedge.refused == nil {
		return true
	}
	e.dropHedge(e.hedge)
	return false
}

// dropHedge forgets a hedge that has failed, except for a response of its target that is an
// error or in doubt. Its targets may be selected again: they did not fail the source.
func (e *exchange) dropHedge(h *hedge) {
	e.hedge = nil
	if e.lastFailure == nil {
		e.lastFailure = h.exchange.lastFailure
	}
	if e.inDoubt == nil {
		e.inDoubt = h.exchange.inDoubt
	}
	e.endHedge(hedgeOutcomeFailed)
}

// cloneForHedge returns an exchange for the same request that shares its progress and
// its deadline, but has a delivery of its own and no client. It ends with e.
func (e *exchange) cloneForHedge() *exchange {
	clone := &exchange{
		server: e.server, request: e.request, startedAt: e.startedAt, configuration: e.configuration, route: e.route, service: e.service, software: e.software,
		team: e.team, keyHash: e.keyHash, digest: e.digest, deadline: e.deadline,
	}
	clone.ctx, clone.cancel = context.WithCancelCause(e.ctx)
	clone.progress, clone.lastEventID, clone.excluded = e.progress, e.lastEventID, maps.Clone(e.excluded)
	clone.excluded[e.target.ID] = true
	return clone
}

// run obtains the continuation from another target. It then ends the source, unless
// the source was faster or the hedge failed.
func (h *hedge) run(endSource context.CancelCauseFunc) {
	defer close(h.done)
	e := h.exchange
	if h.refused = e.obtainResponse(); h.refused == nil {
		h.refused = e.prefetch()
	}
	if h.refused == nil && h.state.CompareAndSwap(hedgePending, hedgeWon) {
		endSource(errHedged)
		return
	}
	h.state.CompareAndSwap(hedgePending, hedgeEnded)
	if h.refused == nil {
		h.refused = refusal.MayHaveRun(refusal.CodeMayHaveRun, "the first attempt was faster")
	}
	if e.response != nil {
		e.response.Close()
	}
	e.tracked.end()
	e.cancel(nil)
}

// prefetch reads the part of the response that shows that the target goes on: the
// first event of a stream, or the complete body of another response. A hedge of this
// exchange may have read it already.
func (e *exchange) prefetch() *refusal.Error {
	if e.prefetched != nil {
		return nil
	}
	if e.wantsEvents() && e.response.Success() {
		return e.prefetchEvent()
	}
	body, err := e.readBody()
	if err != nil {
		e.recordReadError(err, body)
		return refusal.MayHaveRun(refusal.CodeMayHaveRun, "the target's answer broke off").WithCause(err)
	}
	if !e.response.Success() {
		e.lastFailure = &bufferedResponse{ResponseHead: e.response.ResponseHead, body: body}
		return refusal.MayHaveRun(refusal.CodeMayHaveRun, "the hedge's target failed with status %d", e.response.Status)
	}
	e.prefetched = &prefetched{body: body}
	return nil
}

// prefetchEvent reads the first event. It must follow the last one that the client has.
func (e *exchange) prefetchEvent() *refusal.Error {
	p := &prefetched{reader: e.newEventReader()}
	p.event, p.err = p.reader.next(e.lastEventID)
	p.err = e.checkStreamEnd(p.event, p.err)
	if h := e.settleHedge(p.err == nil || errors.Is(p.err, io.EOF)); h != nil {
		e.adopt(h)
		return nil
	}
	if p.err != nil && !errors.Is(p.err, io.EOF) {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the target broke the hedge off").WithCause(p.err)
	}
	if p.err == nil {
		e.observeEvent()
	}
	e.prefetched = p
	return nil
}

// settleHedge decides, after a read of the source returned, whether the source or its
// hedge provides what comes next. answered is set if the source can go on, or has
// given its final answer; otherwise it waits for a hedge that is under way. It returns
// the hedge if that one goes on; the caller adopts it.
func (e *exchange) settleHedge(answered bool) *hedge {
	h := e.hedge
	if h == nil {
		return nil
	}
	if answered && h.state.CompareAndSwap(hedgePending, hedgeEnded) {
		e.hedge = nil
		h.exchange.cancel(errHedged)
		// Whether the hedge was sent is known only when it has ended.
		<-h.done
		e.endHedge(hedgeOutcomeSlower)
		return nil
	}
	<-h.done
	if h.refused != nil {
		e.dropHedge(h)
		return nil
	}
	return h
}

// The outcomes of a hedge, in the trace and in the metrics.
const (
	hedgeOutcomeWon    = "won"
	hedgeOutcomeSlower = "slower"
	hedgeOutcomeFailed = "failed"
)

func (e *exchange) endHedge(outcome string) {
	e.recordStep("hedge", e.target.ID, outcome)
	e.server.Metrics.countHedge(outcome)
}

// recordSilence records that the hedge of a silent target was faster. Idle connections
// to the target may be as silent as the one that was awaited. A target that is only slow has
// not failed.
func (e *exchange) recordSilence() {
	if e.outrun() {
		return
	}
	e.server.Upstream.CloseIdleTo(e.target.Address)
	e.recordTargetFailure(errHedged)
}

// adopt makes the response of a hedge that won the exchange's response. The source
// may be selected again: it was silent, but may have gone on since.
func (e *exchange) adopt(h *hedge) {
	e.endHedge(hedgeOutcomeWon)
	e.sampleOutrun()
	source, lastFailure, inDoubt := e.target.ID, e.lastFailure, e.inDoubt
	e.tracked.end()
	e.delivery = h.exchange.delivery
	delete(e.excluded, source)
	if e.lastFailure == nil {
		e.lastFailure = lastFailure
	}
	if e.inDoubt == nil {
		e.inDoubt = inDoubt
	}
	e.armHedge()
}

// armHedge lets a hedge of the current response start when its target is silent, as
// far as the route allows another attempt.
func (e *exchange) armHedge() {
	if e.mayRetry() {
		e.response.SetSilence(e.silenceLimit(), e.startHedge)
		return
	}
	e.response.SetSilence(0, nil)
}
