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

// coldLimit is what a cold target of the test bears: 6.7 requests a second, and 15 in any one
// second.
var coldLimit = throttle.ColdLimit{PerSecond: 6.7, Most: 6.7*1.5 + 5}

// newColdFleet returns a fleet to which all targets are cold.
func newColdFleet(size int, limit throttle.ColdLimit) *testFleet {
	f := newFleet(size)
	for _, l := range f.limiters {
		l.Cold = func(deployment.Target) (throttle.ColdLimit, bool) { return limit, true }
	}
	return f
}

// mostInSecond returns the largest number of requests sent within a second, both ends included.
func mostInSecond(sent []time.Time) int {
	most := 0
	for i, first := range sent {
		end, _ := slices.BinarySearchFunc(sent, first.Add(time.Second+1), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// cutOff has the instances from index first on and those before it not know each other.
func (f *testFleet) cutOff(first int) {
	all := f.members[0]
	for i := range f.members {
		f.members[i] = all[:first]
		if i >= first {
			f.members[i] = all[first:]
		}
	}
}

// TestColdZoneIsRampedUp checks, for fleets of all sizes that are in use, that all instances
// together stay within what each target of a cold zone bears, whatever they have to send, and
// that they use most of it.
func TestColdZoneIsRampedUp(t *testing.T) {
	const targets, seconds = 5, 6
	for _, size := range []int{1, 2, 9, 73, 300} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			for n := range targets {
				f := newColdFleet(size, coldLimit)
				engine := deployment.Target{ID: deployment.TargetID(fmt.Sprint("cold-", n)), Generation: 1}
				for end := f.now.Add(seconds * time.Second); f.now.Before(end); f.now = f.now.Add(step) {
					for _, l := range f.limiters {
						for l.Take(engine) {
							f.sent = append(f.sent, f.now)
						}
					}
				}
				if most := mostInSecond(f.sent); float64(most) > coldLimit.Most {
					t.Errorf("%d requests in a second, %g are allowed", most, coldLimit.Most)
				}
				if least := int(0.6 * coldLimit.PerSecond * seconds); len(f.sent) < least {
					t.Errorf("%d requests in %d s, although the target bears %g a second", len(f.sent), seconds, coldLimit.PerSecond)
				}
			}
		})
	}
}

// TestColdTargetWhenAThirdIsCutOff guards against too many requests at a cold target from two
// groups of instances that have forgotten each other, before, during and after the cut.
func TestColdTargetWhenAThirdIsCutOff(t *testing.T) {
	for _, size := range []int{3, 9, 73, 300} {
		f := newColdFleet(size, coldLimit)
		all := f.members[0]
		f.run(3 * time.Second)
		f.cutOff(size - size/3)
		f.run(5 * time.Second)
		for i := range f.members {
			f.members[i] = all
		}
		f.run(3 * time.Second)
		if most := mostInSecond(f.sent); float64(most) > coldLimit.Most {
			t.Errorf("%d instances: %d requests in a second, %g are allowed", size, most, coldLimit.Most)
		}
	}
}

// TestFleetStaysWithinColdLimit guards against more requests than a cold target bears from a
// fleet of any size and for any limit, when an instance starts again and two groups forget
// each other.
func TestFleetStaysWithinColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 40).Draw(t, "limit")
		limit := throttle.ColdLimit{PerSecond: perSecond, Most: perSecond*rapid.Float64Range(1, 2).Draw(t, "over") + 5}
		f := newColdFleet(rapid.IntRange(1, 84).Draw(t, "instances"), limit)
		f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "quiet ms")) * time.Millisecond)
		again := rapid.IntRange(0, len(f.limiters)-1).Draw(t, "starts again")
		cold := f.limiters[again].Cold
		f.limiters[again] = f.newLimiter(again)
		f.limiters[again].Cold, f.limiters[again].StartedAt = cold, f.now
		f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "before the cut ms")) * time.Millisecond)
		if len(f.limiters) > 1 {
			f.cutOff(rapid.IntRange(1, len(f.limiters)-1).Draw(t, "cut off from"))
		}
		f.run(3 * time.Second)
		if most := mostInSecond(f.sent); float64(most) > limit.Most {
			t.Fatalf("%d requests in a second, %g are allowed", most, limit.Most)
		}
	})
}

// TestStartedInstanceWaitsBeforeColdTargets checks that an instance that has just started,
// and may not know all others yet, says when it may send to a cold target, and that one which
// is not among the senders leaves it to the others.
func TestStartedInstanceWaitsBeforeColdTargets(t *testing.T) {
	f := newColdFleet(20, coldLimit)
	senders := 0
	for _, l := range f.limiters {
		l.StartedAt = f.now
		switch wait := l.Wait(target); {
		case wait == throttle.OthersOnly:
		case wait < time.Second || wait > 2*time.Second:
			t.Errorf("wait %s right after the start", wait)
		default:
			senders++
		}
	}
	if senders == 0 || float64(2*senders) > coldLimit.Most {
		t.Errorf("%d senders", senders)
	}
	f.now = f.now.Add(1400 * time.Millisecond)
	for _, l := range f.limiters {
		if l.Take(target) {
			t.Error("a request 1.4 s after the start")
		}
	}
}

// TestWarmTargetIsNotLimited checks that a target is sent any number once it is warm, and
// that a stated limit holds beside that of a cold target.
func TestWarmTargetIsNotLimited(t *testing.T) {
	now, isCold := start, true
	l := &throttle.Limiter{
		Self: "a", Members: func() []string { return []string{"a"} }, Now: func() time.Time { return now }, Log: zap.NewNop(),
		Cold: func(deployment.Target) (throttle.ColdLimit, bool) { return coldLimit, isCold },
	}
	if l.Take(target) {
		t.Error("a request as soon as the target turned cold")
	}
	now = now.Add(time.Second)
	if !l.Take(target) || l.Take(target) {
		t.Error("not one request after a second")
	}
	isCold = false
	for range 30 {
		if !l.Take(target) {
			t.Fatal("a warm target is limited")
		}
	}
	l.Observe(target, throttle.Statement{Limited: true, PerSecond: 1}, true)
	if l.Take(target) {
		t.Error("a request beyond the limit that the target states")
	}
}
