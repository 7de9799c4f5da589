package gateway

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

const (
	// soundAnswerTime is how long a target must have been sending events of an answer
	// for the request and the parts of its prompt to count as sound: those that crash
	// targets do so when they begin to answer.
	soundAnswerTime = time.Second
	// blockedRetryAfter is when a client may ask again whether its request, or a part of
	// its prompt, is still blocked. It is released by evidence or by operators, not by
	// time.
	blockedRetryAfter = time.Minute
)

// errBlocked is the cause with which an exchange is cancelled that was found to crash
// targets, by itself or by a part of its prompt.
var errBlocked = errors.New("the request or a part of its prompt crashes targets")

// possibleCauses returns what may be the cause if a target crashes that runs the request:
// the parts of its prompt that other requests may have too, in their order, and the
// request as a whole.
func (e *exchange) possibleCauses() []string {
	return append(slices.Clone(e.request.SharedPromptParts()), e.digest)
}

// checkBlocked refuses a request that crashes targets, by itself or by a part of its
// prompt. It runs right before each attempt, as other instances may have found out
// meanwhile.
func (e *exchange) checkBlocked() *refusal.Error {
	cause, blocked := e.server.Crashes.Blocked(e.possibleCauses())
	if !blocked {
		return nil
	}
	e.server.Crashes.RecordRefusal(cause)
	refused := refusal.NotRun(refusal.CodePromptPartBlocked, "part %s of the prompt crashes targets", cause)
	if crash.IsRequest(cause) {
		refused = refusal.NotRun(refusal.CodeRequestBlocked, "the request crashes targets")
	}
	return refused.WithRetryAfter(blockedRetryAfter)
}

// becameBlocked reports whether a request that no target has begun to answer is blocked.
func (e *exchange) becameBlocked() bool {
	if e.answering.Load() {
		return false
	}
	_, blocked := e.server.Crashes.Blocked(e.possibleCauses())
	return blocked
}

// answeringFor returns how long the current target has been sending events; zero if it
// has sent none.
func (e *exchange) answeringFor() time.Duration {
	if e.firstEventAt.IsZero() {
		return 0
	}
	return e.server.Now().Sub(e.firstEventAt)
}

// recordSound records that the current target answers the request, once for each
// attempt.
func (e *exchange) recordSound() {
	if !e.soundRecorded {
		e.soundRecorded = true
		e.server.Crashes.RecordSound(e.possibleCauses())
	}
}

// suspects returns the possible causes of a crash of the current target; none if it has
// been answering for a while, which the call records.
func (e *exchange) suspects() []string {
	if e.answeringFor() >= soundAnswerTime {
		e.recordSound()
		return nil
	}
	return e.possibleCauses()
}

// observeEnd tells the detector of crashes about a connection that the target's side
// ended before the answer was complete.
func (e *exchange) observeEnd(err error) {
	truncated := eventstream.ErrTruncated.Has(err) && e.response.Length == upstream.LengthUntilClose
	if truncated || crash.EndedByTarget(err) {
		e.server.CrashDetector.RecordEnd(e.target, e.sentAt, e.suspects())
	}
}

// recordIncomplete records that the target gave no complete response, unless that is not
// certain or the exchange has ended.
func (e *exchange) recordIncomplete(err error) {
	mayBeComplete := liveness.ErrUndecided.Has(err) || errors.Is(err, errNothingLeft) && e.lastEventID != ""
	if e.ctx.Err() == nil && !mayBeComplete {
		e.recordTargetFailure(err)
	}
}

// observeRefused tells the detector of crashes about a connection that the target's
// address refused.
func (e *exchange) observeRefused(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.server.CrashDetector.RecordRefused(e.target)
	}
}

// observeEvent records that the current target has sent an event.
func (e *exchange) observeEvent() {
	e.answering.Store(true)
	if e.firstEventAt.IsZero() {
		e.firstEventAt = e.server.Now()
		e.recordPromptStart()
	}
	e.sampleEvent(e.server.Now())
	if e.answeringFor() >= soundAnswerTime {
		e.recordSound()
	}
}
