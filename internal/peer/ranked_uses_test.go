package peer_test

import (
	"context"
	"testing"
	"time"

	"heatherrelay/internal/inflight"
)

// TestEveryInstanceSeesTheUseOfEachRank guards against uses whose ranks get lost or are
// counted twice on their way over relays, beside requests of unknown rank, and after half of
// the requests have begun to be answered or have ended.
func TestEveryInstanceSeesTheUseOfEachRank(t *testing.T) {
	const size, prompt = 24, 100
	f := newSimulatedFleet(size, 3)
	step := func() {
		for range 40 {
			f.now = f.now.Add(50 * time.Millisecond)
			for _, m := range f.members {
				m.Step(context.Background())
			}
		}
	}
	step()
	var want inflight.Use
	count := func(rank inflight.Rank, requests, waiting int) {
		want.Requests += requests
		want.WaitingTokens += waiting
		want.Tokens += 2 * prompt * requests
		want.Ranked[rank].Requests += requests
		want.Ranked[rank].WaitingTokens += waiting
	}
	check := func(when string) {
		t.Helper()
		step()
		for _, m := range f.members {
			if use := m.Use(testTarget); use != want {
				t.Fatalf("%s: %s counts %+v, want %+v", when, m.Self.ID, use, want)
			}
		}
	}
	var begun []*inflight.TrackedRequest
	for i, m := range f.members {
		rank := inflight.Rank(i % inflight.Ranks)
		begun = append(begun, m.Tracker.BeginRanked(testTarget, testAdapter, prompt, prompt, rank))
		count(rank, 1, prompt)
		m.Tracker.Begin(testTarget, testAdapter, prompt, prompt)
		want.Add(inflight.Use{Requests: 1, WaitingTokens: prompt, Tokens: 2 * prompt})
	}
	check("begun")
	for i, request := range begun {
		rank := inflight.Rank(i % inflight.Ranks)
		if request.ObserveFirstEvent(); i < size/2 {
			request.End()
			count(rank, -1, 0)
		}
		count(rank, 0, -prompt)
	}
	check("answered or ended")
}
