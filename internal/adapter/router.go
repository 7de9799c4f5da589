package adapter

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the expected wait by which targets are compared, in tokens that
// are processed before the request.
const (
	// fullBatchCostTokens is the additional cost of joining a full batch rather than
	// an empty one.
	fullBatchCostTokens = 25
	// prefixHitSavingTokens is the saving of a cached prompt prefix.
	prefixHitSavingTokens = 2.0
	// loadCostTokens is the cost of loading an adapter. While the best resident copy's
	// wait is no longer than this, no further copy is considered.
	loadCostTokens = 200.0
	// copyWaitFactor is how many times as long the wait at a resident copy may be as
	// at a target without one before a further copy is loaded, on top of
	// loadCostTokens. When all targets are busy, further copies help little.
	copyWaitFactor = 2.0
	// boundedLoadFactor is the load, relative to the mean, up to which a target may
	// be chosen by hash (consistent hashing with bounded loads).
	boundedLoadFactor = 1.25
	// boundedLoadSlackTokens is added to the bound. A target with at most this load
	// is always within it.
	boundedLoadSlackTokens = 40.0
)

// mixMultiplier is an odd constant with evenly distributed bits (2^64 divided by
// the golden ratio), for multiplicative hashing.
const mixMultiplier = 0x9E3779B97F4A7C15

// RouteRequest describes a request to the router.
type RouteRequest struct {
	Adapter   ID
	BaseModel string
	// PrefixHash is a hash of the start of the prompt; zero if there is none.
	PrefixHash uint64
	// Tokens is the maximum cost of the request, in tokens.
	Tokens int
	// Exclude is the id of a target that has just refused the request, or empty.
	Exclude string
}

// Router chooses the target of a request. It prefers the target with the shortest
// expected wait among those where the adapter is resident. If there is none, or a
// further copy is worth the cost of loading it, it uses rendezvous hashing over the
// targets whose load is within a bound relative to the mean, so that all instances
// choose the same target without coordination. The zero value is ready for use.
type Router struct{}

// Choose returns the id of the target for a request, or false if none is usable.
// It neither allocates nor changes the view; the caller records the request in the
// view when it sends it.
func (r *Router) Choose(request *RouteRequest, view *View, _ time.Time) (string, bool) {
	copyIndex, copyWait := r.bestCopy(request, view)
	if copyIndex >= 0 && copyWait <= loadCostTokens {
		return view.targets[copyIndex].ID, true
	}
	preferredIndex, preferredWait := r.preferredTarget(request, view)
	switch {
	case preferredIndex < 0 && copyIndex < 0:
		return "", false
	case preferredIndex < 0, copyIndex >= 0 && copyWait <= copyWaitFactor*preferredWait+loadCostTokens:
		return view.targets[copyIndex].ID, true
	}
	return view.targets[preferredIndex].ID, true
}

// bestCopy returns the index and the expected wait of the usable target with the
// shortest wait among those where the adapter is resident, or -1 if there is none.
func (r *Router) bestCopy(request *RouteRequest, view *View) (int32, float64) {
	best, bestWait := int32(-1), math.Inf(1)
	for _, i := range view.targetsByAdapter[request.Adapter] {
		s := &view.targets[i]
		if !s.canServe(request) {
			continue
		}
		if wait := s.expectedWait(request.PrefixHash); wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return best, bestWait
}

// preferredTarget returns the index and the expected wait of the target that
// rendezvous hashing selects for an adapter among those within the load bound, or
// of the least loaded one if none is within it. It returns -1 if the base model has
// no usable target other than the excluded one.
func (r *Router) preferredTarget(request *RouteRequest, view *View) (int32, float64) {
	c, ok := view.candidatesByModel[request.BaseModel]
	if !ok {
		return -1, 0
	}
	bound := c.loadBound()
	hash := hashID(request.Adapter)
	excluded := view.indexOf(request.Exclude)
	best, bestScore := int32(-1), uint64(0)
	leastLoaded, leastLoad := int32(-1), int64(math.MaxInt64)
	for i := range c.members {
		m := &c.members[i]
		if m.index == excluded {
			continue
		}
		if m.load < leastLoad {
			leastLoaded, leastLoad = m.index, m.load
		}
		if m.load > bound {
			continue
		}
		if score := rendezvousScore(hash, m.hash); best < 0 || score > bestScore {
			best, bestScore = m.index, score
		}
	}
	if best < 0 {
		best = leastLoaded
	}
	if best < 0 {
		return -1, 0
	}
	return best, view.targets[best].expectedWait(request.PrefixHash)
}

// loadBound returns the load above which rendezvous hashing skips a target.
func (c *candidates) loadBound() int64 {
	mean := float64(c.loadSum) / float64(len(c.members))
	return int64(boundedLoadFactor*mean + boundedLoadSlackTokens)
}

// canServe reports whether a request may be sent to the target.
func (s *targetState) canServe(request *RouteRequest) bool {
	return s.Usable && s.BaseModel == request.BaseModel && (request.Exclude == "" || s.ID != request.Exclude)
}

// load returns the expected wait without prefix affinity, in tokens per unit of
// batch capacity. It includes requests sent since the last load report.
func (s *targetState) load() int64 {
	capacity := max(s.TargetLoad.Capacity, 1)
	batchCost := fullBatchCostTokens * (s.Running + s.unreportedRequests)
	return int64((s.QueuedTokens + s.unreportedTokens + batchCost) / capacity)
}

// expectedWait returns the load, reduced if the prompt's prefix is likely cached.
func (s *targetState) expectedWait(prefix uint64) float64 {
	wait := float64(s.load())
	if prefix != 0 && s.prefixes[prefix%prefixesPerTarget] == prefix {
		wait -= prefixHitSavingTokens
	}
	return wait
}

// hashID returns a hash of an id, without allocating its text form.
func hashID(id ID) uint64 {
	return rendezvousScore(xxhash.Sum64String(id.Name), xxhash.Sum64String(id.Version))
}

// rendezvousScore combines two hashes by a folded 128-bit multiplication.
func rendezvousScore(a, b uint64) uint64 {
	high, low := bits.Mul64(a^b, mixMultiplier)
	return high ^ low
}
