package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

// weighed is a request for a stream with objectives, compared by speeds.
func weighed() placement.Request {
	return placement.Request{
		Adapter: popular, Tokens: 1600, PromptTokens: 1460, Zone: "zone-0", Now: time.Unix(1000, 0), WeighSpeeds: true,
		Objective: time.Second, GapObjective: 300 * time.Millisecond, Random: rand.New(rand.NewPCG(5, 6)).IntN,
	}
}

// residents returns engines that all hold the popular adapter, with a slowness each.
func residents(slowness ...float64) []placement.Candidate {
	candidates := engines(len(slowness))
	for i := range candidates {
		candidates[i].Resident = &placement.Resident{AdapterName: popular, Version: 1}
		candidates[i].Speed = placement.ScaledSpeed(1, slowness[i])
	}
	return candidates
}

// fill sends requests one after the other, each of which stays, and returns how many each
// candidate got.
func fill(t *testing.T, request placement.Request, candidates []placement.Candidate, requests int) []int {
	t.Helper()
	sent := make([]int, len(candidates))
	for range requests {
		choice, ok := placement.Choose(request, candidates)
		if !ok {
			t.Fatal("no engine")
		}
		sent[choice.Index]++
		candidates[choice.Index].Requests++
	}
	return sent
}

// TestSlowEnginesKeepTheShareThatTheyCanDo covers 90 requests that stay, before three engines
// of each of three speeds: in order of speed each gets more than the slower ones, and the
// slow ones still get some.
func TestSlowEnginesKeepTheShareThatTheyCanDo(t *testing.T) {
	candidates := residents(0.6, 0.6, 0.6, 1, 1, 1, 1.6, 1.6, 1.6)
	sent := fill(t, weighed(), candidates, 90)
	fast, usual, slow := sent[0]+sent[1]+sent[2], sent[3]+sent[4]+sent[5], sent[6]+sent[7]+sent[8]
	if fast <= usual || usual <= slow || slow < 3 {
		t.Errorf("fast engines get %d requests, usual ones %d, slow ones %d", fast, usual, slow)
	}
	for i, n := range sent {
		if n > 24 {
			t.Errorf("engine %d with 24 slots gets %d requests", i, n)
		}
	}
}

// TestEngineThatWouldPauseIsAvoided covers two engines that start a request equally soon, one
// of which sends its events beyond the longest pause that callers bear.
func TestEngineThatWouldPauseIsAvoided(t *testing.T) {
	candidates := residents(1, 1)
	candidates[0].Speed.EventInterval = 350 * time.Millisecond
	candidates[1].Requests = 4
	choice, _ := placement.Choose(weighed(), candidates)
	if choice.Index != 1 {
		t.Error("the stream goes where it pauses")
	}
	patient := weighed()
	patient.GapObjective = 2 * time.Second
	if choice, _ := placement.Choose(patient, candidates); choice.Index != 0 {
		t.Error("a patient stream avoids an idle engine")
	}
}

// TestSlowCopyHasAnotherEngineLoad covers an adapter whose only copy is on an engine that is
// eight times slower for a moment: the request is loaded elsewhere, unless it can wait or
// many loads wait for the weight store.
func TestSlowCopyHasAnotherEngineLoad(t *testing.T) {
	candidates := residents(8, 1, 1)
	candidates[0].Use = inflight.Use{Requests: 8, WaitingTokens: 1460}
	candidates[1].Resident, candidates[2].Resident = nil, nil
	if choice, _ := placement.Choose(weighed(), candidates); !choice.NeedsLoad {
		t.Errorf("urgent: %+v", choice)
	}
	patient := weighed()
	patient.Objective, patient.GapObjective, patient.PromptTokens = 20*time.Second, 5*time.Second, 646
	candidates[0].Requests, candidates[0].WaitingTokens = 1, 0
	if choice, _ := placement.Choose(patient, candidates); choice.NeedsLoad {
		t.Errorf("patient: %+v", choice)
	}
	candidates[0].Use = inflight.Use{Requests: 8}
	candidates[1].ColdWait, candidates[2].ColdWait = 2*time.Second, 2*time.Second
	if choice, _ := placement.Choose(weighed(), candidates); choice.NeedsLoad {
		t.Errorf("many loads wait: %+v", choice)
	}
}

// TestOtherZoneIsUsedBeyondTheWayThere covers a wave of requests at one of two zones: the other
// zone's engines get some once those at home are expected to start later than the way there
// takes, and none after the wave.
func TestOtherZoneIsUsedBeyondTheWayThere(t *testing.T) {
	candidates := residents(1, 1, 1, 1)
	for i := range candidates {
		candidates[i].Zone = []string{"zone-0", "zone-1"}[i%2]
	}
	sent := fill(t, weighed(), candidates, 40)
	if home, away := sent[0]+sent[2], sent[1]+sent[3]; away < 10 || home < away {
		t.Errorf("in a wave: %d at home, %d in the other zone", home, away)
	}
	for i := range candidates {
		candidates[i].Requests = 0
	}
	request := weighed()
	request.Random = nil
	if choice, _ := placement.Choose(request, candidates); candidates[choice.Index].Zone != "zone-0" {
		t.Error("after the wave requests still go to the other zone")
	}
}

// TestUnweighedChoiceIgnoresSpeeds checks that a request whose service does not weigh speeds is
// sent as if nothing were known of them.
func TestUnweighedChoiceIgnoresSpeeds(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 500 {
		known, unknown := engines(9), engines(9)
		for i := range known {
			known[i].Use = inflight.Use{Requests: random.IntN(30), WaitingTokens: random.IntN(5000)}
			known[i].ColdWait = time.Duration(random.IntN(1000)) * time.Millisecond
			if random.IntN(3) == 0 {
				known[i].Resident = &placement.Resident{AdapterName: popular, Version: 1}
			}
			unknown[i] = known[i]
			known[i].Speed.EventInterval = time.Second
		}
		request := weighed()
		request.WeighSpeeds, request.Random, request.GapObjective = false, nil, 0
		a, _ := placement.Choose(request, known)
		request.PromptTokens, request.Objective = 0, 0
		b, _ := placement.Choose(request, unknown)
		if a != b {
			t.Fatalf("%+v with speeds, %+v without", a, b)
		}
	}
}

// TestPlainRequestsAvoidSlowTargets covers a plain service of three targets with six slots:
// requests go where they are answered first, those that may run once only to a target that
// is known rather than to one that may be slow.
func TestPlainRequestsAvoidSlowTargets(t *testing.T) {
	targets := engines(3)
	for i := range targets {
		targets[i].Slots = 6
		targets[i].Speed = placement.Speed{Slowness: 1, Uncertainty: 0.05, ResponseTime: 15 * time.Millisecond}
	}
	targets[0].Speed.Slowness = 5
	targets[1].Requests, targets[2].Requests = 2, 3
	request := placement.Request{Zone: "zone-0", Repeatable: true, WeighSpeeds: true}
	if i, ok := placement.ChoosePlain(request, targets); !ok || i != 1 {
		t.Errorf("an idempotent request goes to target %d", i)
	}
	targets[1].Speed.Uncertainty = 0.5
	request.Repeatable = false
	if i, ok := placement.ChoosePlain(request, targets); !ok || i != 2 {
		t.Errorf("a request that may run once goes to target %d", i)
	}
	request.WeighSpeeds = false
	if i, ok := placement.ChoosePlain(request, targets); !ok || i != 0 {
		t.Errorf("unweighed, a request goes to target %d", i)
	}
}

// TestPromptsArePacedBySlowness covers prompts for an engine that takes twice as long.
func TestPromptsArePacedBySlowness(t *testing.T) {
	p := &placement.PromptPacer{
		Now: func() time.Time { return time.Unix(1000, 0) },
		Slowness: func(id deployment.TargetID) float64 {
			return map[deployment.TargetID]float64{"slow": 2, "usual": 1}[id]
		},
	}
	p.Reserve("slow", 1300)
	p.Reserve("usual", 1300)
	if delay := p.Reserve("slow", 1300); delay != 200*time.Millisecond {
		t.Errorf("at a slow engine the second prompt is delayed by %s", delay)
	}
	if delay := p.Reserve("usual", 1300); delay != 100*time.Millisecond {
		t.Errorf("at a usual engine the second prompt is delayed by %s", delay)
	}
}

// BenchmarkChooseBySpeed measures a decision among 140 targets, a few of which hold the
// adapter.
func BenchmarkChooseBySpeed(b *testing.B) {
	candidates := residents(make([]float64, 140)...)
	for i := range candidates {
		candidates[i].Speed = placement.ScaledSpeed(0.7, []float64{0.6, 1, 1.6}[i%3])
		candidates[i].Use = inflight.Use{Requests: i % 17, WaitingTokens: i % 5 * 700}
		if i%20 != 0 {
			candidates[i].Resident = nil
		}
	}
	request := weighed()
	for b.Loop() {
		placement.Choose(request, candidates)
	}
}
