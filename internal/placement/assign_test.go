package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/placement"
)

// prefillRuns has prompts arrive at engines at random times, each of which some engines can
// take, and returns the part of them during which an engine prefills for longer than the
// streams there may pause.
func prefillRuns(perSecond float64, choose func(p *placement.PromptPacer, offers []placement.Offer) placement.Assignment) (tooLong float64, delays time.Duration) {
	const (
		engines, copies = 60, 8
		prefillTime     = 57 * time.Millisecond
		longest         = 250 * time.Millisecond
		requests        = 20_000
	)
	random := rand.New(rand.NewPCG(5, 6))
	now := time.Unix(1000, 0)
	p := &placement.PromptPacer{Now: func() time.Time { return now }}
	busyUntil, count := make([]time.Time, engines), 0
	for range requests {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		var offers []placement.Offer
		for _, e := range random.Perm(engines)[:copies] {
			offers = append(offers, placement.Offer{Target: deployment.TargetID(fmt.Sprint("e", e)), Prefill: prefillTime, Room: longest, Streams: 6, Index: e})
		}
		a := choose(p, offers)
		e, sent := offers[a.Index].Index, now.Add(a.Delay)
		delays += a.Delay
		if busyUntil[e].Before(sent) {
			busyUntil[e] = sent
		}
		busyUntil[e] = busyUntil[e].Add(prefillTime)
		if busyUntil[e].Sub(sent) > longest {
			count++
		}
	}
	return float64(count) / requests, delays / requests
}

// TestPromptsOfAllInstancesDoNotMeetAtOneEngine guards against streams that pause since
// instances that know each other's requests only from some time ago send their prompts to
// the same engines at once. The engines are to prefill for 0.7 of their time.
func TestPromptsOfAllInstancesDoNotMeetAtOneEngine(t *testing.T) {
	const perSecond = 0.7 * 60 * 1000 / 57
	limits := placement.AssignmentLimits{Objective: 800 * time.Millisecond, MaxDelay: 400 * time.Millisecond}
	random, _ := prefillRuns(perSecond, func(*placement.PromptPacer, []placement.Offer) placement.Assignment { return placement.Assignment{} })
	assigned, delay := prefillRuns(perSecond, func(p *placement.PromptPacer, offers []placement.Offer) placement.Assignment {
		return p.Assign(offers, limits)
	})
	t.Logf("prefilling for too long: %.3f of the prompts at engines picked at random, %.3f assigned, held back for %s", random, assigned, delay)
	if assigned > 0.01 || random < 0.05 {
		t.Errorf("%.3f of the prompts are prefilled in too long a row, %.3f at engines picked at random", assigned, random)
	}
	if delay > 150*time.Millisecond {
		t.Errorf("prompts are held back for %s", delay)
	}
}

// TestAssignedPromptsAreHeldBackWithinTheLimit guards against prompts that wait for an engine
// until their streams are late anyway.
func TestAssignedPromptsAreHeldBackWithinTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &placement.PromptPacer{Now: func() time.Time { return now }}
	offers := []placement.Offer{{Target: "e1", Prefill: 100 * time.Millisecond, Room: 250 * time.Millisecond, Streams: 4}}
	limits := placement.AssignmentLimits{Objective: 800 * time.Millisecond, MaxDelay: 400 * time.Millisecond}
	if a := p.Assign(offers, limits); a.Delay != 0 || a.Wait != 0 || !a.Assigned {
		t.Errorf("idle engine: %+v", a)
	}
	for range 20 {
		if a := p.Assign(offers, limits); a.Delay > limits.MaxDelay {
			t.Errorf("%+v", a)
		}
	}
	if a := p.Assign([]placement.Offer{{Target: "e1", Prefill: 100 * time.Millisecond, Room: 250 * time.Millisecond, Streams: 4}, {Target: "e2", Prefill: 100 * time.Millisecond, Room: 250 * time.Millisecond, Streams: 4, Extra: 100 * time.Millisecond}}, limits); a.Index != 1 {
		t.Errorf("busy engine beside an idle one: %+v", a)
	}
}

// TestAssignmentBeyondTheWaitReservesNothing guards against time that stays reserved for a
// prompt that another zone takes.
func TestAssignmentBeyondTheWaitReservesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &placement.PromptPacer{Now: func() time.Time { return now }}
	offers := []placement.Offer{{Target: "e1", Prefill: 200 * time.Millisecond}}
	p.Assign(offers, placement.AssignmentLimits{})
	limits := placement.AssignmentLimits{MaxWait: 100 * time.Millisecond}
	first := p.Assign(offers, limits)
	second := p.Assign(offers, limits)
	if first.Assigned || first != second {
		t.Errorf("first %+v, then %+v", first, second)
	}
}

// TestOffersAreEnginesThatCanStartTheRequest guards against prompts that are assigned to
// engines without the adapter, without room, of another zone or in trouble.
func TestOffersAreEnginesThatCanStartTheRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	name := deployment.AdapterName{Model: "base", Adapter: "a1"}
	candidate := func(id string, change func(*placement.Candidate)) placement.Candidate {
		c := placement.Candidate{Target: deployment.Target{ID: deployment.TargetID(id), Zone: "north"}, Slots: 4, HasModel: true, Resident: &placement.Resident{AdapterName: name, Version: 2}}
		change(&c)
		return c
	}
	candidates := []placement.Candidate{
		candidate("busy", func(c *placement.Candidate) { c.Use = inflight.Use{Requests: 3, WaitingTokens: 9000} }),
		candidate("free", func(c *placement.Candidate) { c.CachedTokens = 300 }),
		candidate("full", func(c *placement.Candidate) { c.Use = inflight.Use{Requests: 4} }),
		candidate("far", func(c *placement.Candidate) { c.Zone = "south" }),
		candidate("without", func(c *placement.Candidate) { c.Resident = nil }),
		candidate("old", func(c *placement.Candidate) { c.Resident = &placement.Resident{AdapterName: name, Version: 1} }),
		candidate("loading", func(c *placement.Candidate) {
			c.Resident = &placement.Resident{AdapterName: name, Version: 2, ReadyAt: now.Add(time.Second)}
		}),
		candidate("ejected", func(c *placement.Candidate) { c.Health = outlier.Ejected }),
	}
	request := placement.Request{Adapter: name, Version: 2, PromptTokens: 1000, Tokens: 1100, Zone: "north", Now: now}
	offers := placement.Offers(request, candidates, placement.Choice{Index: -1}, "north", 10)
	if len(offers) != 2 || offers[0].Target != "free" || offers[0].Prefill != 70*time.Millisecond || offers[0].Extra != 0 || offers[1].Target != "busy" || offers[1].Extra <= 0 || offers[1].Extra > 50*time.Millisecond {
		t.Errorf("%+v", offers)
	}
	if zone := placement.NearestOtherZone(request, candidates); zone != "south" {
		t.Errorf("nearest other zone %q", zone)
	}
}

func BenchmarkAssign(b *testing.B) {
	p := &placement.PromptPacer{Now: time.Now}
	var offers []placement.Offer
	for i := range 24 {
		offers = append(offers, placement.Offer{Target: deployment.TargetID(fmt.Sprint("e", i)), Prefill: 57 * time.Millisecond})
	}
	for b.Loop() {
		p.Assign(offers, placement.AssignmentLimits{Objective: time.Second})
	}
}

// TestPromptRateIsLearned covers engines that prefill at a rate, beside which other prompts
// or a slow moment lengthen part of the answers, and a sample that is wrong by far.
func TestPromptRateIsLearned(t *testing.T) {
	const tokensPerMS = 24.0
	random := rand.New(rand.NewPCG(1, 2))
	var r placement.PromptRate
	for range 300 {
		tokens := 300 + random.IntN(3000)
		took := float64(tokens)/tokensPerMS + 12
		if random.IntN(3) == 0 {
			took *= 1 + 3*random.Float64()
		}
		r.Observe(tokens, time.Duration(took*float64(time.Millisecond)))
	}
	learned := r.TokensPerMS()
	if learned < 0.6*tokensPerMS || learned > tokensPerMS {
		t.Errorf("%.1f tokens a ms of %.1f", learned, tokensPerMS)
	}
	r.Observe(1000, time.Microsecond)
	if after := r.TokensPerMS(); after > 1.05*learned {
		t.Errorf("one sample moves the rate from %.1f to %.1f", learned, after)
	}
}
