package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/forwarding"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/upstream"
)

// classify determines the outcome of an attempt, records it in the trace and
// updates the outlier detector.
func (e *exchange) classify(response *upstream.Response, err error) attemptResult {
	if upstream.NotIdentified(err) {
		e.refundRetry()
		if e.ctx.Err() == nil {
			e.recordNotIdentified(err)
		}
		return attemptNotRun
	}
	if upstream.ErrNotSent.Has(err) {
		e.refundRetry()
		e.observeRefused(err)
		if e.ctx.Err() == nil {
			e.recordStep("send", e.target.ID, "not_sent: "+err.Error())
			e.recordTargetFailure(err)
		}
		return attemptNotRun
	}
	e.countPending()
	if err == nil && response.NotRun {
		e.retractRun()
	}
	if err != nil {
		e.recordStep("send", e.target.ID, "broken: "+err.Error())
		e.observeEnd(err)
		if e.ctx.Err() == nil {
			e.recordTargetFailure(err)
		}
		return attemptAmbiguous
	}
	return e.classifyHead(response)
}

// classifyHead determines the outcome of an attempt whose target sent the head of a
// response.
func (e *exchange) classifyHead(response *upstream.Response) attemptResult {
	s, head := e.server, &response.ResponseHead
	s.Availability.Observe(e.target, head)
	if head.Success() && head.Signed {
		s.Limits.Observe(e.target, StatementOf(head), true)
	}
	switch {
	case head.NotRun:
		e.recordStep("send", e.target.ID, refusalOutcome(head))
		discard(response)
		return e.handleTargetRefusal(head)
	case head.Success() && (!head.Signed || head.RequestID != e.request.ID):
		e.recordStep("send", e.target.ID, "unsigned")
		response.Close()
		return attemptAmbiguous
	case head.Success() && e.wantsEvents() && !isStream(head):
		e.recordStep("send", e.target.ID, "no_stream "+strconv.Itoa(head.Status))
		s.Detector.RecordAnswer(e.target.ID, true)
		response.Close()
		return attemptAmbiguous
	case head.PromisesNotRun() && !e.route.Repeatable():
		e.recordStep("send", e.target.ID, "unstated "+strconv.Itoa(head.Status))
		s.Detector.RecordAnswer(e.target.ID, true)
		discard(response)
		return attemptAmbiguous
	case !head.Success() && e.mayRetryError(head):
		e.recordStep("send", e.target.ID, "error")
		return e.saveFailure(response)
	}
	s.Detector.RecordAnswer(e.target.ID, head.Status >= 500)
	e.recordStep("send", e.target.ID, "answered")
	return attemptAnswered
}

// refusalOutcome returns the outcome of an attempt that its target refused, for the trace.
func refusalOutcome(head *upstream.ResponseHead) string {
	outcome := "refused " + strconv.Itoa(head.Status)
	if head.RequestID == "" {
		outcome += " unnamed"
	}
	return outcome
}

// StatementOf returns what a target states in the head of a response about the requests that
// it takes.
func StatementOf(head *upstream.ResponseHead) throttle.Statement {
	return throttle.Statement{Limited: head.Limited, PerSecond: head.RequestsPerSecond, Brittle: head.Brittle, Rejections: head.Rejections}
}

// countPending counts the current attempt, which may have reached the target, unless
// it is counted already. The first attempt of a request adds to the retry budget.
func (e *exchange) countPending() {
	if !e.uncounted {
		return
	}
	e.uncounted = false
	if before := e.addAttempt(); before == 0 {
		e.server.Budget.Deposit(e.service)
	}
}

// refundRetry returns what authorizeAttempt took from the retry budget for an attempt
// that was not sent.
func (e *exchange) refundRetry() {
	if attempts, _ := e.counts(); attempts > 0 {
		e.server.Budget.Refund(e.service)
	}
}

// recordTargetFailure records that the target could not be reached or gave no
// complete response. The failure of a peer that forwards the request says nothing about
// the target, nor does that a hedge was faster than one that is only slow.
func (e *exchange) recordTargetFailure(err error) {
	if forwarding.ErrPeer.Has(err) || e.outrun() {
		return
	}
	e.server.OnFailure(e.target)
	e.server.Log.Info("target failed a request", targetField(e.target.ID), zap.Int64("generation", e.target.Generation),
		zap.String("request_id", e.request.ID), zap.Strings("prompt_parts", e.request.PromptParts), zap.String("request_digest", e.digest),
		zap.Duration("after", e.server.Now().Sub(e.sentAt)), zap.Int("in_flight", e.server.Tracker.Target(e.target.ID).Requests), zap.Error(err))
	if e.server.Detector.RecordFailure(e.target.ID) {
		e.server.Log.Info("target ejected", targetField(e.target.ID), zap.Error(err))
	}
}

// handleTargetRefusal updates the detector and the adapter directory from a
// target's refusal. It returns attemptTooEarly if the adapter may still be loading
// there.
func (e *exchange) handleTargetRefusal(head *upstream.ResponseHead) attemptResult {
	s := e.server
	switch {
	case head.Pause() > 0:
		s.Detector.RecordRefusal(e.target.ID)
	case !head.Misdirected:
		s.Detector.RecordAnswer(e.target.ID, true)
	case e.request.Adapter.Adapter != "" && s.Directory.RecordLate(e.target.ID, e.request.Adapter):
		return attemptTooEarly
	default:
		s.Directory.RecordAbsent(e.target.ID, e.request.Adapter)
	}
	return attemptNotRun
}

// failureBodyTimeout bounds the reading of an error response that may be retried.
const failureBodyTimeout = time.Second

// The bounds on reading the body of a refusal, of which only the head matters.
const (
	refusalBodyTimeout  = 200 * time.Millisecond
	maxRefusalBodyBytes = 64 << 10
)

// discard reads the body of a response of which only the head matters.
func discard(response *upstream.Response) {
	response.SetSilence(0, nil)
	response.Discard(maxRefusalBodyBytes, refusalBodyTimeout)
}

// mayRetryError reports whether a target's error response may be retried on
// another target.
func (e *exchange) mayRetryError(head *upstream.ResponseHead) bool {
	return head.Status >= 500 && e.mayRetry()
}

// saveFailure keeps a target's error response, to be forwarded if no other target
// gives a better one.
func (e *exchange) saveFailure(response *upstream.Response) attemptResult {
	e.server.Detector.RecordAnswer(e.target.ID, true)
	response.SetSilence(e.silenceLimit(), response.Close)
	timer := time.AfterFunc(failureBodyTimeout, response.Close)
	defer timer.Stop()
	body, err := response.ReadAll()
	if err != nil {
		e.observeEnd(err)
		return attemptAmbiguous
	}
	e.lastFailure = &bufferedResponse{ResponseHead: response.ResponseHead, body: body}
	return attemptAmbiguous
}
