package placement

import "time"

// How the speeds of targets enter the choice of one. The costs follow from the callers'
// objectives: a stream that begins late, or pauses for too long, is worth as little to its
// caller as one that begins an objective later.

// lateShare is the part of an objective from which a request is expected to miss it at times.
const lateShare = 0.5

// ScaledSpeed returns the speed of an engine that takes slowness times as long as the usual
// engine, where that takes scale times as long as NominalStart.
func ScaledSpeed(scale, slowness float64) Speed {
	return Speed{PrefillTokensPerMS: prefillTokensPerMS / (scale * slowness), Slowness: slowness, startScale: scale}
}

// slowness returns the slowness; 1 if nothing is known.
func (s *Speed) slowness() float64 {
	if s.Slowness == 0 {
		return 1
	}
	return s.Slowness
}

// weighedStart estimates the time until the first event of the request: the engine prefills
// the prompts that wait there, and the request's own as far as it is not cached.
func (c *Candidate) weighedStart(request *Request) time.Duration {
	rate, scale := c.Speed.PrefillTokensPerMS, c.Speed.startScale
	if rate == 0 {
		rate = prefillTokensPerMS / c.Speed.slowness()
	}
	if scale == 0 {
		scale = 1
	}
	tokens := c.WaitingTokens + max(request.PromptTokens-c.CachedTokens, 0)
	prefill := time.Duration(float64(tokens) / rate * float64(time.Millisecond))
	return prefill + time.Duration(float64(c.Requests)*scale*c.Speed.slowness()*float64(requestDelay))
}

// cost returns what a delay until the start costs, with what it costs to be late for the
// objectives.
func (c *Candidate) cost(request *Request, delay time.Duration) time.Duration {
	if !request.WeighSpeeds {
		return delay
	}
	late := max(lateness(delay, request.Objective), lateness(c.pause(request), request.GapObjective))
	return delay + time.Duration(late*float64(request.Objective))
}

// pause estimates the longest pause of a stream: an engine prefills the prompts that wait
// there in a row, and its streams wait for that.
func (c *Candidate) pause(request *Request) time.Duration {
	return max(c.start(request), c.Speed.EventInterval)
}

// lateness returns how likely it is, from 0 to 1, that an objective is missed if a time is
// expected.
func lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	share := float64(expected) / float64(objective)
	return min(max((share-lateShare)/(1-lateShare), 0), 1)
}
