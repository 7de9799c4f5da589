package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/inflight"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/placement"
)

// holders returns n engines with the popular adapter.
func holders(n int) []placement.Candidate {
	candidates := engines(n)
	for i := range candidates {
		candidates[i].Resident = &placement.Resident{AdapterName: popular, Version: 1}
	}
	return candidates
}

// promptRequest returns a request whose prompt has 350 of 1,460 tokens in common with others.
func promptRequest(hash uint64) placement.Request {
	return placement.Request{
		Adapter: popular, Tokens: 1540, PromptTokens: 1460, Zone: "zone-0", Now: time.Unix(1000, 0),
		Shared: &placement.SharedPrompt{Hash: hash, Tokens: 350},
	}
}

// TestSavingIsWeighedAgainstTheWait covers an engine that holds the beginning of a prompt and
// has others waiting, beside an idle one that does not hold it: it is chosen as long as the
// wait is shorter than what is saved, and never if it is full, unhealthy or out of bounds.
func TestSavingIsWeighedAgainstTheWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		cached int
		change func(holder, other *placement.Candidate)
		chosen bool
	}{
		{"idle", 350, func(_, _ *placement.Candidate) {}, true},
		{"one request more", 350, func(h, _ *placement.Candidate) { h.Requests = 1 }, true},
		{"a short prompt waits", 350, func(h, _ *placement.Candidate) { h.Use = inflight.Use{Requests: 1, WaitingTokens: 150} }, true},
		{"a prompt waits", 350, func(h, _ *placement.Candidate) { h.Use = inflight.Use{Requests: 1, WaitingTokens: 1460} }, false},
		{"a prompt waits, more is saved", 1400, func(h, _ *placement.Candidate) { h.Use = inflight.Use{Requests: 1, WaitingTokens: 1200} }, true},
		{"seven requests more, more is saved", 1400, func(h, _ *placement.Candidate) { h.Requests = 7 }, true},
		{"forty requests more", 1400, func(h, _ *placement.Candidate) { h.Requests = 40 }, false},
		{"KV cache full", 1400, func(h, _ *placement.Candidate) { h.Use = inflight.Use{Requests: 1, Tokens: 86_000} }, false},
		{"both full, the holder fuller", 1400, func(h, other *placement.Candidate) {
			h.Use, other.Use = inflight.Use{Requests: 2, Tokens: 86_000}, inflight.Use{Requests: 1, Tokens: 86_000}
		}, false},
		{"probed", 1400, func(h, _ *placement.Candidate) { h.Health = outlier.Probing }, false},
		{"ejected", 1400, func(h, _ *placement.Candidate) { h.Health = outlier.Ejected }, false},
		{"all answers are errors", 1400, func(h, _ *placement.Candidate) { h.ErrorShare = 1 }, false},
	} {
		candidates := holders(2)
		candidates[1].CachedTokens = c.cached
		c.change(&candidates[1], &candidates[0])
		if choice, ok := placement.Choose(promptRequest(1), candidates); !ok || (choice.Index == 1) != c.chosen {
			t.Errorf("%s: engine %d chosen", c.name, choice.Index)
		}
	}
}

// TestBusyHolderIsLeftToChance covers an engine that holds nearly all of a long prompt and has
// five times the requests of the others: it gets no more of these prompts than any engine.
func TestBusyHolderIsLeftToChance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := holders(12)
	for i := range candidates {
		candidates[i].Requests = 4
	}
	candidates[3].Requests, candidates[3].CachedTokens = 20, 1400
	sent := 0
	for hash := range uint64(1200) {
		request := promptRequest(hash)
		request.Random = random.IntN
		if choice, ok := placement.Choose(request, candidates); ok && choice.Index == 3 {
			sent++
		}
	}
	if sent > 200 {
		t.Errorf("%d of 1200 prompts go to the busy engine", sent)
	}
}

// TestInstancesMeetOnTheSameEngine covers instances that know nothing of each other: while the
// engines are equally busy, the requests with one beginning meet on one of 12 engines, those
// with different beginnings are spread, and only those of an engine that leaves move.
func TestInstancesMeetOnTheSameEngine(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := holders(12)
	home := func(hash uint64, candidates []placement.Candidate) string {
		t.Helper()
		chosen := map[string]bool{}
		for range 20 {
			request := promptRequest(hash)
			request.Random = random.IntN
			choice, ok := placement.Choose(request, candidates)
			if !ok || !choice.Home {
				t.Fatalf("%+v, %v", choice, ok)
			}
			chosen[string(candidates[choice.Index].ID)] = true
		}
		if len(chosen) != 1 {
			t.Fatalf("requests with one beginning go to %d engines", len(chosen))
		}
		for id := range chosen {
			return id
		}
		return ""
	}
	used, moved := map[string]int{}, 0
	for hash := range uint64(240) {
		id := home(hash, candidates)
		used[id]++
		if id != "engine-11" && home(hash, candidates[:11]) != id {
			moved++
		}
	}
	for id, n := range used {
		if n > 50 {
			t.Errorf("%s is the home of %d of 240 beginnings", id, n)
		}
	}
	if len(used) != 12 || moved > 0 {
		t.Errorf("%d engines are homes, %d beginnings moved as another engine left", len(used), moved)
	}
}

// TestChoiceWithoutRegardToCaches checks that what engines hold changes nothing, not even the
// use of random numbers, unless the request asks for it.
func TestChoiceWithoutRegardToCaches(t *testing.T) {
	candidates, cached := holders(9), holders(9)
	for i := range candidates {
		candidates[i].Requests, cached[i].Requests = i%4, i%4
		cached[i].CachedTokens = 100 * i
	}
	choose := func(candidates []placement.Candidate) string {
		random := rand.New(rand.NewPCG(3, 4))
		chosen := ""
		for range 100 {
			request := promptRequest(1)
			request.Shared, request.Random = nil, random.IntN
			choice, _ := placement.Choose(request, candidates)
			chosen += fmt.Sprint(choice, " ")
		}
		return chosen
	}
	if choose(candidates) != choose(cached) {
		t.Error("the choice depends on what engines hold")
	}
}
