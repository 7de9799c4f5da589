package throttle

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
)

const (
	// shareInterval is how long a share is used before it is computed again from the
	// known instances.
	shareInterval = 500 * time.Millisecond
	// repeatInterval is the time after which a statement that has been confirmed is
	// passed on again: an instance that sends nothing to the target may hold an older
	// one.
	repeatInterval = 10 * time.Second
)

// Limiter holds the limits that targets state, and the rejections that brittle ones bear,
// with this instance's part of each. It is safe for concurrent use. Set the exported fields before the first use.
type Limiter struct {
	// Self is the id of this instance.
	Self string
	// StartedAt is when this instance started.
	StartedAt time.Time
	// Members returns the ids of all known instances, this one included, also of those
	// that are silent for the moment.
	Members func() []string
	// Cold returns the limit of a target that is cold, and false for one that is warm; nil
	// means that all are warm. It must not call the limiter.
	Cold func(deployment.Target) (ColdLimit, bool)
	// OnChange is called, without the lock, with each statement to pass on: those that say
	// something new, and one every repeatInterval.
	OnChange func(Statement)
	Now      func() time.Time
	Log      *zap.Logger

	mu     sync.Mutex
	limits map[deployment.TargetID]*limit
	// risks holds this instance's parts of the rejections that brittle targets bear.
	risks map[deployment.TargetID]*risk
	// colds holds this instance's parts of the limits of cold targets.
	colds map[deployment.TargetID]*cold
}

// limit is the last statement of a target, with this instance's part.
type limit struct {
	Statement
	bucket   bucket
	sharedAt time.Time
	// passedOnAt is the time of the statement that was last passed on.
	passedOnAt time.Time
}

// Observe records what a target stated in a response to this instance. With final unset the
// response says nothing by what it leaves out, and ends nothing that the target stated
// before.
func (l *Limiter) Observe(target deployment.Target, s Statement, final bool) {
	s.Target, s.Generation, s.Service, s.At = target.ID, target.Generation, target.Service, l.Now()
	if !final {
		l.mu.Lock()
		if known, ok := l.limits[target.ID]; ok && known.Generation == target.Generation {
			s = s.over(known.Statement)
		}
		l.mu.Unlock()
	}
	l.apply(s)
}

// Merge applies a statement that another instance received.
func (l *Limiter) Merge(s Statement) { l.apply(s) }

func (l *Limiter) apply(s Statement) {
	l.mu.Lock()
	passOn := l.set(s)
	l.mu.Unlock()
	if passOn && l.OnChange != nil {
		l.OnChange(s)
	}
}

// set stores a statement if it is newer than the one before. It reports whether it is to
// be passed on. The caller holds the lock.
func (l *Limiter) set(s Statement) bool {
	known, ok := l.limits[s.Target]
	switch {
	case !ok && !s.Limited && !s.Brittle:
		return false
	case !ok:
		if l.limits == nil {
			l.limits = map[deployment.TargetID]*limit{}
		}
		known = &limit{bucket: bucket{refilledAt: l.Now()}}
		l.limits[s.Target] = known
	case !s.Newer(known.Statement):
		return false
	}
	changed := !ok || !s.same(known.Statement) || s.Generation != known.Generation
	known.Statement = s
	if changed {
		known.sharedAt = time.Time{}
		l.Log.Info("limit of a target changed", zap.String("target", string(s.Target)), zap.Int64("generation", s.Generation),
			zap.Bool("limited", s.Limited), zap.Float64("requests_per_second", s.PerSecond),
			zap.Bool("brittle", s.Brittle), zap.Int("rejections_per_second", s.Rejections))
	}
	if !changed && s.At.Sub(known.passedOnAt) < repeatInterval {
		return false
	}
	known.passedOnAt = s.At
	return true
}

// current returns the limit of a target with an up-to-date bucket; nil if the target has
// none. The caller holds the lock.
func (l *Limiter) current(target deployment.Target) *limit {
	known, ok := l.limits[target.ID]
	if !ok || !known.Limited || known.Generation != target.Generation {
		return nil
	}
	now := l.Now()
	known.bucket.refill(now)
	if now.Sub(known.sharedAt) >= shareInterval {
		known.sharedAt = now
		known.bucket.share = shareOf(target.ID, known.PerSecond, l.Self, l.Members())
		known.bucket.level = min(known.bucket.level, known.bucket.depth)
	}
	return known
}

// Wait returns the time until this instance may send a request to a target; zero if it
// may send one now, OthersOnly if it sends none.
func (l *Limiter) Wait(target deployment.Target) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.waitCold(l.currentCold(target))
	if known := l.current(target); known != nil {
		wait = max(wait, known.bucket.wait())
	}
	return wait
}

// Take counts a request that is about to be sent to a target. It returns false, and
// counts nothing, if the target's limit, or that of a cold one, does not allow it.
func (l *Limiter) Take(target deployment.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, cold := l.current(target), l.currentCold(target)
	if l.waitCold(cold) > 0 || known != nil && known.bucket.level < 1 {
		return false
	}
	if known != nil {
		known.bucket.level--
	}
	if cold != nil {
		cold.level--
	}
	return true
}

// LimitedCount returns the number of targets that state a limit.
func (l *Limiter) LimitedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, known := range l.limits {
		if known.Limited {
			count++
		}
	}
	return count
}

// Known reports whether the limiter holds a statement of a target.
func (l *Limiter) Known(id deployment.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.limits[id]
	return ok
}

// Retain removes the statements of all targets that have not been listed for
// unlistedRetention.
func (l *Limiter) Retain(listed map[deployment.TargetID]deployment.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for id := range l.colds {
		if _, ok := listed[id]; !ok {
			delete(l.colds, id)
		}
	}
	for id, known := range l.limits {
		if _, ok := listed[id]; !ok && now.Sub(known.At) > unlistedRetention {
			delete(l.limits, id)
			delete(l.risks, id)
		}
	}
}

// unlistedRetention is how long the statement of a target that is not listed is kept:
// the entry of a running target can lapse for a while and then return.
const unlistedRetention = time.Minute
