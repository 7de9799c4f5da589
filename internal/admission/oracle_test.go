package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/admission"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

// startableInTime reports whether some engine has a slot on which a request starts in time,
// by all that is known and without a thought of others.
func startableInTime(r admission.Request, engines []placement.Candidate) bool {
	for _, e := range engines {
		ahead, behind := r.PromptTokens, 0
		for rank, part := range e.Ranked {
			if inflight.Rank(rank) <= r.Rank {
				ahead += part.WaitingTokens
			} else {
				behind += part.WaitingTokens
			}
		}
		start := placement.PromptTime(ahead+min(behind, r.PromptTokens)) + time.Duration(e.Requests)*4*time.Millisecond
		if e.Requests < e.Slots && start <= r.Objective-time.Millisecond {
			return true
		}
	}
	return false
}

// TestDecisionsAgainstAnOracle compares decisions on drawn fleets with what could have been
// started: the most urgent requests start whenever they can, others start in time only when
// they can, and nobody is refused while under half of the slots are taken.
func TestDecisionsAgainstAnOracle(t *testing.T) {
	var possible, started [inflight.Ranks]int
	rapid.Check(t, func(t *rapid.T) {
		fleet := testFleet()
		fleet.Instances = 1
		var engines []placement.Candidate
		taken := 0
		for range rapid.IntRange(1, 20).Draw(t, "engines") {
			var requests, waiting [inflight.Ranks]int
			for rank := range requests {
				requests[rank] = rapid.IntRange(0, 14).Draw(t, "requests")
				waiting[rank] = rapid.IntRange(0, requests[rank]*1000).Draw(t, "waiting")
			}
			engine := testEngines(1, ranked(requests, waiting))[0]
			engine.KVCacheTokens = 0
			engines, taken = append(engines, engine), taken+engine.Requests
		}
		r := testRequest(inflight.Rank(rapid.IntRange(0, inflight.Ranks-1).Draw(t, "rank")))
		d := admission.Decide(r, fleet, testWanted(), engines)
		can := startableInTime(r, engines)
		switch {
		case d.Action == admission.Refuse && 2*taken < len(engines)*testSlots:
			t.Fatalf("refused with %d of %d slots taken: %+v", taken, len(engines)*testSlots, d)
		case r.Rank == 0 && can && d.Action != admission.Start:
			t.Fatalf("an urgent request that can start in time: %+v", d)
		case d.Action == admission.Start && d.Start > r.Objective:
			t.Fatalf("counted as in time: %+v", d)
		}
		if can {
			possible[r.Rank]++
		}
		if can && d.Action == admission.Start {
			started[r.Rank]++
		}
	})
	for rank := range possible {
		t.Logf("rank %d: %d of %d that could start in time did", rank, started[rank], possible[rank])
	}
}
