package placement

import "time"

// PromptTime returns how long a usual engine takes to prefill tokens while it also decodes.
func PromptTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMS * float64(time.Millisecond))
}

// DelayOnceFree returns the expected time until the request starts, without what counts for
// an engine that is full.
func (c *Choice) DelayOnceFree() time.Duration {
	if c.Full {
		return c.Delay - fullDelay
	}
	return c.Delay
}

// Closed returns the choice as one of an engine that is full.
func (c Choice) Closed() Choice {
	if !c.Full {
		c.Full = true
		c.Delay += fullDelay
	}
	return c
}
