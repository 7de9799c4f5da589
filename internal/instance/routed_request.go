package instance

import (
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

const (
	// resumeWait bounds how long a broken stream looks for the target's next owner.
	resumeWait = 20 * time.Second
	// startOverAfter is when a broken request is run elsewhere, if it may be.
	startOverAfter = 2 * time.Second
)

// routedRequest is one request's way through the router.
type routedRequest struct {
	request target.Request
	// model is the base model of the request's adapter.
	model string
	emit  target.Emit
	// next is the first token that has not been emitted.
	next int
	// excluded are the targets that refused the request.
	excluded []string
	// mayHaveRun stays true once any attempt may have reached a target.
	mayHaveRun bool
	// mayForward says that an instance of another zone may be asked.
	mayForward bool
	attempts   int
	// brokenAt is when the stream broke first; zero while it has not.
	brokenAt time.Time
}

// mayTry reports whether there is another attempt. A patient request is tried
// until its deadline, since it is not dropped while its caller waits.
func (t *routedRequest) mayTry() bool {
	patient := t.request.Class == release.Patient
	return patient || t.attempts < maxRouteAttempts || !t.brokenAt.IsZero()
}

// pause returns the wait before the next attempt; it doubles up to a bound.
func (t *routedRequest) pause() time.Duration {
	pause := routePause
	for range t.attempts {
		pause = min(2*pause, maxRoutePause)
	}
	return pause
}

// lastExcluded returns the target that refused last; empty if none did.
func (t *routedRequest) lastExcluded() string {
	if len(t.excluded) == 0 {
		return ""
	}
	return t.excluded[len(t.excluded)-1]
}

// pass emits a chunk once; a stream that was resumed may repeat some.
func (t *routedRequest) pass(c target.Chunk) error {
	if c.Tokens > 0 && c.Offset+c.Tokens <= t.next {
		return nil
	}
	if err := t.emit(c); err != nil {
		return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller went away").Because(err)
	}
	t.next = max(t.next, c.Offset+c.Tokens)
	return nil
}

// failed notes an attempt's outcome and returns the refusal as the caller may
// see it: one attempt that may have run outweighs all later ones that did not.
func (t *routedRequest) failed(err error) *refusal.Error {
	e := *refusal.From(err)
	t.mayHaveRun = t.mayHaveRun || !e.NotRun
	e.NotRun = !t.mayHaveRun
	return &e
}

// again decides whether and how the request is tried once more.
func (t *routedRequest) again(err error) bool {
	e := refusal.From(err)
	switch {
	case e.NotRun && !t.request.Resume:
		t.excluded = append(t.excluded, t.request.TargetID)
		return retryable[e.Code]
	case e.NotRun, e.Code == refusal.CodeBrokenStream, e.Code == refusal.CodeStreamGone:
		return t.resume(e)
	}
	return false
}

// resume prepares a broken stream to go on: at the same target while that may
// still hold it, or from the start elsewhere if the caller has been given nothing yet.
func (t *routedRequest) resume(e *refusal.Error) bool {
	now := time.Now()
	if t.brokenAt.IsZero() {
		t.brokenAt = now
	}
	broken := now.Sub(t.brokenAt)
	gone := e.Code == refusal.CodeStreamGone || t.request.TargetID == ""
	switch {
	case broken > resumeWait:
		return false
	case t.mayStartOver() && (gone || broken > startOverAfter):
		t.startOver()
		t.excluded = append(t.excluded, t.request.TargetID)
		t.request.Resume = false
		t.request.TargetID = ""
		return true
	case gone:
		return false
	}
	t.request.Resume = true
	return true
}

// mayStartOver reports whether the caller has been given nothing yet.
func (t *routedRequest) mayStartOver() bool { return t.next == 0 || t.request.StartOver != nil }

// startOver takes back the tokens that were emitted but not given to the caller.
func (t *routedRequest) startOver() {
	if t.next > 0 {
		t.request.StartOver()
		t.next = 0
	}
}

// retryable are the reasons for which another target, or the same a little
// later, may take a request that has not run.
var retryable = map[refusal.Code]bool{
	refusal.CodeNotOwner:        true,
	refusal.CodeTargetUnreached: true,
	refusal.CodeShuttingDown:    true,
	refusal.CodeNoTarget:        true,
	refusal.CodeOverloaded:      true,
	refusal.CodeLoadFailed:      true,
}
