package placement

import (
	"time"

	"heatherrelay/internal/outlier"
)

// PromptTime returns how long a usual engine takes to prefill tokens while it also decodes.
func PromptTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMS * float64(time.Millisecond))
}

// StartTime returns the expected time until the chosen engine starts the request once it has
// a slot for it. Unlike Delay, it holds nothing that only makes other engines preferred.
func (c *Choice) StartTime(request Request, candidates []Candidate) time.Duration {
	engine := candidates[c.Index]
	engine.Health, engine.ErrorShare, engine.Slots, engine.KVCacheTokens = outlier.Healthy, 0, 0, 0
	start := engine.delay(&request)
	if c.NeedsLoad {
		return start + engine.loadDelay()
	}
	if engine.Resident != nil {
		start += max(engine.Resident.ReadyAt.Sub(request.Now), 0)
	}
	return start
}

// Closed returns the choice as one of an engine that is full.
func (c Choice) Closed() Choice {
	if !c.Full {
		c.Full = true
		c.Delay += fullDelay
	}
	return c
}
