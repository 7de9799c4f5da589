package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/deployment"
)

const (
	// extraSenders is how many more instances than requests a second a limit may have as
	// senders. Each sender may send one request at once, so the number bounds what
	// arrives beyond the rate. Users allow half of a limit and five requests more in
	// four seconds; the rest covers instances that disagree about who runs.
	extraSenders = 3
	// minPerSecond replaces lower limits, so that a target that takes nothing for now is
	// asked again.
	minPerSecond = 0.1
)

// share is this instance's part of a limit; the zero value is no part of it.
type share struct {
	// perSecond is the rate, depth the most requests at once.
	perSecond, depth float64
}

// senders returns how many of a number of instances send to a target with a limit.
func senders(perSecond float64, members int) int {
	return max(min(int(math.Min(perSecond, float64(members)))+extraSenders, members), 1)
}

// shareOf returns the part of a limit of the instance self. Few instances send when the
// limit is low: those that rank first for the target, so that other targets get other
// senders.
func shareOf(target deployment.TargetID, perSecond float64, self string, members []string) share {
	perSecond = max(perSecond, minPerSecond)
	count := senders(perSecond, len(members))
	if rankOf(target, self, members) >= count {
		return share{}
	}
	return share{perSecond: perSecond / float64(count), depth: max((perSecond+extraSenders)/float64(count), 1)}
}

// rankOf returns the position of an instance in a target's order of the members.
func rankOf(target deployment.TargetID, self string, members []string) int {
	type ranked struct {
		id     string
		weight uint64
	}
	order := make([]ranked, 0, len(members))
	for _, id := range members {
		order = append(order, ranked{id, xxhash.Sum64String(string(target) + "\x00" + id)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id)) })
	return slices.IndexFunc(order, func(r ranked) bool { return r.id == self })
}

// bucket is the token bucket of a share. It starts empty, so that an instance that
// starts again does not add to what it sent before.
type bucket struct {
	share
	level      float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level = min(b.depth, b.level+elapsed*b.perSecond)
	}
	b.refilledAt = now
}

// wait returns the time until a request may be sent; OthersOnly without a share.
func (b *bucket) wait() time.Duration {
	switch {
	case b.perSecond <= 0:
		return OthersOnly
	case b.level >= 1:
		return 0
	}
	return time.Duration(math.Ceil((1 - b.level) / b.perSecond * float64(time.Second)))
}

// OthersOnly is the wait for a target whose limit the other instances use up.
const OthersOnly = time.Duration(math.MaxInt64)
