package inflight_test

import (
	"testing"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
)

// TestTokensThatAreHeldDoNotWait covers a request whose engine holds more or less of its prompt:
// only the rest waits, and after the first event and the end nothing is left over.
func TestTokensThatAreHeldDoNotWait(t *testing.T) {
	for held, waiting := range map[int]int{0: 1000, 300: 700, 1000: 0, 2000: 0, -5: 1000} {
		var tracker inflight.Tracker
		name := deployment.AdapterName{Model: "base"}
		other := tracker.Begin("engine", name, 50, 10)
		request := tracker.Begin("engine", name, 1000, 100)
		request.SkipPrefill(held)
		if use := tracker.Target("engine"); use.WaitingTokens != waiting+50 || use.Tokens != 1160 {
			t.Errorf("%d held: %+v", held, use)
		}
		request.ObserveFirstEvent()
		request.SkipPrefill(held)
		if use := tracker.Target("engine"); use.WaitingTokens != 50 {
			t.Errorf("%d held, after the first event: %+v", held, use)
		}
		request.End()
		request.SkipPrefill(held)
		if use := tracker.Target("engine"); use != (inflight.Use{Requests: 1, WaitingTokens: 50, Tokens: 60}) {
			t.Errorf("%d held, after the end: %+v", held, use)
		}
		other.End()
	}
}
