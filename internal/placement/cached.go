package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/outlier"
)

const (
	// homes is how many of the engines with the adapter hashing prefers for a beginning of
	// a prompt, so that the requests of all instances that have it meet there.
	homes = 2
	// promptShare is how much of the time for which an engine prefills a prompt counts for
	// each request in flight there, whose next token waits for it.
	promptShare = 0.03
	// cacheLoadFactor bounds the requests on an engine that is chosen for what it holds, as
	// a multiple of the mean of the engines with the adapter, plus cacheLoadExtra.
	cacheLoadFactor = 1.25
	cacheLoadExtra  = 1.0
	// minUses is how often a copy is used for a beginning, while its KV cache fills once, if
	// it is expected to hold the beginning in any case.
	minUses = 2.0
)

// homeConfidence is how much of a beginning the engines that hashing prefers are expected to
// hold, by rank: requests go to the second one when the first one is busy.
var homeConfidence = [homes]float64{0.9, 0.6}

// SharedPrompt is the beginning of a prompt that other requests may have too.
type SharedPrompt struct {
	// Hash identifies the beginning, with the adapter that reads it.
	Hash uint64
	// Tokens are those of the beginning.
	Tokens int
	// Share is the share of all requests that have the beginning.
	Share float64
}

// heldByAll reports whether all copies should hold the beginning, since each of them is used
// for it again and again before its KV cache has been filled by others.
func (r *Request) heldByAll(candidates []Candidate, copies []Choice) bool {
	perCopy := r.Shared.Share * float64(len(candidates)) / float64(len(copies))
	fill := float64(candidates[copies[0].Index].KVCacheTokens) / float64(max(r.Tokens, 1))
	return perCopy*fill >= minUses
}

// cheapest returns the copy on which the request costs least, out of the one that is
// preferred for what it holds and another one that is picked at random. More would have all
// instances send to the same engine until they learn of each other's requests. The cost is
// the time until the request starts, its prompt prefilled, and the time that the others on
// the engine wait for that. A beginning that all copies should hold makes no difference, what
// one of them holds beyond it does.
func cheapest(request Request, candidates []Candidate, copies []Choice) Choice {
	usual := 0
	if request.heldByAll(candidates, copies) {
		usual = request.Shared.Tokens
	}
	preferred, expected := preferredCopy(request, candidates, copies, usual)
	if preferred < 0 || len(copies) == 1 {
		return soonest(request, copies)
	}
	best := copies[preferred]
	other := request.anotherCopy(copies, preferred)
	cost := best.Delay + candidates[best.Index].promptCost(request, expected)
	if other.Delay+candidates[other.Index].promptCost(request, usual) < cost && !other.Full {
		return other
	}
	best.Home = candidates[best.Index].CachedTokens == 0
	return best
}

// anotherCopy returns a copy other than that at a position, picked at random, or the soonest
// one without a source of randomness.
func (r *Request) anotherCopy(copies []Choice, position int) Choice {
	if r.Random == nil {
		return soonest(*r, slices.Concat(copies[:position], copies[position+1:]))
	}
	i := r.Random(len(copies) - 1)
	if i >= position {
		i++
	}
	return copies[i]
}

// preferredCopy returns the position of the copy that is preferred for what it holds, and the
// tokens of that; -1 if no copy is expected to hold more than usual. It is the one that is
// known to hold most, or the first one in the order of the hash. Copies that are full, not
// healthy, or have many more requests than the mean are left out.
func preferredCopy(request Request, candidates []Candidate, copies []Choice, usual int) (position, tokens int) {
	limit := cacheLoadFactor*meanRequests(candidates, copies) + cacheLoadExtra
	eligible := func(choice Choice) bool {
		c := &candidates[choice.Index]
		return !choice.Full && c.Health == outlier.Healthy && float64(c.Requests) <= limit
	}
	position, tokens = -1, usual
	for i, choice := range copies {
		if held := candidates[choice.Index].CachedTokens; held > tokens && eligible(choice) {
			position, tokens = i, held
		}
	}
	for rank, home := range preferredHomes(request.Shared.Hash, candidates, copies) {
		expected := int(homeConfidence[rank] * float64(request.Shared.Tokens))
		if home >= 0 && expected > tokens && eligible(copies[home]) {
			return home, expected
		}
	}
	return position, tokens
}

// promptCost returns the time for which the engine prefills what it does not hold of the
// prompt, and for which its other requests wait meanwhile. It is expected to hold so many
// tokens of the prompt at least.
func (c *Candidate) promptCost(request Request, expected int) time.Duration {
	prefill := float64(max(request.PromptTokens-max(c.CachedTokens, expected), 0)) / prefillTokensPerMS * float64(time.Millisecond)
	return time.Duration(prefill * (1 + promptShare*float64(c.Requests)))
}

// preferredHomes returns the positions of the copies that rendezvous hashing ranks first for
// a beginning of a prompt; -1 if there are too few.
func preferredHomes(hash uint64, candidates []Candidate, copies []Choice) [homes]int {
	best := [homes]int{-1, -1}
	var scores [homes]uint64
	for i, choice := range copies {
		position, score := i, mixHash(hash^xxhash.Sum64String(string(candidates[choice.Index].ID)))
		for rank := range best {
			if best[rank] < 0 || score > scores[rank] {
				best[rank], position = position, best[rank]
				scores[rank], score = score, scores[rank]
			}
			if position < 0 {
				break
			}
		}
	}
	return best
}

// mixHash spreads the bits of a hash.
func mixHash(h uint64) uint64 {
	h = (h ^ h>>31) * 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// meanRequests returns the mean number of requests in flight on the copies.
func meanRequests(candidates []Candidate, copies []Choice) float64 {
	sum := 0
	for _, choice := range copies {
		sum += candidates[choice.Index].Requests
	}
	return float64(sum) / float64(len(copies))
}
