package admission_test

import (
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/admission"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/inflight"
)

// TestClientsThatRepeatAtOnceGainNothing guards against repeats that move the time at which
// a client is due, or that have room reserved for them again and again.
func TestClientsThatRepeatAtOnceGainNothing(t *testing.T) {
	var returns admission.Returns
	now := time.Now()
	returns.Refused(now, "request:1", 0, time.Second)
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if kind := returns.Observe(now.Add(at), "request:1"); kind != admission.ReturnEarly {
			t.Fatalf("after %s: %q", at, kind)
		}
		returns.Refused(now.Add(at), "request:1", 0, time.Second)
	}
	if n := returns.Due(now.Add(900*time.Millisecond), 0, time.Second); n != 1 {
		t.Errorf("%d requests are due back, want 1", n)
	}
	if kind := returns.Observe(now.Add(time.Second), "request:1"); kind != admission.ReturnDue {
		t.Errorf("in time: %q", kind)
	}
	if kind := returns.Observe(now.Add(time.Second), "request:1"); kind != admission.ReturnNone {
		t.Errorf("a second time: %q", kind)
	}
}

// TestRequestBackInTimeIsNotRefusedForNewOnes guards against a client that comes back when
// it is told to and finds the room taken by new requests of its level.
func TestRequestBackInTimeIsNotRefusedForNewOnes(t *testing.T) {
	use := ranked([inflight.Ranks]int{34, 2, 7}, [inflight.Ranks]int{})
	fleet := testFleet()
	fleet.Returning = 10
	engines := testEngines(60, use)
	if d := admission.Decide(testRequest(0), fleet, testWanted(), engines); d.Choice.Full == false {
		t.Errorf("new: %+v", d)
	}
	r := testRequest(2)
	r.Return = admission.ReturnDue
	if d := admission.Decide(r, fleet, testWanted(), engines); d.Action != admission.Start || d.Choice.Full {
		t.Errorf("back in time: %+v", d)
	}
}

// TestRefusedTogetherComeBackApart guards against clients that are refused at once and come
// back at once.
func TestRefusedTogetherComeBackApart(t *testing.T) {
	const slices = 5
	var counts [slices]int
	for range 1000 {
		at := admission.ReturnTime(time.Second, 15*time.Second)
		if at < time.Second || at >= 2*time.Second {
			t.Fatalf("told to come back after %s", at)
		}
		counts[(at-time.Second)*slices/time.Second]++
	}
	for _, n := range counts {
		if n < 1000/slices/2 {
			t.Errorf("spread over the time: %v", counts)
		}
	}
	if at := admission.ReturnTime(time.Hour, 3*time.Second); at > time.Second {
		t.Errorf("%s of 3 s that are left", at)
	}
}

// TestLargeTeamsBurstCostsThatTeamFirst guards against a line in which the requests of one
// team go before all others', or fill it for them.
func TestLargeTeamsBurstCostsThatTeamFirst(t *testing.T) {
	var line admission.Line[int]
	now := time.Now()
	push := func(n int, team string) error {
		return line.Push(now, 0, fairqueue.Item[int]{ID: fmt.Sprint(n), Team: team, Tokens: 1000})
	}
	refused := 0
	for n := range 100 {
		if push(n, "large") != nil {
			refused++
		}
	}
	if err := push(100, "small"); err != nil || refused == 0 {
		t.Errorf("the small team: %v; %d of the large one were refused", err, refused)
	}
	for turn := range 2 {
		if item, _ := line.Pop(nil); item.Team == "small" {
			return
		} else if turn > 0 {
			t.Error("the small team waits for more than a turn of the large one")
		}
	}
}

// TestEachRankHasTurns guards against a rank that waits for as long as more urgent ones do.
func TestEachRankHasTurns(t *testing.T) {
	var line admission.Line[int]
	for n := range 20 {
		for _, rank := range []inflight.Rank{0, 2} {
			if err := line.Push(time.Now(), rank, fairqueue.Item[int]{ID: fmt.Sprint(rank, n), Payload: int(rank)}); err != nil {
				t.Fatal(err)
			}
		}
	}
	var turns [inflight.Ranks]int
	for range 16 {
		item, _ := line.Pop(nil)
		turns[item.Payload]++
	}
	if turns[2] != 2 || turns[0] != 14 {
		t.Errorf("turns %v", turns)
	}
}
