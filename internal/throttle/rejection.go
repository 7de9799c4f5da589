package throttle

import (
	"slices"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// rejectionWindow is the time in which a brittle target bears its number of rejections,
	// with a margin for the time that a request and its answer travel.
	rejectionWindow = time.Second + 150*time.Millisecond
	// riskTime is how long after a request was sent the target may still reject it for want
	// of room. One that it has not rejected by then waits in its queue or runs.
	riskTime = 100 * time.Millisecond
	// restartTime is how long an instance that has started risks no rejection: it does not
	// know what the targets have rejected of its last process, nor perhaps all others.
	restartTime = rejectionWindow + 350*time.Millisecond
)

// risk is this instance's part of the rejections that a brittle target bears. Each request
// that is sent holds a token until it is known that the target does not reject it; the
// token of a rejected one is used up for rejectionWindow. So, as all instances together
// hold as many tokens as the target bears rejections, no window has more.
type risk struct {
	tokens int
	// held is the number of requests that may still be rejected.
	held int
	// usedUntil are the ends of the windows of used-up tokens.
	usedUntil []time.Time
}

// free reports whether a token is free.
func (r *risk) free(now time.Time) bool {
	r.usedUntil = slices.DeleteFunc(r.usedUntil, func(until time.Time) bool { return !now.Before(until) })
	return r.held+len(r.usedUntil) < r.tokens
}

// tokensOf returns the part of the instance self of the rejections that a target bears: each
// instance has the same number, and the first in the target's order one more if they do
// not divide evenly.
func tokensOf(target deployment.TargetID, rejections int, self string, members []string) int {
	rank := rankOf(target, self, members)
	if rank < 0 || len(members) == 0 {
		return 0
	}
	tokens := rejections / len(members)
	if rank < rejections%len(members) {
		tokens++
	}
	return tokens
}

// Attempt is a request that is sent to a target, with the risk that the target rejects it.
// The zero value is at no risk.
type Attempt struct {
	limiter *Limiter
	target  deployment.TargetID
	// settled is set once the outcome is counted, returned once the token is.
	settled, returned bool
	timer             *time.Timer
}

// Risk takes a token for a request that is about to be sent to a target. It returns false if
// the target is brittle and none is free. The caller calls Settle with the outcome.
func (l *Limiter) Risk(target deployment.Target) (*Attempt, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rejections, brittle := l.rejections(target)
	if !brittle {
		return &Attempt{settled: true}, true
	}
	r := l.risk(target.ID, rejections)
	now := l.Now()
	if now.Sub(l.StartedAt) < restartTime || !r.free(now) {
		return nil, false
	}
	r.held++
	a := &Attempt{limiter: l, target: target.ID}
	a.timer = time.AfterFunc(riskTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		a.release()
	})
	return a, true
}

// Settle records whether the target has rejected the request.
func (a *Attempt) Settle(rejected bool) {
	if a.limiter == nil {
		return
	}
	a.timer.Stop()
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if a.settled {
		return
	}
	a.settled = true
	a.release()
	if r, ok := a.limiter.risks[a.target]; ok && rejected {
		r.usedUntil = append(r.usedUntil, a.limiter.Now().Add(rejectionWindow))
	}
}

// release returns the token. The caller holds the lock.
func (a *Attempt) release() {
	if r, ok := a.limiter.risks[a.target]; ok && !a.returned {
		r.held--
	}
	a.returned = true
}

// rejections returns how many rejections a second a target bears, and false if it is not
// brittle. A target that has not stated anything yet is taken to be as brittle as the
// others of its service: the ones that fell over start again without a word. The caller
// holds the lock.
func (l *Limiter) rejections(target deployment.Target) (int, bool) {
	if known, ok := l.limits[target.ID]; ok && known.Generation == target.Generation {
		return known.Rejections, known.Brittle
	}
	fewest, brittle := 0, false
	for _, known := range l.limits {
		if known.Service == target.Service && known.Brittle && (!brittle || known.Rejections < fewest) {
			fewest, brittle = known.Rejections, true
		}
	}
	return fewest, brittle
}

// risk returns the up-to-date risk of a brittle target. The caller holds the lock.
func (l *Limiter) risk(id deployment.TargetID, rejections int) *risk {
	r, ok := l.risks[id]
	if !ok {
		if l.risks == nil {
			l.risks = map[deployment.TargetID]*risk{}
		}
		r = &risk{}
		l.risks[id] = r
	}
	r.tokens = tokensOf(id, rejections, l.Self, l.Members())
	return r
}
