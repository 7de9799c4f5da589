package admission_test

import (
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/admission"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

const (
	testSlots   = 48
	testKVCache = 130_000
)

// testShares are the parts of three ranks in what callers ask for.
var testShares = admission.Shares{0.6, 0.25, 0.15}

func testFleet() admission.Fleet {
	return admission.Fleet{Instances: 73, Lag: 150 * time.Millisecond, RunTime: 1500 * time.Millisecond, Shares: testShares}
}

func testRequest(rank inflight.Rank) admission.Request {
	return admission.Request{
		Rank: rank, Objective: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, GapObjective: 300 * time.Millisecond,
		Remaining: 15 * time.Second, PromptTokens: 1460,
	}
}

func testWanted() placement.Request {
	return placement.Request{Adapter: deployment.AdapterName{Model: "base"}, Tokens: 1632, PromptTokens: 1460, Objective: 800 * time.Millisecond}
}

// testEngines returns engines with the given use each.
func testEngines(count int, use inflight.Use) []placement.Candidate {
	engines := make([]placement.Candidate, count)
	for i := range engines {
		engines[i] = placement.Candidate{
			Target: deployment.Target{ID: deployment.TargetID(fmt.Sprint("e", i))}, Use: use, Slots: testSlots, KVCacheTokens: testKVCache, HasModel: true,
		}
	}
	return engines
}

// ranked returns the use of an engine by requests of each rank.
func ranked(requests, waitingTokens [inflight.Ranks]int) inflight.Use {
	var use inflight.Use
	for rank := range inflight.Ranks {
		use.Requests += requests[rank]
		use.WaitingTokens += waitingTokens[rank]
		use.Tokens += requests[rank] * 1632
		use.Ranked[rank] = inflight.RankUse{Requests: requests[rank], WaitingTokens: waitingTokens[rank]}
	}
	return use
}

// TestUrgentRequestsPassABurstOfThePatientKind guards against prompts of patient callers
// that count as work in front of urgent ones, and against slots that they all take.
func TestUrgentRequestsPassABurstOfThePatientKind(t *testing.T) {
	use := ranked([inflight.Ranks]int{20, 4, 16}, [inflight.Ranks]int{0, 0, 20_000})
	if d := admission.Decide(testRequest(0), testFleet(), testWanted(), testEngines(60, use)); d.Action != admission.Start || d.Start > 600*time.Millisecond {
		t.Errorf("urgent: %+v", d)
	}
	if d := admission.Decide(testRequest(2), testFleet(), testWanted(), testEngines(60, use)); d.Starts() {
		t.Errorf("patient, more of which would only wait at the engines: %+v", d)
	}
}

// TestPatientRequestsKeepTheirShareInABurstOfTheUrgentKind guards against a level that
// starves.
func TestPatientRequestsKeepTheirShareInABurstOfTheUrgentKind(t *testing.T) {
	use := ranked([inflight.Ranks]int{40, 2, 0}, [inflight.Ranks]int{})
	if d := admission.Decide(testRequest(2), testFleet(), testWanted(), testEngines(60, use)); d.Action != admission.Start {
		t.Errorf("patient, without a request at the engines: %+v", d)
	}
	use = ranked([inflight.Ranks]int{30, 2, 10}, [inflight.Ranks]int{})
	if d := admission.Decide(testRequest(2), testFleet(), testWanted(), testEngines(60, use)); d.Starts() {
		t.Errorf("patient, beyond its share: %+v", d)
	}
}

// TestNobodyIsRefusedWhileHalfTheSlotsAreFree guards against refusals beside free engines.
func TestNobodyIsRefusedWhileHalfTheSlotsAreFree(t *testing.T) {
	for _, returned := range []admission.Return{admission.ReturnNone, admission.ReturnDue, admission.ReturnEarly} {
		for rank := range inflight.Rank(inflight.Ranks) {
			for _, waiting := range []int{0, 5_000, 60_000} {
				r := testRequest(rank)
				r.Return = returned
				use := ranked([inflight.Ranks]int{10, 6, 6}, [inflight.Ranks]int{waiting, waiting, waiting})
				if d := admission.Decide(r, testFleet(), testWanted(), testEngines(60, use)); d.Action == admission.Refuse {
					t.Errorf("rank %d, returned %q, %d tokens wait: %+v", rank, returned, waiting, d)
				}
			}
		}
	}
}

// TestWhatCannotBeServedInTimeIsRefusedAtOnce guards against requests that are held until
// their deadline.
func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	use := ranked([inflight.Ranks]int{48}, [inflight.Ranks]int{60_000})
	r := testRequest(0)
	d := admission.Decide(r, testFleet(), testWanted(), testEngines(60, use))
	if d.Action != admission.Refuse || d.Cause != admission.CauseDeadline || d.RetryAfter <= 0 {
		t.Errorf("%+v", d)
	}
}

// TestLateRequestsGoBehindThoseInTime guards against requests that are late in any case and
// make others late too.
func TestLateRequestsGoBehindThoseInTime(t *testing.T) {
	use := ranked([inflight.Ranks]int{30}, [inflight.Ranks]int{20_000})
	if d := admission.Decide(testRequest(0), testFleet(), testWanted(), testEngines(60, use)); d.Action != admission.StartLast {
		t.Errorf("%+v", d)
	}
}

// TestWaitingIsBoundedByTheObjective guards against a line that grows beyond what the engines
// free in time.
func TestWaitingIsBoundedByTheObjective(t *testing.T) {
	use := ranked([inflight.Ranks]int{30, 4, 14}, [inflight.Ranks]int{})
	fleet, r := testFleet(), testRequest(1)
	for fleet.Ahead = 0; fleet.Ahead < 1000; fleet.Ahead++ {
		fleet.Waiting = fleet.Ahead
		d := admission.Decide(r, fleet, testWanted(), testEngines(60, use))
		if d.Action == admission.Refuse {
			break
		}
		if d.Action != admission.Wait || d.For > r.Patience {
			t.Fatalf("%d ahead: %+v", fleet.Ahead, d)
		}
	}
	if fleet.Ahead == 0 || fleet.Ahead > 100 {
		t.Errorf("%d requests wait at one instance of %d", fleet.Ahead, fleet.Instances)
	}
}

func BenchmarkDecide(b *testing.B) {
	engines := testEngines(140, ranked([inflight.Ranks]int{20, 4, 6}, [inflight.Ranks]int{2000, 500, 500}))
	for i := range engines {
		engines[i].Requests += i % 7
	}
	fleet, r, wanted := testFleet(), testRequest(1), testWanted()
	b.ReportAllocs()
	for b.Loop() {
		admission.Decide(r, fleet, wanted, engines)
	}
}
