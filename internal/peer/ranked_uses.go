package peer

import (
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
)

// appendRanked adds the parts of the ranks of the last target in c. The lists stay empty
// until a target has a part.
func appendRanked(c *v1.UseChanges, use *inflight.Use) {
	if use.Ranked == [inflight.Ranks]inflight.RankUse{} && len(c.RankedRequests) == 0 {
		return
	}
	for len(c.RankedRequests) < (len(c.Targets)-1)*inflight.Ranks {
		c.RankedRequests, c.RankedWaitingTokens = append(c.RankedRequests, 0), append(c.RankedWaitingTokens, 0)
	}
	for _, part := range use.Ranked {
		c.RankedRequests = append(c.RankedRequests, uint32(max(part.Requests, 0)))
		c.RankedWaitingTokens = append(c.RankedWaitingTokens, uint32(max(part.WaitingTokens, 0)))
	}
}

// validateRanked checks that each target has the same number of ranks.
func validateRanked(c *v1.UseChanges) error {
	targets, values := len(c.GetTargets()), len(c.GetRankedRequests())
	if values != len(c.GetRankedWaitingTokens()) || targets == 0 && values > 0 || targets > 0 && values%targets != 0 {
		return ErrBadMessage.New("ranked uses: %d and %d values for %d targets", values, len(c.GetRankedWaitingTokens()), targets)
	}
	return nil
}

// rankedFrom returns the parts of the ranks of a target, by its position. Ranks beyond those
// that are told apart here are part of the last one.
func rankedFrom(c *v1.UseChanges, target int) [inflight.Ranks]inflight.RankUse {
	var ranked [inflight.Ranks]inflight.RankUse
	ranks := len(c.GetRankedRequests()) / len(c.GetTargets())
	for rank := range ranks {
		part := &ranked[min(rank, inflight.Ranks-1)]
		part.Requests += int(c.GetRankedRequests()[target*ranks+rank])
		part.WaitingTokens += int(c.GetRankedWaitingTokens()[target*ranks+rank])
	}
	return ranked
}
