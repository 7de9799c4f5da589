package gateway

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/speed"
)

const (
	// eventSampleCount and eventSampleTime are the events, or the time, after which the
	// mean time between events is taken as a sample.
	eventSampleCount = 8
	eventSampleTime  = 200 * time.Millisecond
	// maxOwnShare is the largest part of that time which this instance or its client may
	// have taken; more says nothing about the target.
	maxOwnShare = 0.1
	// responseRounds is how many usual response times are left of the objective when a
	// slow target is given up on.
	responseRounds = 2
)

// speedSample measures how fast the current target answers.
type speedSample struct {
	// load is what the target had to do when the request was sent; zero if speeds are not
	// weighed.
	load speed.Load
	// estimate is what was known of the target, and usual how long a usual one takes; zero
	// if nothing was.
	estimate speed.Estimate
	usual    time.Duration
	// events counts the events since since; own is the time in which none was awaited.
	events int
	since  time.Time
	own    time.Duration
	// lastAt is when the last event arrived.
	lastAt time.Time
}

// weighsSpeeds reports whether the targets of the request's service are compared by their
// speeds.
func (e *exchange) weighsSpeeds() bool {
	return e.server.WeighSpeeds != nil && e.server.WeighSpeeds(e.configuration, e.service)
}

// addSpeeds sets what is known of the speeds of engines, and what the choice of one needs of
// the request, unless the engines are made alike.
func (e *exchange) addSpeeds(request *placement.Request, candidates []placement.Candidate) {
	if !e.weighsSpeeds() {
		return
	}
	view := e.server.Speeds.View(e.service)
	if !view.Unlike() {
		return
	}
	request.WeighSpeeds = true
	for i := range candidates {
		c := &candidates[i]
		estimate := view.Of(&c.Target)
		load := startLoad(c, request)
		scale := 1.0
		if usual, ok := view.Usual(speed.Start, load); ok {
			scale = float64(usual) / float64(load.Nominal)
		}
		c.Speed = placement.ScaledSpeed(scale, estimate.Factor())
		c.Speed.Uncertainty = estimate.Uncertainty
		if interval, ok := view.Usual(speed.Event, eventLoad(c.Requests+1)); ok {
			c.Speed.EventInterval = time.Duration(float64(interval) * estimate.Factor())
		}
	}
}

// startLoad is what an engine has to do until the first event of a request.
func startLoad(c *placement.Candidate, request *placement.Request) speed.Load {
	tokens := c.WaitingTokens + max(request.PromptTokens-c.CachedTokens, 1)
	return speed.Load{Nominal: placement.NominalStart(tokens, c.Requests), Requests: c.Requests}
}

// eventLoad is what an engine has to do for the next event of a stream.
func eventLoad(requests int) speed.Load { return speed.Load{Nominal: time.Second, Requests: requests} }

// responseLoad is what a target of a plain service has to do for a request: as many rounds of
// its slots as it takes until the request has one.
func responseLoad(c *placement.Candidate) speed.Load {
	rounds := max(1, float64(c.Requests+1)/float64(max(c.Slots, 1)))
	return speed.Load{Nominal: time.Duration(rounds * float64(time.Second)), Requests: c.Requests}
}

// addPlainSpeeds sets what is known of the speeds of the targets of a plain service.
func (e *exchange) addPlainSpeeds(request *placement.Request, candidates []placement.Candidate) {
	if !e.weighsSpeeds() {
		return
	}
	request.WeighSpeeds = true
	view := e.server.Speeds.View(e.service)
	usual, _ := view.Usual(speed.Response, speed.Load{Nominal: time.Second})
	for i := range candidates {
		estimate := view.Of(&candidates[i].Target)
		candidates[i].Speed = placement.Speed{Slowness: estimate.Factor(), Uncertainty: estimate.Uncertainty, ResponseTime: usual}
	}
}

// beginSample prepares the measurement of an attempt at a candidate under a load.
func (e *exchange) beginSample(c *placement.Candidate, kind speed.Kind, load speed.Load) {
	e.sample = speedSample{}
	if !e.weighsSpeeds() {
		return
	}
	view := e.server.Speeds.View(e.service)
	e.sample.load, e.sample.estimate = load, view.Of(&c.Target)
	e.sample.usual, _ = view.Usual(kind, load)
}

// sampleEvent measures, at each event of the current target, how fast it is.
func (e *exchange) sampleEvent(now time.Time) {
	s := &e.sample
	if s.load.Nominal == 0 {
		return
	}
	if s.lastAt.IsZero() {
		e.sampleTime(speed.Start, now.Sub(e.sentAt))
		s.since, s.lastAt = now, now
		return
	}
	s.events, s.lastAt = s.events+1, now
	took := now.Sub(s.since)
	if s.events < eventSampleCount && took < eventSampleTime {
		return
	}
	if float64(s.own) <= maxOwnShare*float64(took) {
		requests := e.server.Network.Use(e.target.ID).Requests
		e.server.Speeds.Observe(e.target, speed.Event, eventLoad(requests), took/time.Duration(s.events))
	}
	s.events, s.since, s.own = 0, now, 0
}

// awaitEvent notes that the next event is awaited from now on. The time before that is not
// the target's.
func (e *exchange) awaitEvent(now time.Time) {
	if s := &e.sample; !s.lastAt.IsZero() {
		s.own += now.Sub(s.lastAt)
	}
}

// sampleResponse measures how long the current target took for a whole response.
func (e *exchange) sampleResponse() {
	if e.sample.load.Nominal > 0 && e.route.Kind != deployment.Streaming && e.response.Success() {
		e.sampleTime(speed.Response, e.server.Now().Sub(e.sentAt))
	}
}

// sampleTime records a time that the current target took under the load at the start of the
// attempt, and how well it was foreseen.
func (e *exchange) sampleTime(kind speed.Kind, took time.Duration) {
	s := &e.sample
	if s.usual > 0 {
		e.server.Metrics.startRatio.Observe(float64(took) / (float64(s.usual) * s.estimate.Factor()))
	}
	e.server.Speeds.Observe(e.target, kind, s.load, took)
}

// speedFields are the log fields that say how fast the target was supposed to be.
func (e *exchange) speedFields() []zap.Field {
	if e.sample.load.Nominal == 0 {
		return nil
	}
	return []zap.Field{
		zap.Float64("slowness", e.sample.estimate.Factor()), zap.Float64("slowness_samples", e.sample.estimate.Samples),
		zap.Duration("usual_time", e.sample.usual), zap.Int("target_requests", e.sample.load.Requests),
	}
}

// slowSilenceLimit returns how long a target may take for an idempotent request before it is
// hedged: until a usual target could just answer within the objective. Zero if nothing
// is known, or the objective is too short for that.
func (e *exchange) slowSilenceLimit() time.Duration {
	if e.sample.usual == 0 {
		return 0
	}
	limit := e.route.LatencyObjective - responseRounds*e.sample.usual
	if limit < responseRounds*e.sample.usual {
		return 0
	}
	return limit
}

// onlySlow reports whether the current target has been awaited for less time than after which
// it counts as silent: its request is hedged since a usual target answers sooner.
func (e *exchange) onlySlow() bool {
	return e.route.Kind != deployment.Streaming && e.slowSilenceLimit() > 0 && e.server.Now().Sub(e.sentAt) < e.route.LatencyObjective
}

// outrun reports whether a hedge was faster than the current target, which is only slow.
func (e *exchange) outrun() bool {
	return e.hedge != nil && e.hedge.early && e.hedge.state.Load() == hedgeWon
}

// sampleOutrun takes the time for which the current target was awaited in vain, before a hedge
// was faster, as a sample: it would have taken longer.
func (e *exchange) sampleOutrun() {
	s, now := &e.sample, e.server.Now()
	switch {
	case s.load.Nominal == 0:
	case e.route.Kind != deployment.Streaming:
		e.server.Speeds.Observe(e.target, speed.Response, s.load, now.Sub(e.sentAt))
	case s.lastAt.IsZero():
		e.server.Speeds.Observe(e.target, speed.Start, s.load, now.Sub(e.sentAt))
	default:
		e.server.Speeds.Observe(e.target, speed.Event, eventLoad(s.load.Requests), now.Sub(s.lastAt))
	}
}
