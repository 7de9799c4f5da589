package adapter

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The scale on which targets are compared, in tokens that a request waits behind.
const (
	// fullBatchTokens is what joining a full batch costs beyond joining an empty one.
	fullBatchTokens = 25
	// prefixHitTokens is what a cached prompt prefix saves.
	prefixHitTokens = 2.0
	// loadTokens is what a load costs, above which a further copy pays.
	loadTokens = 200.0
	// copyWaitFactor is how many times as long the wait for a copy may be as that
	// at a target without one: when all targets are busy, copies help little.
	copyWaitFactor = 2.0
	// boundedLoadFactor is how far above the mean a target may be loaded and
	// still be chosen by hash.
	boundedLoadFactor = 1.25
	// boundedLoadSlackTokens is the load at which a target always counts as free.
	boundedLoadSlackTokens = 40.0
)

// mixMultiplier is odd, with its bits spread evenly.
const mixMultiplier = 0x9E3779B97F4A7C15

// Want is what the router needs to know of a request.
type Want struct {
	Adapter   ID
	BaseModel string
	// PrefixHash identifies the start of the prompt; zero when there is none.
	PrefixHash uint64
	// Tokens is what the request can cost at most.
	Tokens int
	// Exclude names a target that has just refused the request; may be empty.
	Exclude string
}

// Router chooses the target of a request. A target where the adapter is resident
// goes first, by expected wait. With no copy, or when a further copy is worth its
// load, rendezvous hashing names the target among those not loaded beyond a bound
// over the mean, so that all instances choose alike without talking.
// The zero value is ready for use.
type Router struct{}

// Choose returns the target for a request, and false when none is usable. It
// neither allocates nor changes the view; call View.Sent for what is really sent.
func (r *Router) Choose(want *Want, view *View, _ time.Time) (string, bool) {
	copyIndex, copyWait := r.bestCopy(want, view)
	if copyIndex >= 0 && copyWait <= loadTokens {
		return view.targets[copyIndex].ID, true
	}
	homeIndex, homeWait := r.home(want, view)
	switch {
	case homeIndex < 0 && copyIndex < 0:
		return "", false
	case homeIndex < 0, copyIndex >= 0 && copyWait <= copyWaitFactor*homeWait+loadTokens:
		return view.targets[copyIndex].ID, true
	}
	return view.targets[homeIndex].ID, true
}

// bestCopy returns the usable target with the adapter resident that makes the
// request wait least, or -1.
func (r *Router) bestCopy(want *Want, view *View) (int32, float64) {
	best, bestWait := int32(-1), math.Inf(1)
	for _, i := range view.resident[want.Adapter] {
		s := &view.targets[i]
		if !s.accepts(want) {
			continue
		}
		if wait := s.expectedWait(want.PrefixHash); wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return best, bestWait
}

// home returns the target that rendezvous hashing names for an adapter, or -1.
func (r *Router) home(want *Want, view *View) (int32, float64) {
	c, ok := view.models[want.BaseModel]
	if !ok {
		return -1, 0
	}
	bound := c.loadBound()
	hash := hashID(want.Adapter)
	excluded := view.indexOf(want.Exclude)
	best, bestScore := int32(-1), uint64(0)
	least, leastLoad := int32(-1), int64(math.MaxInt64)
	for i := range c.members {
		m := &c.members[i]
		if m.index == excluded {
			continue
		}
		if m.load < leastLoad {
			least, leastLoad = m.index, m.load
		}
		if m.load > bound {
			continue
		}
		if score := rendezvousScore(hash, m.hash); best < 0 || score > bestScore {
			best, bestScore = m.index, score
		}
	}
	if best < 0 {
		best = least
	}
	if best < 0 {
		return -1, 0
	}
	return best, view.targets[best].expectedWait(want.PrefixHash)
}

// loadBound returns the load above which a target is passed over.
func (c *candidates) loadBound() int64 {
	mean := float64(c.loadSum) / float64(len(c.members))
	return int64(boundedLoadFactor*mean + boundedLoadSlackTokens)
}

func (s *targetState) accepts(want *Want) bool {
	return s.Usable && s.BaseModel == want.BaseModel && (want.Exclude == "" || s.ID != want.Exclude)
}

// load is the expected wait without affinity, in tokens per batch place.
func (s *targetState) load() int64 {
	capacity := max(s.TargetLoad.Capacity, 1)
	places := fullBatchTokens * (s.Running + s.sentRequests)
	return int64((s.QueuedTokens + s.sentTokens + places) / capacity)
}

func (s *targetState) expectedWait(prefix uint64) float64 {
	wait := float64(s.load())
	if prefix != 0 && s.prefixes[prefix%prefixSlots] == prefix {
		wait -= prefixHitTokens
	}
	return wait
}

// hashID hashes an id in its text form without building it.
func hashID(id ID) uint64 {
	return rendezvousScore(xxhash.Sum64String(id.Name), xxhash.Sum64String(id.Version))
}

// rendezvousScore mixes two hashes by a folded multiplication.
func rendezvousScore(a, b uint64) uint64 {
	high, low := bits.Mul64(a^b, mixMultiplier)
	return high ^ low
}
