package gateway

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
)

const (
	// otherZoneWait is the wait for the engines of this zone from which a prompt is
	// assigned to one of another zone, if it starts there sooner.
	otherZoneWait = 150 * time.Millisecond
	// maxAssignDelayShare is the part of a route's objective for which a prompt is held
	// back at most.
	maxAssignDelayShare = 0.5
	// defaultAssignDelay is the same for a route without an objective.
	defaultAssignDelay = 400 * time.Millisecond
)

// assignedEngine is the engine for a request, and for how long to hold its prompt back.
type assignedEngine struct {
	placement.Choice
	delay time.Duration
	// assigned is set when the engine's time is reserved for the prompt.
	assigned bool
	// wait is the time for which other prompts keep the engine busy, tokens what it then
	// prefills, slowness how many times as long as a usual engine it takes.
	wait     time.Duration
	tokens   int
	slowness float64
}

// promptRates holds the learned rates at which the engines of services prefill prompts. The
// zero value is ready; it is safe for concurrent use.
type promptRates struct {
	mu       sync.Mutex
	services map[string]*placement.PromptRate
}

// of returns the rate of a service.
func (p *promptRates) of(service string) *placement.PromptRate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = map[string]*placement.PromptRate{}
	}
	if p.services[service] == nil {
		p.services[service] = &placement.PromptRate{}
	}
	return p.services[service]
}

func (e *exchange) promptRate() *placement.PromptRate { return e.server.promptRates.of(e.service) }

// observePrompt records the time to the first event of a request whose engine had no other
// prompt waiting.
func (e *exchange) observePrompt(now time.Time) {
	if a := e.assignedTo; a.assigned && a.wait == 0 {
		e.promptRate().Observe(a.tokens, time.Duration(float64(now.Sub(e.sentAt))/a.slowness))
	}
}

// assignsPrompts reports whether the request's prompt is assigned by a lease holder.
func (e *exchange) assignsPrompts() bool {
	assigns := e.server.AssignsPrompts
	return assigns != nil && e.request.PromptTokens > 0 && assigns(e.configuration, e.service)
}

// assignEngine has the lease holder of a zone choose among the engines that hold the
// adapter. The choice stays as it is if the adapter is to be loaded first, if the request
// probes an engine that failed, or if no holder assigns an engine.
func (e *exchange) assignEngine(request placement.Request, candidates []placement.Candidate, choice placement.Choice) assignedEngine {
	unchanged := assignedEngine{Choice: choice}
	if choice.NeedsLoad || candidates[choice.Index].Health != outlier.Healthy || !e.assignsPrompts() {
		return unchanged
	}
	rate := e.promptRate().TokensPerMS()
	home := placement.Offers(request, candidates, choice, request.Zone, rate)
	away := placement.Offers(request, candidates, choice, placement.NearestOtherZone(request, candidates), rate)
	limits := e.assignmentLimits()
	first := limits
	if len(away) > 0 {
		first.MaxWait = otherZoneWait
	}
	a, ok := e.assign(home, candidates, first)
	if ok && !a.assigned {
		limits.MaxWait = a.Delay
		if b, _ := e.assign(away, candidates, limits); b.assigned {
			return b.after(choice)
		}
		limits.MaxWait = 0
		a, ok = e.assign(home, candidates, limits)
	}
	if len(home) == 0 {
		a, ok = e.assign(away, candidates, limits)
	}
	if !ok {
		e.server.Metrics.countAssignment(assignedByNone)
		return unchanged
	}
	return a.after(choice)
}

// after returns the assignment with what else was chosen before it.
func (a assignedEngine) after(choice placement.Choice) assignedEngine {
	a.CopyIndex = choice.CopyIndex
	a.Home = choice.Home && a.Index == choice.Index
	return a
}

// assign has the lease holder of the zone of the offers choose one. It reports false if
// there are no offers or if no holder answers.
func (e *exchange) assign(offers []placement.Offer, candidates []placement.Candidate, limits placement.AssignmentLimits) (assignedEngine, bool) {
	if len(offers) == 0 {
		return assignedEngine{}, false
	}
	zone := candidates[offers[0].Index].Zone
	a, ok := e.server.Network.AssignPrompt(e.ctx, zone, offers, limits)
	if !ok {
		return assignedEngine{}, false
	}
	chosen := &candidates[offers[a.Index].Index]
	choice := placement.Choice{Index: offers[a.Index].Index, Delay: a.Wait, CopyIndex: -1}
	if a.Assigned {
		e.recordAssignment(zone, chosen.ID, a)
	}
	return assignedEngine{
		Choice: choice, delay: a.Delay, assigned: a.Assigned,
		wait: a.Wait, tokens: e.request.PromptTokens - chosen.CachedTokens, slowness: chosen.Speed.Factor(),
	}, true
}

// Who chose the engine for a prompt.
const (
	assignedByHome  = "home"
	assignedByOther = "other_zone"
	assignedByNone  = "none"
)

// recordAssignment counts an assignment, and notes it in the trail of the request.
func (e *exchange) recordAssignment(zone string, target deployment.TargetID, a placement.Assignment) {
	by := assignedByHome
	if zone != e.server.Zone {
		by = assignedByOther
	}
	e.server.Metrics.countAssignment(by)
	e.server.Metrics.promptDelay.Observe(a.Delay.Seconds())
	e.recordStep("assign", target, by+" wait="+a.Wait.String())
}

func (e *exchange) assignmentLimits() placement.AssignmentLimits {
	limits := placement.AssignmentLimits{Objective: e.route.LatencyObjective, MaxDelay: defaultAssignDelay}
	if objective := e.route.LatencyObjective; objective > 0 {
		left := objective - e.server.Now().Sub(e.startedAt)
		limits.MaxDelay = max(time.Duration(maxAssignDelayShare*float64(left)), time.Millisecond)
	}
	return limits
}

// pacePrompt holds the prompt back until the engine should have prefilled the prompts
// before it. If no time on the engine is reserved yet, it reserves it.
func (e *exchange) pacePrompt(assigned assignedEngine, request placement.Request, candidates []placement.Candidate, attempt *upstream.Attempt) {
	delay, target := assigned.delay, candidates[assigned.Index].Target
	e.assignedTo = assignedEngine{}
	switch {
	case assigned.assigned:
		e.assignedTo = assigned
	case e.assignsPrompts():
		offer := placement.OfferOf(request, &candidates[assigned.Index], e.promptRate().TokensPerMS())
		a, _ := e.server.Network.AssignPrompt(e.ctx, target.Zone, []placement.Offer{offer}, e.assignmentLimits())
		delay = a.Delay
	case e.server.StreamPauses.Frequent():
		delay = e.server.Network.ReservePrompt(e.ctx, target, e.prefillTokens())
	default:
		return
	}
	if delay > 0 {
		e.recordStep("pace", target.ID, delay.String())
		// The sleep ends early only if the exchange is cancelled, which the attempt
		// itself detects.
		_ = wait.Sleep(e.ctx, delay)
	}
	attempt.Deadline = e.remaining()
}
