package throttle

import (
	"math"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// coldViews is how many groups of instances may differ on who runs, as while a zone is cut
	// off for long, and send to a cold target at the same time.
	coldViews = 2
	// coldSpacing is the part of the requests that a sender may send in a second that it
	// does send in the long run, so that those of two seconds do not meet on the way.
	coldSpacing = 0.9
)

// ColdLimit bounds the requests at a target while it is cold. A target crashes when it gets
// many more.
type ColdLimit struct {
	// PerSecond is the rate that the target tolerates, Most the largest number of requests
	// that all instances together may send in any second.
	PerSecond, Most float64
}

// cold is this instance's part of the limit of a cold target.
type cold struct {
	bucket   bucket
	sharedAt time.Time
}

// coldShareOf returns the part of a cold target's limit of the instance self, among as many
// senders as may each send one request in the same second, whatever else the others
// believe. Where there are fewer instances each one sends more.
func coldShareOf(target deployment.TargetID, limit ColdLimit, self string, members []string) share {
	most := limit.Most / coldViews
	count := max(min(int(most), len(members)), 1)
	if rankOf(target, self, members) >= count {
		return share{}
	}
	each := max(math.Floor(most/float64(count)), 1)
	return share{perSecond: min(limit.PerSecond/float64(count), coldSpacing*each), depth: 1}
}

// currentCold returns the up-to-date bucket of a cold target; nil if the target is warm. The
// caller holds the lock.
func (l *Limiter) currentCold(target deployment.Target) *bucket {
	if l.Cold == nil {
		return nil
	}
	limit, isCold := l.Cold(target)
	if !isCold {
		delete(l.colds, target.ID)
		return nil
	}
	now := l.Now()
	c, ok := l.colds[target.ID]
	if !ok {
		if l.colds == nil {
			l.colds = map[deployment.TargetID]*cold{}
		}
		c = &cold{bucket: bucket{refilledAt: now}}
		l.colds[target.ID] = c
	}
	c.bucket.refill(now)
	if now.Sub(c.sharedAt) >= shareInterval {
		c.sharedAt = now
		c.bucket.share = coldShareOf(target.ID, limit, l.Self, l.Members())
		c.bucket.level = min(c.bucket.level, c.bucket.depth)
	}
	return &c.bucket
}

// waitCold returns the time until this instance may send a request to a target with a bucket of
// currentCold. One that has just started sends none, as perhaps it does not know all others. The
// caller holds the lock.
func (l *Limiter) waitCold(b *bucket) time.Duration {
	if b == nil {
		return 0
	}
	return max(b.wait(), restartTime-l.Now().Sub(l.StartedAt))
}
