package placement

import (
	"cmp"
	"slices"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/outlier"
)

const (
	// prefillSpacing is how much time is reserved for a prompt, as a multiple of the time
	// for which the engine prefills it: its streams get the rest.
	prefillSpacing = 1.3
	// calmShare is the part of an engine's room for which prompts may wait there; later ones
	// are held back.
	calmShare = 0.5
	// eventTime is about how long a usual engine takes for an event while it prefills
	// nothing.
	eventTime = 40 * time.Millisecond
	// minRoomShare is the least part of the longest pause that counts as room.
	minRoomShare = 0.25
	// defaultGap replaces the longest pause of streams if it is not known, defaultObjective
	// the time in which the first event is wanted.
	defaultGap       = 300 * time.Millisecond
	defaultObjective = time.Second
	// streamRisk is how much it counts, as a part of a late start, if a stream of the engine
	// pauses for too long; it may have paused before, or pause later. maxStreamRisk bounds
	// it for all streams of an engine together.
	streamRisk    = 0.25
	maxStreamRisk = 2.0
	// ownRisk is how many prompts of others a stream meets at its engine that may make it
	// pause for too long, as an estimate.
	ownRisk = 2.0
	// maxOffers bounds the engines that are offered for a prompt.
	maxOffers = 24
)

// Offer is an engine that can take a prompt.
type Offer struct {
	Target deployment.TargetID
	// Prefill is how long the engine takes for the prompt.
	Prefill time.Duration
	// Extra is how much later than on the best engine the request starts there, for other
	// reasons than the prompts that wait.
	Extra time.Duration
	// Room is how long the engine may prefill in a row until its streams pause for too
	// long, Streams how many it runs.
	Room    time.Duration
	Streams int
	// Index is the engine's position among the candidates.
	Index int
}

// Assignment is the engine for a prompt.
type Assignment struct {
	// Index is the position in the list of offers.
	Index int
	// Delay is how long to hold the prompt back, Wait the expected time until the engine
	// prefills it, the delay included.
	Delay, Wait time.Duration
	// Assigned is set when the engine's time is reserved.
	Assigned bool
}

// AssignmentLimits are the limits on an assignment.
type AssignmentLimits struct {
	// Objective is the time in which the first event is wanted; zero means
	// defaultObjective.
	Objective time.Duration
	// MaxDelay is the longest time to hold the prompt back; zero means maxPromptDelay.
	MaxDelay time.Duration
	// MaxWait is the longest wait with which an engine is assigned; zero means none.
	MaxWait time.Duration
}

// Assign chooses the engine for a prompt, and reserves time there. Prompts that come together
// at one engine are prefilled in a row, and its streams pause meanwhile; the counts of
// requests that instances exchange are too old to tell which engine has a prompt waiting
// now, but all prompts of a zone are assigned by one instance. The engine is that on which
// the request starts soonest, if streams that its prompt may make pause for too long count
// as a part of a start that is late by the objective. It reports an assignment without Assigned
// if the wait exceeds the limit.
func (p *PromptPacer) Assign(offers []Offer, limits AssignmentLimits) Assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt == nil {
		p.freeAt = map[deployment.TargetID]time.Time{}
	}
	objective := limits.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	now := p.Now()
	best, least := -1, time.Duration(0)
	for i := range offers {
		o := &offers[i]
		if cost := o.cost(p.wait(o, now), objective); best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return Assignment{}
	}
	o := &offers[best]
	wait := p.wait(o, now)
	if limits.MaxWait > 0 && wait > limits.MaxWait {
		return Assignment{Index: best, Wait: wait}
	}
	delay, maxDelay := o.delay(wait), limits.MaxDelay
	if maxDelay <= 0 {
		maxDelay = maxPromptDelay
	}
	if delay > maxDelay {
		wait -= delay - maxDelay
		delay = maxDelay
	}
	p.freeAt[o.Target] = now.Add(wait + time.Duration(prefillSpacing*float64(o.Prefill)))
	return Assignment{Index: best, Delay: delay, Wait: wait, Assigned: true}
}

// wait returns the time until the prompts that are assigned to an engine are prefilled.
func (p *PromptPacer) wait(o *Offer, now time.Time) time.Duration {
	return max(p.freeAt[o.Target].Sub(now), 0)
}

// cost returns the time until the first event of the request, with what its prompt costs the
// streams of the engine, beyond what the prompts before it do, and what those of others may
// cost its own stream.
func (o *Offer) cost(wait, objective time.Duration) time.Duration {
	row := wait - o.delay(wait)
	harm := o.pauseRisk(row+o.Prefill) - o.pauseRisk(row)
	late := harm*min(streamRisk*float64(o.Streams), maxStreamRisk) + min(ownRisk*o.pauseRisk(o.Prefill), 1)
	return wait + o.Prefill + o.Extra + time.Duration(late*float64(objective))
}

// pauseRisk estimates how likely it is, from 0 to 1, that a stream of the engine pauses for
// too long if the engine prefills for a time in a row: it is slower than usual at times.
func (o *Offer) pauseRisk(row time.Duration) float64 {
	if o.Room <= 0 {
		return 0
	}
	share := min(float64(row)/float64(o.Room), 1)
	return share * share
}

// delay returns how long to hold the prompt back so that no longer row of prompts waits at the
// engine than its streams bear.
func (o *Offer) delay(wait time.Duration) time.Duration {
	return max(wait-time.Duration(calmShare*float64(o.Room)), 0)
}

// Offers returns the engines of a zone on which a request can start without a load: sound
// ones with room, the best first. The chosen one may be expected to hold the beginning of the
// prompt. tokensPerMS is the rate of a usual engine.
func Offers(request Request, candidates []Candidate, chosen Choice, zone string, tokensPerMS float64) []Offer {
	var offers []Offer
	for i := range candidates {
		c := &candidates[i]
		if c.Zone != zone || c.Health != outlier.Healthy || !c.HasModel || !c.canServe(&request) || c.full(&request) {
			continue
		}
		if r := c.Resident; r != nil && r.ReadyAt.After(request.Now) {
			continue
		}
		held := 0
		if chosen.Home && chosen.Index == i && request.Shared != nil {
			held = int(homeConfidence[0] * float64(request.Shared.Tokens))
		}
		offers = append(offers, Offer{
			Target: c.ID, Prefill: c.prefillAt(request, held, tokensPerMS), Extra: c.delayWithoutPrompts(request),
			Room: c.prefillRoom(request), Streams: c.Requests, Index: i,
		})
	}
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.Extra, b.Extra) })
	offers = offers[:min(len(offers), maxOffers)]
	for i := len(offers) - 1; i >= 0; i-- {
		offers[i].Extra -= offers[0].Extra
	}
	return offers
}

// OfferOf returns the offer of the engine that is chosen already.
func OfferOf(request Request, c *Candidate, tokensPerMS float64) Offer {
	return Offer{Target: c.ID, Prefill: c.prefillAt(request, 0, tokensPerMS), Room: c.prefillRoom(request), Streams: c.Requests}
}

// prefillRoom estimates how long the engine may prefill in a row until its streams pause for
// too long.
func (c *Candidate) prefillRoom(request Request) time.Duration {
	gap := request.GapObjective
	if gap <= 0 {
		gap = defaultGap
	}
	event := time.Duration(float64(eventTime) * c.Speed.Factor())
	return max(gap-event, time.Duration(minRoomShare*float64(gap)))
}

// NearestOtherZone returns the zone, other than the request's own, of the engine on which the
// request starts soonest; empty if no other zone has one that can take it without a load.
func NearestOtherZone(request Request, candidates []Candidate) string {
	zone, least := "", time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Zone == request.Zone || c.Health != outlier.Healthy || !c.HasModel || !c.canServe(&request) || c.full(&request) {
			continue
		}
		if delay := c.delay(&request); zone == "" || delay < least {
			zone, least = c.Zone, delay
		}
	}
	return zone
}

// prefillAt estimates how long the engine takes for the request's prompt, of which it is
// expected to hold so many tokens at least.
func (c *Candidate) prefillAt(request Request, held int, tokensPerMS float64) time.Duration {
	tokens := max(request.PromptTokens-max(c.CachedTokens, held), 0)
	return time.Duration(float64(tokens) / tokensPerMS * c.Speed.Factor() * float64(time.Millisecond))
}

// delayWithoutPrompts estimates the time until the engine starts the request if no other
// prompt waits there.
func (c *Candidate) delayWithoutPrompts(request Request) time.Duration {
	idle := *c
	idle.WaitingTokens, request.PromptTokens = 0, 0
	return idle.delay(&request)
}
