package upstream_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/upstream"
)

// listing returns the targets by id.
func listing(targets ...deployment.Target) map[deployment.TargetID]deployment.Target {
	listed := map[deployment.TargetID]deployment.Target{}
	for _, t := range targets {
		listed[t.ID] = t
	}
	return listed
}

// TestLeavingAppliesToOneGeneration guards against applying a target's statement that
// it is leaving to a later start under the same id, also if an answer of the earlier
// start arrives late.
func TestLeavingAppliesToOneGeneration(t *testing.T) {
	a := &upstream.Availability{Now: time.Now, Log: zap.NewNop()}
	first, second := deployment.Target{ID: "t", Generation: 7}, deployment.Target{ID: "t", Generation: 8}
	leaving := &upstream.ResponseHead{Leaving: true}
	a.Observe(first, leaving)
	if !a.Leaving(first) || a.Leaving(second) {
		t.Errorf("leaving: %v, after a restart: %v", a.Leaving(first), a.Leaving(second))
	}
	a.Observe(second, leaving)
	a.Observe(first, leaving)
	if !a.Leaving(second) {
		t.Error("a late answer of the earlier generation replaced the statement of the later one")
	}
}

// TestLeavingOfOtherTargetIsIgnored guards against excluding a target because another
// one that took over its address is leaving.
func TestLeavingOfOtherTargetIsIgnored(t *testing.T) {
	a := &upstream.Availability{Now: time.Now, Log: zap.NewNop()}
	target := deployment.Target{ID: "t"}
	a.Observe(target, &upstream.ResponseHead{Leaving: true, Misdirected: true, TargetID: "other"})
	if a.Leaving(target) {
		t.Error("the statement of another target was applied")
	}
}

// TestLeavingOutlastsMissingEntry guards against sending requests to a leaving target
// whose entry was missing for a moment, and against keeping statements for ever.
func TestLeavingOutlastsMissingEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &upstream.Availability{Now: func() time.Time { return now }, Log: zap.NewNop()}
	target := deployment.Target{ID: "t"}
	a.Observe(target, &upstream.ResponseHead{Leaving: true})
	a.Retain(listing())
	now = now.Add(3 * time.Second)
	a.Retain(listing(target))
	if !a.Leaving(target) {
		t.Error("the statement was forgotten while the entry was missing")
	}
	a.Retain(listing())
	now = now.Add(time.Hour)
	a.Retain(listing())
	if a.Leaving(target) {
		t.Error("the statement was kept for an hour after the target had gone")
	}
}

// TestPauseLastsAsLongAsRequested guards against a pause that a later answer cuts short,
// or that goes on at a restarted target.
func TestPauseLastsAsLongAsRequested(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &upstream.Availability{Now: func() time.Time { return now }, Log: zap.NewNop()}
	target := deployment.Target{ID: "t", Generation: 7}
	a.Observe(target, &upstream.ResponseHead{Status: 503, RetryAfter: 2 * time.Second})
	now = now.Add(time.Second)
	a.Observe(target, &upstream.ResponseHead{Status: 503, RetryAfter: 100 * time.Millisecond})
	a.Observe(target, &upstream.ResponseHead{Status: 200})
	if pause := a.PausedFor(target); pause != time.Second || a.Available(target) {
		t.Errorf("paused for %s, want 1s", pause)
	}
	if restarted := (deployment.Target{ID: "t", Generation: 8}); !a.Available(restarted) {
		t.Error("the pause applies to the next generation")
	}
	now = now.Add(time.Second)
	if !a.Available(target) {
		t.Error("not available after its pause")
	}
}

// TestPauseIsBounded guards against a target that is unused for hours because of a wrong
// Retry-After, and against a pause for statuses other than 503.
func TestPauseIsBounded(t *testing.T) {
	for _, c := range []struct {
		status     int
		retryAfter time.Duration
		want       time.Duration
	}{
		{503, -time.Second, 0}, {503, 0, 0}, {503, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{503, 30 * time.Hour, 5 * time.Minute}, {429, time.Second, 0}, {200, time.Second, 0},
	} {
		head := &upstream.ResponseHead{Status: c.status, RetryAfter: c.retryAfter}
		if got := head.Pause(); got != c.want {
			t.Errorf("%d with %s: pause of %s, want %s", c.status, c.retryAfter, got, c.want)
		}
	}
}
