package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

const (
	// soundAnswerTime is how long a target must have been sending events of an answer
	// for the parts of its prompt to count as sound: a part that crashes targets does
	// so when they begin to answer.
	soundAnswerTime = time.Second
	// blockedRetryAfter is when a client may ask again whether a part of its prompt is
	// still blocked. Parts are released by evidence or by operators, not by time.
	blockedRetryAfter = time.Minute
)

// errPromptBlocked is the cause with which an exchange is cancelled whose prompt has a
// part that was found to crash targets.
var errPromptBlocked = errors.New("a part of the prompt crashes targets")

// checkPrompt refuses a request with a part of its prompt that crashes targets. It runs
// right before each attempt, as other instances may have found out meanwhile.
func (e *exchange) checkPrompt() *refusal.Error {
	part, blocked := e.server.Crashes.Blocked(e.request.SharedPromptParts())
	if !blocked {
		return nil
	}
	e.server.Crashes.RecordRefusal(part)
	return refusal.NotRun(refusal.CodePromptPartBlocked, "part %s of the prompt crashes targets", part).WithRetryAfter(blockedRetryAfter)
}

// promptBlocked reports whether a request that no target has begun to answer has a part
// of its prompt that crashes targets.
func (e *exchange) promptBlocked() bool {
	if e.answering.Load() {
		return false
	}
	_, blocked := e.server.Crashes.Blocked(e.request.SharedPromptParts())
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
	if parts := e.request.SharedPromptParts(); !e.soundRecorded && len(parts) > 0 {
		e.soundRecorded = true
		e.server.Crashes.RecordSound(parts)
	}
}

// suspects returns the parts of the prompt that may have crashed the current target;
// none if it has been answering for a while, which the call records.
func (e *exchange) suspects() []string {
	if e.answeringFor() >= soundAnswerTime {
		e.recordSound()
		return nil
	}
	return e.request.SharedPromptParts()
}

// observeEnd tells the detector of crashes about a connection that the target's side
// ended before the answer was complete.
func (e *exchange) observeEnd(err error) {
	truncated := eventstream.ErrTruncated.Has(err) && e.response.Length == upstream.LengthUntilClose
	if len(e.request.SharedPromptParts()) == 0 || !truncated && !crash.EndedByTarget(err) {
		return
	}
	e.server.CrashDetector.RecordEnd(e.target, e.suspects())
}

// observeRefused tells the detector of crashes about a connection that the target's
// address refused.
func (e *exchange) observeRefused(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.server.CrashDetector.RecordRefused(e.target)
	}
}

// checkStreamEnd returns the error of reading an event. The end of the connection ends
// a stream that states neither a length nor chunks; it is an error if the target
// crashed, or if it sent no event of a stream that begins.
func (e *exchange) checkStreamEnd(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, io.EOF):
		e.observeEnd(err)
		return err
	case e.response.Length != upstream.LengthUntilClose:
		if !e.firstEventAt.IsZero() {
			e.recordSound()
		}
		return err
	case len(e.request.SharedPromptParts()) > 0 && e.server.CrashDetector.Crashed(ctx, e.target, e.suspects()):
		return upstream.ErrIncompleteResponse.New("the target crashed")
	case e.firstEventAt.IsZero() && e.lastEventID == "":
		return upstream.ErrIncompleteResponse.New("the connection ended before the first event")
	}
	return err
}

// observeEvent records that the current target has sent an event.
func (e *exchange) observeEvent() {
	e.answering.Store(true)
	if e.firstEventAt.IsZero() {
		e.firstEventAt = e.server.Now()
	}
	if e.answeringFor() >= soundAnswerTime {
		e.recordSound()
	}
}
