package placement

import (
	"math"
	"time"

	"heatherrelay/internal/outlier"
)

// plainRequestTime is roughly how long a plain service takes for a request.
const plainRequestTime = 60 * time.Millisecond

// ChoosePlain returns the index of the least loaded target of a plain service, or, where
// speeds are weighed, of the one that answers first. Targets in the request's zone are
// preferred, and ejected targets are used only when there is no other. It reports false
// without candidates.
func ChoosePlain(request Request, candidates []Candidate) (int, bool) {
	for _, worstHealth := range []outlier.Health{outlier.Probing, outlier.Ejected} {
		best, bestDelay := -1, time.Duration(0)
		for i := range candidates {
			c := &candidates[i]
			if c.Health > worstHealth {
				continue
			}
			delay := c.delay(&request) + c.responseDelay(&request)
			if best < 0 || delay < bestDelay {
				best, bestDelay = i, delay
			}
		}
		if best >= 0 {
			return best, true
		}
	}
	return -1, false
}

// responseDelay estimates the time until a target of a plain service has answered the
// request, without what all targets have in common.
func (c *Candidate) responseDelay(request *Request) time.Duration {
	if !request.WeighSpeeds {
		return time.Duration(c.Requests) * plainRequestTime / time.Duration(max(c.Slots, 1))
	}
	requestTime := c.Speed.ResponseTime
	if requestTime == 0 {
		requestTime = plainRequestTime
	}
	slowness := c.Speed.Factor()
	if !request.Repeatable {
		slowness *= math.Exp(c.Speed.Uncertainty)
	}
	rounds := 1 + float64(c.Requests)/float64(max(c.Slots, 1))
	return time.Duration(slowness * rounds * float64(requestTime))
}
