package adapter

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the load bound for zones; boundedLoadFactor and
// boundedLoadSlackTokens are those for targets.
const (
	boundedZoneFactor      = 1.5
	boundedZoneSlackTokens = 60
)

// ZoneInfo summarizes a zone's targets for one base model.
type ZoneInfo struct {
	Zone string
	// Slots is the number of adapter slots of the zone's usable targets; a zone
	// without any is never chosen.
	Slots int
	// LoadTokens is the mean load of the zone's targets, as returned by View.MeanLoad.
	LoadTokens int
}

// ChooseZone returns the preferred zone of an adapter, or false if no zone has a
// slot. It uses rendezvous hashing, weighted by slots, over the zones whose load is
// within a bound relative to the mean. So all instances choose the same zone, a
// zone's share of the adapters is proportional to its slots, and the loss of a zone
// moves only that zone's adapters.
func ChooseZone(id ID, zones []ZoneInfo) (string, bool) {
	bound := zoneLoadBound(zones)
	hash := hashID(id)
	best, bestScore := -1, math.Inf(-1)
	for i := range zones {
		z := &zones[i]
		if z.Slots <= 0 || z.LoadTokens > bound {
			continue
		}
		if score := weightedScore(hash, z); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return "", false
	}
	return zones[best].Zone, true
}

// zoneLoadBound returns the load above which a zone is skipped. The least loaded
// zone is always within it.
func zoneLoadBound(zones []ZoneInfo) int {
	sum, n := 0, 0
	for i := range zones {
		if zones[i].Slots > 0 {
			sum += zones[i].LoadTokens
			n++
		}
	}
	return int(boundedZoneFactor*float64(sum)/float64(max(n, 1))) + boundedZoneSlackTokens
}

// weightedScore returns the score of a zone by the logarithmic method of weighted
// rendezvous hashing.
func weightedScore(hash uint64, z *ZoneInfo) float64 {
	score := rendezvousScore(hash, xxhash.Sum64String(z.Zone))
	uniform := (float64(score>>11) + 0.5) / (1 << 53)
	return -float64(z.Slots) / math.Log(uniform)
}

// MeanLoad returns the mean load of the usable targets of a base model, in tokens
// that a new request waits for, and the sum of their slots.
func (v *View) MeanLoad(baseModel string) (tokens, slots int) {
	c, ok := v.candidatesByModel[baseModel]
	if !ok {
		return 0, 0
	}
	for i := range c.members {
		slots += v.targets[c.members[i].index].Slots
	}
	return int(c.loadSum / int64(len(c.members))), slots
}

// HasAvailableCopy reports whether an adapter is resident on a usable target whose
// expected wait is no longer than the cost of a load, so that a request can be
// sent there.
func (v *View) HasAvailableCopy(id ID, baseModel string) bool {
	i, wait := (&Router{}).bestCopy(&RouteRequest{Adapter: id, BaseModel: baseModel}, v)
	return i >= 0 && wait <= loadCostTokens
}
