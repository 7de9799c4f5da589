package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

var (
	popular = deployment.AdapterName{Model: "base", Adapter: "a1"}
	rare    = deployment.AdapterName{Model: "base", Adapter: "a2"}
)

// engines returns idle engines with the base model and without adapters.
func engines(n int) []placement.Candidate {
	candidates := make([]placement.Candidate, n)
	for i := range candidates {
		candidates[i] = placement.Candidate{
			Target:        deployment.Target{ID: deployment.TargetID(fmt.Sprint("engine-", i)), Zone: "zone-0"},
			Slots:         24,
			KVCacheTokens: 87_000,
			HasModel:      true, CanLoad: true,
		}
	}
	return candidates
}

// TestPopularAdaptersWantMoreCopies covers traffic in which one adapter gets a
// fifth of all requests and most others a single one: the popular adapter should
// be on about a fifth of the engines, the others need no further copy.
func TestPopularAdaptersWantMoreCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &placement.Demand{Now: func() time.Time { return now }}
	for i := range 500 {
		now = now.Add(20 * time.Millisecond)
		name := popular
		if i%5 != 0 {
			name = deployment.AdapterName{Model: "base", Adapter: fmt.Sprint("b", i)}
		}
		d.Record(name)
	}
	if copies := d.WantedCopies(popular, 90); copies < 14 || copies > 19 {
		t.Errorf("%.1f copies of an adapter with a fifth of the requests, on 90 engines", copies)
	}
	d.Record(rare)
	if copies := d.WantedCopies(rare, 90); copies > 1 {
		t.Errorf("%.1f copies of an adapter that was requested once", copies)
	}
	now = now.Add(time.Minute)
	d.Record(rare)
	if copies := d.WantedCopies(popular, 90); copies > 1 {
		t.Errorf("%.1f copies a minute after the demand moved away", copies)
	}
}

// TestCopiesOfOneAdapterAreRateLimited checks that an instance requests copies of
// an adapter only at intervals.
func TestCopiesOfOneAdapterAreRateLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &placement.Demand{Now: func() time.Time { return now }}
	if !d.AllowCopy(popular) || d.AllowCopy(popular) || !d.AllowCopy(rare) {
		t.Error("the first copy was refused, or an immediate second one was allowed")
	}
	now = now.Add(2 * time.Second)
	if !d.AllowCopy(popular) {
		t.Error("a further copy was refused after the interval")
	}
}

// TestBusyCopiesLeadToOneMore checks that another copy is loaded for later
// requests when the existing ones are busy and the demand calls for more, while
// the current request goes to the engine that has the adapter.
func TestBusyCopiesLeadToOneMore(t *testing.T) {
	candidates := engines(12)
	candidates[3].Resident = &placement.Resident{AdapterName: popular, Version: 1}
	request := placement.Request{Adapter: popular, Tokens: 1000, Zone: "zone-0", WantedCopies: 2.4, Now: time.Unix(1000, 0)}
	choose := func() placement.Choice {
		t.Helper()
		choice, ok := placement.Choose(request, candidates)
		if !ok {
			t.Fatal("no engine")
		}
		return choice
	}
	if choice := choose(); choice.Index != 3 || choice.CopyIndex >= 0 {
		t.Errorf("idle copy: %+v", choice)
	}
	candidates[3].Use = inflight.Use{Requests: 6, WaitingTokens: 1500, Tokens: 9000}
	choice := choose()
	if choice.Index != 3 || choice.NeedsLoad || choice.CopyIndex < 0 || choice.CopyIndex == 3 {
		t.Errorf("busy copy: %+v", choice)
	}
	request.WantedCopies = 0.8
	if choice := choose(); choice.CopyIndex >= 0 {
		t.Errorf("busy copy of an adapter that needs one: %+v", choice)
	}
}

// TestStaleCountsDoNotConcentrateRequests guards against all instances sending
// their requests for an adapter to the engine that looks least busy, before they
// learn of each other's requests.
func TestStaleCountsDoNotConcentrateRequests(t *testing.T) {
	candidates := engines(18)
	for i := range candidates {
		candidates[i].Resident = &placement.Resident{AdapterName: popular, Version: 1}
		candidates[i].Requests = 7
	}
	candidates[4].Requests = 6
	random := rand.New(rand.NewPCG(1, 2))
	request := placement.Request{Adapter: popular, Tokens: 1000, Zone: "zone-0", Random: random.IntN, Now: time.Unix(1000, 0)}
	const requests = 1800
	sent := make([]int, len(candidates))
	for range requests {
		choice, ok := placement.Choose(request, candidates)
		if !ok {
			t.Fatal("no engine")
		}
		sent[choice.Index]++
	}
	for i, n := range sent {
		if n > 3*requests/len(candidates) {
			t.Errorf("engine %d gets %d of %d requests", i, n, requests)
		}
	}
}

// TestNewAdaptersAvoidBusyEngines covers a few engines that hold the most popular
// adapters: adapters that are requested once should be loaded on the others.
func TestNewAdaptersAvoidBusyEngines(t *testing.T) {
	candidates := engines(12)
	for i := range candidates {
		candidates[i].Requests = 6
		if i < 3 {
			candidates[i].Requests = 14
		}
	}
	used := map[int]bool{}
	for i := range 200 {
		name := deployment.AdapterName{Model: "base", Adapter: fmt.Sprint("b", i)}
		choice, ok := placement.Choose(placement.Request{Adapter: name, Tokens: 1000, Zone: "zone-0", Now: time.Unix(1000, 0)}, candidates)
		if !ok || !choice.NeedsLoad {
			t.Fatalf("%+v, %v", choice, ok)
		}
		if choice.Index < 3 {
			t.Fatalf("%s goes to an engine with twice the mean's requests", name.Adapter)
		}
		used[choice.Index] = true
	}
	if len(used) != 9 {
		t.Errorf("only %d of 9 engines are used", len(used))
	}
}
