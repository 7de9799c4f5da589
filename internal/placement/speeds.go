package placement

import "time"

// How the speeds of targets enter the choice of one. The costs follow from the callers'
// objectives: a stream that begins late, or pauses for too long, is worth as little to its
// caller as one that begins an objective later.

// ScaledSpeed returns the speed of an engine that takes slowness times as long as the usual
// engine, where that takes scale times as long as NominalStart.
func ScaledSpeed(scale, slowness float64) Speed {
	return Speed{PrefillTokensPerMS: prefillTokensPerMS / (scale * slowness), Slowness: slowness, startScale: scale}
}

// weighedStart estimates the time until the first event of the request: the engine prefills
// the prompts that wait there, and the request's own as far as it is not cached.
func (c *Candidate) weighedStart(request *Request) time.Duration {
	scale := c.Speed.startScale
	if scale == 0 {
		scale = 1
	}
	return c.prefill(request) + time.Duration(float64(c.Requests)*scale*c.Speed.Factor()*float64(requestDelay))
}

// prefill estimates for how long the engine prefills the prompts that wait there and the
// request's own.
func (c *Candidate) prefill(request *Request) time.Duration {
	rate := c.Speed.PrefillTokensPerMS
	if rate == 0 {
		rate = prefillTokensPerMS / c.Speed.Factor()
	}
	tokens := c.WaitingTokens + max(request.PromptTokens-c.CachedTokens, 0)
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// cost returns what a delay until the start costs, with what it costs to be late for the
// objectives.
func (c *Candidate) cost(request *Request, delay time.Duration) time.Duration {
	if !request.WeighSpeeds {
		return delay
	}
	pause := lateness(c.pause(request), request.GapObjective)
	late := max(lateness(delay, request.Objective), pause)
	return delay + time.Duration(late*float64(request.Objective))
}

// pause estimates the longest pause of the engine's streams for the request: an engine
// prefills the prompts that wait there in a row, between two events.
func (c *Candidate) pause(request *Request) time.Duration {
	return max(c.Speed.EventInterval, c.prefill(request))
}

// lateness returns how likely it is, from 0 to 1, that an objective is missed if a time is
// expected: half if that is the objective itself, and little at half of it.
func lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	odds := float64(expected) / float64(objective)
	odds *= odds
	odds *= odds
	return odds / (1 + odds)
}
