package adapter

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// The bound on a home zone's load, as for targets.
const (
	boundedZoneFactor      = 1.5
	boundedZoneSlackTokens = 60
)

// ZoneInfo is what an instance knows of a zone's targets for one base model.
type ZoneInfo struct {
	Zone string
	// Slots is the sum over the zone's usable targets; a zone without any is not chosen.
	Slots int
	// LoadTokens is the mean load of its targets, as View.MeanLoad gives it.
	LoadTokens int
}

// ChooseZone returns the zone whose targets an adapter belongs to, and false
// when none has a slot. It is weighted rendezvous hashing by slots over zones
// that are not loaded far beyond the mean, so that all instances choose alike,
// a zone's share follows its size, and a lost zone moves only its own adapters.
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

// zoneLoadBound returns the load above which a zone is passed over. The least
// loaded zone is always within it.
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

// weightedScore is the logarithmic method of weighted rendezvous hashing.
func weightedScore(hash uint64, z *ZoneInfo) float64 {
	score := rendezvousScore(hash, xxhash.Sum64String(z.Zone))
	uniform := (float64(score>>11) + 0.5) / (1 << 53)
	return -float64(z.Slots) / math.Log(uniform)
}

// MeanLoad returns the mean load of the usable targets of a base model, in
// tokens that a request waits behind, and the sum of their slots.
func (v *View) MeanLoad(baseModel string) (tokens, slots int) {
	c, ok := v.models[baseModel]
	if !ok {
		return 0, 0
	}
	for i := range c.members {
		slots += v.targets[c.members[i].index].Slots
	}
	return int(c.loadSum / int64(len(c.members))), slots
}

// HasCopy reports whether an adapter is resident on a usable target whose
// expected wait is short enough to send a request there.
func (v *View) HasCopy(id ID, baseModel string) bool {
	i, wait := (&Router{}).bestCopy(&Want{Adapter: id, BaseModel: baseModel}, v)
	return i >= 0 && wait <= loadTokens
}
