package instance

import (
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

const (
	// maxResumeTime bounds how long a broken stream is retried at its target, which
	// may get a new owner meanwhile.
	maxResumeTime = 20 * time.Second
	// startOverAfter is the time after which a broken request that may start over
	// is run on another target instead of resumed.
	startOverAfter = 2 * time.Second
)

// routedRequest is the state of one request across its attempts.
type routedRequest struct {
	request target.Request
	// model is the base model of the request's adapter.
	model string
	emit  target.Emit
	// nextToken is the index of the first token that has not been emitted.
	nextToken int
	// excluded holds the targets that refused or lost the request, the last one at
	// the end. It is cleared when no other target is usable.
	excluded []string
	// mayHaveRun stays true once any attempt may have reached a target.
	mayHaveRun bool
	// mayForward is set if the request may be forwarded to another zone.
	mayForward bool
	attempts   int
	// brokenAt is when the stream first broke; zero if it has not.
	brokenAt time.Time
}

// mayAttempt reports whether the request may be attempted once more. A patient
// request is retried until its deadline, because it must not be dropped while its
// caller waits. A request whose stream broke has no limit of attempts either.
func (t *routedRequest) mayAttempt() bool {
	patient := t.request.Class == release.Patient
	return patient || t.attempts < maxRouteAttempts || !t.brokenAt.IsZero()
}

// backoff returns the delay before the next attempt. It doubles with each
// attempt, up to maxRouteBackoff.
func (t *routedRequest) backoff() time.Duration {
	backoff := routeBackoff
	for range t.attempts {
		backoff = min(2*backoff, maxRouteBackoff)
	}
	return backoff
}

// lastExcluded returns the target that last refused or lost the request, or "" if
// none did since excluded was cleared.
func (t *routedRequest) lastExcluded() string {
	if len(t.excluded) == 0 {
		return ""
	}
	return t.excluded[len(t.excluded)-1]
}

// emitOnce emits a chunk unless its tokens have been emitted before, as a resumed
// stream may repeat chunks.
func (t *routedRequest) emitOnce(c target.Chunk) error {
	if c.Tokens > 0 && c.Offset+c.Tokens <= t.nextToken {
		return nil
	}
	if err := t.emit(c); err != nil {
		return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller went away").WithCause(err)
	}
	t.nextToken = max(t.nextToken, c.Offset+c.Tokens)
	return nil
}

// recordFailure records the error of an attempt and returns the refusal for the
// caller: NotRun is cleared once any attempt may have run, even if later attempts
// did not run.
func (t *routedRequest) recordFailure(err error) *refusal.Error {
	e := *refusal.From(err)
	t.mayHaveRun = t.mayHaveRun || !e.NotRun
	e.NotRun = !t.mayHaveRun
	return &e
}

// prepareRetry reports whether the request can be retried after err, and prepares
// it for the next attempt.
func (t *routedRequest) prepareRetry(err error) bool {
	e := refusal.From(err)
	switch {
	case e.NotRun && !t.request.Resume:
		t.excluded = append(t.excluded, t.request.TargetID)
		return retryable[e.Code]
	case e.NotRun, e.Code == refusal.CodeBrokenStream, e.Code == refusal.CodeStreamGone:
		return t.prepareResume(e)
	}
	return false
}

// prepareResume prepares the next attempt of a broken stream. The stream is
// resumed at the same target while that may still have it, or started over on
// another target if the caller has received nothing yet. It returns false if
// neither is possible.
func (t *routedRequest) prepareResume(e *refusal.Error) bool {
	now := time.Now()
	if t.brokenAt.IsZero() {
		t.brokenAt = now
	}
	sinceBreak := now.Sub(t.brokenAt)
	streamLost := e.Code == refusal.CodeStreamGone || t.request.TargetID == ""
	switch {
	case sinceBreak > maxResumeTime:
		return false
	case t.mayStartOver() && (streamLost || sinceBreak > startOverAfter):
		t.startOver()
		t.excluded = append(t.excluded, t.request.TargetID)
		t.request.Resume = false
		t.request.TargetID = ""
		return true
	case streamLost:
		return false
	}
	t.request.Resume = true
	return true
}

// mayStartOver reports whether the caller has received nothing yet, so that the
// request can start over.
func (t *routedRequest) mayStartOver() bool {
	return t.nextToken == 0 || t.request.DiscardEmitted != nil
}

// startOver discards the tokens that were emitted but not yet sent to the caller.
func (t *routedRequest) startOver() {
	if t.nextToken > 0 {
		t.request.DiscardEmitted()
		t.nextToken = 0
	}
}

// retryable holds the refusal codes after which a request that has not run may
// succeed on another target, or on the same target a little later.
var retryable = map[refusal.Code]bool{
	refusal.CodeNotOwner:          true,
	refusal.CodeTargetUnreachable: true,
	refusal.CodeShuttingDown:      true,
	refusal.CodeNoTarget:          true,
	refusal.CodeOverloaded:        true,
	refusal.CodeLoadFailed:        true,
}
