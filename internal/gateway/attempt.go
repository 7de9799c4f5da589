package gateway

import (
	"context"
	"errors"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

// Limits on the attempts of one request.
const (
	// minRemainingTime is the least time left before the deadline for which another
	// attempt is started.
	minRemainingTime = 30 * time.Millisecond
	// maxSelectionRounds bounds how often a target is selected for a request,
	// whether or not the selection leads to an attempt.
	maxSelectionRounds = 8
	// loadReadyMargin is added to the wait for an adapter that is loading.
	loadReadyMargin = 4 * time.Millisecond
	// maxStartDelay is the longest expected delay before an engine starts a request
	// with which the request is still sent there. Clients disconnect soon after it.
	maxStartDelay = 3 * time.Second
)

// attemptResult classifies the outcome of one attempt.
type attemptResult int

const (
	// attemptAnswered means that there is a response to forward.
	attemptAnswered attemptResult = iota
	// attemptNotRun means that the target did not run the request and will not.
	attemptNotRun
	// attemptAmbiguous means that the target may have run the request.
	attemptAmbiguous
	// attemptTooEarly means that the target did not run the request because the
	// adapter is still loading.
	attemptTooEarly
)

// trackedRequest counts a request as in flight at a target until end is called.
// The zero value counts nothing, and ending it has no effect.
type trackedRequest struct {
	*inflight.TrackedRequest
	// onEnd is called at the end; may be nil.
	onEnd func()
}

func (r *trackedRequest) end() {
	if r.TrackedRequest == nil {
		return
	}
	r.End()
	r.TrackedRequest = nil
	if r.onEnd != nil {
		r.onEnd()
	}
}

// delivery is the part of an exchange that tracks its attempts at targets.
type delivery struct {
	*progress
	// excluded holds the targets that refused or failed the request; they are not
	// selected again.
	excluded map[deployment.TargetID]bool
	tracked  trackedRequest
	target   deployment.Target
	// expectedStart is the estimated delay until the chosen engine starts the
	// request.
	expectedStart time.Duration
	// assignedTo is the engine's assignment to the prompt; the zero value if it has none.
	assignedTo assignedEngine
	// cached is what the chosen engine is expected to hold of the prompt.
	cached cachedPrompt
	sample speedSample
	// behindAll is set when the engine is to serve the request after all others.
	behindAll bool
	// waitedForLoad is set when the request waited for its adapter to load before
	// this attempt.
	waitedForLoad bool
	// lastEventID is the id of the last event passed to the client; at first, of the
	// event after which the client's request resumes the stream.
	lastEventID string
	// chosenAt is when the choice of the current target began, sentAt when the current
	// attempt was started, choiceAge the time between the two.
	chosenAt, sentAt time.Time
	choiceAge        time.Duration
	response         *upstream.Response
	// firstEventAt is when the current target sent its first event; zero before that.
	firstEventAt time.Time
	// soundRecorded is set when the current target's answer has cleared the request
	// and the parts of its prompt.
	soundRecorded bool
	// cancelAttempt ends the current attempt and its response.
	cancelAttempt context.CancelCauseFunc
	// uncounted is set while the current attempt is not counted in progress yet.
	uncounted bool
	// hedge runs beside the current attempt; nil if there is none.
	hedge *hedge
	// prefetched is what a hedge read of the response before the exchange adopted it;
	// nil if the response is unread.
	prefetched *prefetched
	// unidentified holds the targets that did not say in time which of their processes they
	// are. anyProcess is set once the request may go to such targets.
	unidentified []deployment.TargetID
	anyProcess   bool
	// unserved is set when no target of the stream's software version could take it.
	unserved *unservedStream
	// lastFailure is the last error response of a target. It is forwarded if no
	// other target gives a better response.
	lastFailure *bufferedResponse
	// inDoubt is the last response that seems complete, from a target of which nothing is
	// known but that others of its responses broke off. It is forwarded if no further
	// attempt gives a complete response.
	inDoubt *bufferedResponse
}

// bufferedResponse is a response that was read completely into memory.
type bufferedResponse struct {
	upstream.ResponseHead
	body []byte
}

// deliver sends the request to targets until one answers, and forwards the
// response to the client.
func (e *exchange) deliver() {
	e.watchClient()
	e.excluded = map[deployment.TargetID]bool{}
	e.lastEventID = e.request.LastEventID
	if refused := e.awaitAllowance(); refused != nil {
		e.refuse(refused)
		return
	}
	if refused := e.bindToOrigin(); refused != nil {
		e.refuse(refused)
		return
	}
	if e.request.Adapter.Model != "" {
		e.server.Demand.Record(e.request.Adapter)
	}
	if refused := e.obtainResponse(); refused != nil {
		e.finishFailed(refused)
		return
	}
	if e.wantsEvents() && e.response.Success() {
		e.forwardStream()
		return
	}
	e.forwardBuffered()
}

// finishFailed ends an exchange whose attempts all failed. It forwards a response that is in
// doubt if there is one, or else a target's error response, since that may tell the client
// more than the refusal.
func (e *exchange) finishFailed(refused *refusal.Error) {
	switch {
	case e.inDoubt != nil:
		e.forwardResponse(e.inDoubt)
	case e.lastFailure != nil:
		e.forwardResponse(e.lastFailure)
	default:
		e.reserveForReturn(refused)
		e.expectReturn(refused)
		e.refuse(refused)
	}
}

// obtainResponse sends the request to targets until one answers. It returns a
// refusal if none does or if no further attempt is allowed.
func (e *exchange) obtainResponse() *refusal.Error {
	for range maxSelectionRounds {
		if refused := e.checkClientAndDeadline(); refused != nil {
			return refused
		}
		if len(e.unidentified) >= maxUnidentified {
			e.acceptAnyProcess()
		}
		attempt, refused := e.prepareAttempt()
		if refused != nil && e.acceptAnyProcess() {
			continue
		}
		if refused != nil {
			return e.downgradeNotRun(refused)
		}
		if attempt == nil {
			continue
		}
		if !e.stillUsable() {
			continue
		}
		if !e.server.Limits.Take(e.target) {
			e.recordStep("select", e.target.ID, "limit")
			continue
		}
		if refused := e.authorizeAttempt(); refused != nil {
			return e.downgradeNotRun(refused)
		}
		switch e.sendAttempt(attempt) {
		case attemptAnswered:
			return nil
		case attemptAmbiguous:
			if !e.mayRetry() {
				return refusal.MayHaveRun(refusal.CodeMayHaveRun, "no whole answer of the target")
			}
		}
	}
	return e.downgradeNotRun(refusal.NotRun(refusal.CodeNoTarget, "no target took the request").WithRetryAfter(retrySoon))
}

// mayRetry reports whether a request that may have run may be sent again.
func (e *exchange) mayRetry() bool {
	_, possibleRuns := e.counts()
	return e.route.Repeatable() && possibleRuns < e.route.MaxAttempts
}

// mayHaveRun reports whether an attempt may have run.
func (e *exchange) mayHaveRun() bool {
	_, possibleRuns := e.counts()
	return possibleRuns > 0
}

// downgradeNotRun turns a not-run refusal into a may-have-run refusal if an
// earlier attempt may have run, and returns other refusals unchanged.
func (e *exchange) downgradeNotRun(refused *refusal.Error) *refusal.Error {
	if e.mayHaveRun() && refused.NotRun {
		code := refusal.CodeMayHaveRun
		if refused.Code == refusal.CodeCallerGone {
			code = refused.Code
		}
		return refusal.MayHaveRun(code, "%s", refused.Message).WithCause(refused.Cause)
	}
	return refused
}

// checkClientAndDeadline refuses a request whose client has disconnected or whose
// deadline is too close for another attempt.
func (e *exchange) checkClientAndDeadline() *refusal.Error {
	switch cause := context.Cause(e.ctx); {
	case errors.Is(cause, errClientGone):
		return e.downgradeNotRun(refusal.NotRun(refusal.CodeCallerGone, "client gone").WithCause(cause))
	case errors.Is(cause, errShutdown):
		return e.downgradeNotRun(refuseShutdown().WithCause(cause))
	case errors.Is(cause, errBlocked):
		return e.downgradeNotRun(refusal.NotRun(refusal.CodeRequestBlocked, "%s", cause).WithRetryAfter(blockedRetryAfter))
	case cause != nil || e.remaining() < minRemainingTime:
		if e.mayHaveRun() {
			return refusal.MayHaveRun(refusal.CodeDeadlineExceeded, "no time left")
		}
		return refusal.NotRun(refusal.CodeOverloaded, "no time left").WithRetryAfter(retrySoon)
	}
	return nil
}

// authorizeAttempt checks, right before an attempt, that the request may still be
// sent: the client may have left, the key may have been withdrawn or the request blocked
// while it waited, and the retry budget, which bounds retries over all instances, may be
// used up.
func (e *exchange) authorizeAttempt() *refusal.Error {
	if e.clientLeft() {
		e.cancel(errClientGone)
		return e.checkClientAndDeadline()
	}
	if refused := e.checkKey(); refused != nil {
		e.recordStep("key", e.target.ID, string(refused.Code))
		return refused
	}
	if refused := e.checkBlocked(); refused != nil {
		e.recordStep("blocked", e.target.ID, string(refused.Code))
		return refused
	}
	if attempts, _ := e.counts(); attempts > 0 && !e.server.Budget.TryWithdraw(e.service) {
		e.recordStep("retry", e.target.ID, "no_budget")
		return refusal.NotRun(refusal.CodeNoTarget, "no repeat is left").WithRetryAfter(retrySoon)
	}
	return nil
}

// sendAttempt sends the request to the selected target once and classifies the
// outcome. On attemptAnswered, e.response holds the response.
func (e *exchange) sendAttempt(attempt *upstream.Attempt) attemptResult {
	s := e.server
	if s.Detector.Health(e.target.ID) != outlier.Healthy {
		s.Detector.RecordProbe(e.target.ID)
	}
	e.tracked = e.track()
	e.tracked.SkipPrefill(e.cached.tokens)
	s.Network.Holder.RecordUse(e.target.ID, e.request.Adapter, 1)
	var ctx context.Context
	ctx, e.cancelAttempt = context.WithCancelCause(e.ctx)
	e.uncounted, e.sentAt, e.firstEventAt, e.soundRecorded = true, s.Now(), time.Time{}, false
	e.choiceAge = e.sentAt.Sub(e.chosenAt)
	response, err := s.Send(ctx, e.target, e.request, attempt)
	if response != nil {
		response.Hold = &e.responses
	}
	result := e.classify(response, err)
	if h := e.settleHedge(result == attemptAnswered); h != nil {
		if response != nil {
			response.Close()
		}
		s.Metrics.countAttempt(attemptResultLabels[result])
		e.adopt(h)
		return attemptAnswered
	}
	if e.waitedForLoad {
		s.Network.RecordLoadWait(e.target.Zone, result == attemptTooEarly)
		e.waitedForLoad = false
	}
	s.Metrics.countAttempt(attemptResultLabels[result])
	if result != attemptAnswered {
		e.tracked.end()
		if result != attemptTooEarly {
			e.excluded[e.target.ID] = true
		}
		return result
	}
	e.response = response
	return result
}

// attemptResultLabels are the values of the outcome label of the attempts metric.
var attemptResultLabels = map[attemptResult]string{attemptAnswered: "answered", attemptNotRun: "not_run", attemptAmbiguous: "unclear", attemptTooEarly: "too_early"}
