package throttle_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/throttle"
)

const (
	// window is the time over which users count the requests at a target, tolerance and
	// extra what they allow beyond its limit.
	window    = 4 * time.Second
	tolerance = 1.5
	extra     = 5
	step      = 20 * time.Millisecond
)

var (
	start  = time.Unix(1_000_000, 0)
	target = deployment.Target{ID: "engine-1", Generation: 1}
)

// testFleet is a number of instances with one clock.
type testFleet struct {
	now      time.Time
	limiters []*throttle.Limiter
	// members are the instances that each one knows.
	members [][]string
	sent    []time.Time
}

func newFleet(size int) *testFleet {
	f := &testFleet{now: start}
	var all []string
	for i := range size {
		all = append(all, fmt.Sprint("instance-", i))
	}
	for i := range size {
		f.members = append(f.members, all)
		f.limiters = append(f.limiters, f.newLimiter(i))
	}
	return f
}

func (f *testFleet) newLimiter(i int) *throttle.Limiter {
	return &throttle.Limiter{
		Self: fmt.Sprint("instance-", i), Members: func() []string { return f.members[i] },
		Now: func() time.Time { return f.now }, Log: zap.NewNop(),
	}
}

func (f *testFleet) state(perSecond float64) {
	for _, l := range f.limiters {
		l.Observe(target, throttle.Statement{Limited: true, PerSecond: perSecond}, false)
	}
}

// run lets all instances send as much as they may for a time.
func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, l := range f.limiters {
			for l.Take(target) {
				f.sent = append(f.sent, f.now)
			}
		}
	}
}

// mostInWindow returns the largest number of requests sent within a window.
func (f *testFleet) mostInWindow() int {
	most := 0
	for i, first := range f.sent {
		end, _ := slices.BinarySearchFunc(f.sent, first.Add(window), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

func allowed(perSecond float64) int { return int(perSecond*window.Seconds()*tolerance + extra) }

// TestFleetStaysWithinLimit guards against more requests than a target allows from a
// fleet of any size, when instances start again, when they know only a part of the
// others for a while, and when all of them want to send at once.
func TestFleetStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 84).Draw(t, "instances"))
		perSecond := rapid.Float64Range(0.1, 40).Draw(t, "limit")
		f.state(perSecond)
		f.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "quiet")) * time.Second)
		again := rapid.IntRange(0, len(f.limiters)-1).Draw(t, "starts again")
		f.limiters[again] = f.newLimiter(again)
		f.limiters[again].Observe(target, throttle.Statement{Limited: true, PerSecond: perSecond}, false)
		f.run(window)
		lost := rapid.IntRange(0, len(f.limiters)-1).Draw(t, "lost")
		for i := range f.members {
			if i != lost {
				f.members[i] = slices.Delete(slices.Clone(f.members[i]), lost, lost+1)
			}
		}
		f.run(2 * window)
		if n := f.mostInWindow(); n > allowed(perSecond) {
			t.Fatalf("%d requests within %s, at most %d are allowed", n, window, allowed(perSecond))
		}
		if want := int(0.8 * perSecond * window.Seconds()); f.mostInWindow() < want {
			t.Fatalf("%d requests within %s at most, although %d are allowed", f.mostInWindow(), window, want)
		}
	})
}

// TestLatestStatementHolds checks that statements apply in the order in which they were
// made, however late they arrive, and that a later process has none at first.
func TestLatestStatementHolds(t *testing.T) {
	f := newFleet(2)
	l := f.limiters[0]
	l.Observe(target, throttle.Statement{Limited: true, PerSecond: 1}, false)
	if l.Wait(target) == 0 {
		t.Error("no wait right after the limit was stated")
	}
	f.now = f.now.Add(time.Second)
	l.Observe(target, throttle.Statement{}, true)
	l.Merge(throttle.Statement{Target: target.ID, Generation: 1, Limited: true, PerSecond: 2, At: start})
	if wait := l.Wait(target); wait != 0 {
		t.Errorf("wait %s for a target without a limit", wait)
	}
	l.Merge(throttle.Statement{Target: target.ID, Generation: 1, Limited: true, PerSecond: 2, At: f.now.Add(time.Second)})
	later := target
	later.Generation = 2
	if l.Wait(target) == 0 || l.Wait(later) != 0 {
		t.Errorf("waits %s and %s, want one for the first process only", l.Wait(target), l.Wait(later))
	}
	l.Merge(throttle.Statement{Target: target.ID, Generation: 2, Limited: true, PerSecond: 2, At: start})
	l.Observe(target, throttle.Statement{}, true)
	if l.Wait(later) == 0 {
		t.Error("a statement of an earlier process replaced that of a later one")
	}
}

// TestLateAnswerDelaysEndOfLimit guards against an instance that avoids a target for good:
// an answer that still stated the limit reached it after another instance had learned
// that the limit had ended, and it sends no further request there.
func TestLateAnswerDelaysEndOfLimit(t *testing.T) {
	f := newFleet(2)
	sender, other := f.limiters[0], f.limiters[1]
	sender.OnChange = other.Merge
	f.state(1)
	f.now = f.now.Add(time.Second)
	sender.Observe(target, throttle.Statement{}, true)
	f.now = f.now.Add(time.Second)
	other.Observe(target, throttle.Statement{Limited: true, PerSecond: 1}, false)
	if other.Wait(target) == 0 {
		t.Fatal("the later answer was ignored")
	}
	for range 30 {
		f.now = f.now.Add(time.Second)
		sender.Observe(target, throttle.Statement{}, true)
	}
	for n := range 20 {
		if !other.Take(target) {
			t.Fatalf("request %d refused half a minute after the end of the limit", n)
		}
	}
}

// TestTargetThatTakesNothingIsAskedAgain checks that a limit of zero lets a request
// pass now and then, since only its answer shows that the limit has ended.
func TestTargetThatTakesNothingIsAskedAgain(t *testing.T) {
	f := newFleet(9)
	f.state(0)
	f.run(time.Minute)
	if n := len(f.sent); n == 0 || f.mostInWindow() > extra {
		t.Errorf("%d requests in a minute, %d within %s", n, f.mostInWindow(), window)
	}
}
