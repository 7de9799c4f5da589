package placement

import (
	"cmp"
	"slices"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/outlier"
)

const (
	// backToBackShare is the part of the longest pause of an engine's streams for which
	// prompts may wait there. The streams also pause for the prompt itself and for their
	// own decoding steps.
	backToBackShare = 0.5
	// defaultBackToBack replaces it if the longest pause is not known.
	defaultBackToBack = 100 * time.Millisecond
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

// AssignmentLimits are the limits on an assignment; zero means none.
type AssignmentLimits struct {
	// Gap is how long the engine's other streams may pause.
	Gap time.Duration
	// MaxDelay is the longest time to hold the prompt back, MaxWait the longest wait with
	// which an engine is assigned.
	MaxDelay, MaxWait time.Duration
}

// Assign chooses the engine on which a prompt is prefilled soonest, and reserves its time
// there. Prompts that come together at one engine are prefilled in a row, and its streams
// pause meanwhile; the counts of requests that instances exchange are too old to tell which
// engine has a prompt waiting now, but all prompts of a zone are assigned by one instance.
// It reports an assignment without Assigned if each wait exceeds the limit.
func (p *PromptPacer) Assign(offers []Offer, limits AssignmentLimits) Assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt == nil {
		p.freeAt = map[deployment.TargetID]time.Time{}
	}
	now := p.Now()
	best, bestStart := -1, time.Duration(0)
	for i, o := range offers {
		start := max(p.freeAt[o.Target].Sub(now), 0) + o.Extra + o.Prefill
		if best < 0 || start < bestStart {
			best, bestStart = i, start
		}
	}
	if best < 0 {
		return Assignment{}
	}
	o := offers[best]
	wait := max(p.freeAt[o.Target].Sub(now), 0)
	if limits.MaxWait > 0 && wait > limits.MaxWait {
		return Assignment{Index: best, Wait: wait}
	}
	backToBack := time.Duration(backToBackShare * float64(limits.Gap))
	if backToBack <= 0 {
		backToBack = defaultBackToBack
	}
	delay := max(wait-backToBack, 0)
	if limits.MaxDelay > 0 && delay > limits.MaxDelay {
		delay, wait = limits.MaxDelay, limits.MaxDelay+backToBack
	}
	p.freeAt[o.Target] = now.Add(wait + o.Prefill)
	return Assignment{Index: best, Delay: delay, Wait: wait, Assigned: true}
}

// Offers returns the engines of a zone on which a request can start without a load: sound
// ones with room, the best first. The chosen one may be expected to hold the beginning of the
// prompt. tokensPerMS is the rate of a usual engine.
func Offers(request Request, candidates []Candidate, chosen Choice, zone string, tokensPerMS float64) []Offer {
	var offers []Offer
	for i := range candidates {
		c := &candidates[i]
		if c.Zone != zone || c.Health != outlier.Healthy || !c.HasModel || !c.canServe(request) || c.full(request) {
			continue
		}
		if r := c.Resident; r != nil && r.ReadyAt.After(request.Now) {
			continue
		}
		held := 0
		if chosen.Home && chosen.Index == i && request.Shared != nil {
			held = int(homeConfidence[0] * float64(request.Shared.Tokens))
		}
		offers = append(offers, Offer{Target: c.ID, Prefill: c.prefill(request, held, tokensPerMS), Extra: c.delayWithoutPrompts(request), Index: i})
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
	return Offer{Target: c.ID, Prefill: c.prefill(request, 0, tokensPerMS)}
}

// NearestOtherZone returns the zone, other than the request's own, of the engine on which the
// request starts soonest; empty if no other zone has one that can take it without a load.
func NearestOtherZone(request Request, candidates []Candidate) string {
	zone, least := "", time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Zone == request.Zone || c.Health != outlier.Healthy || !c.HasModel || !c.canServe(request) || c.full(request) {
			continue
		}
		if delay := c.delay(request); zone == "" || delay < least {
			zone, least = c.Zone, delay
		}
	}
	return zone
}

// prefill estimates how long the engine takes for the request's prompt, of which it is
// expected to hold so many tokens at least.
func (c *Candidate) prefill(request Request, held int, tokensPerMS float64) time.Duration {
	tokens := max(request.PromptTokens-max(c.CachedTokens, held), 0)
	return time.Duration(float64(tokens) / tokensPerMS * c.Speed.Factor() * float64(time.Millisecond))
}

// delayWithoutPrompts estimates the time until the engine starts the request if no other
// prompt waits there.
func (c *Candidate) delayWithoutPrompts(request Request) time.Duration {
	idle := *c
	idle.WaitingTokens = 0
	return idle.delay(request)
}
