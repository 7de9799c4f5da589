package quota_test

import (
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/quota"
)

// tickInterval is the time between two calls of Tick.
const tickInterval = 50 * time.Millisecond

// busyInstances is the number of instances of newBusyFleet.
const busyInstances = 9

// newBusyFleet returns a fleet whose instances have served a team at a multiple of its rate.
func newBusyFleet(demand float64) *fleet {
	f := newFleet(busyInstances)
	for _, m := range f.meters {
		m.Prepare([]*deployment.Team{testTeam})
	}
	f.now = f.now.Add(time.Second)
	f.tick(-1)
	for range 20 {
		f.serveExcept(-1, demand)
	}
	return f
}

// tick calls Tick of all instances but one.
func (f *fleet) tick(except int) {
	for i, m := range f.meters {
		if i != except {
			m.Tick()
		}
	}
}

// serveExcept sends requests through all instances but one for an exchange interval, and has
// these exchange reports.
func (f *fleet) serveExcept(except int, demand float64) {
	const cost = 1500.0
	requests := int(demand * testTeam.RatePerSecond * exchangeInterval.Seconds() / cost)
	nextTick := f.now.Add(tickInterval)
	for n := range requests {
		f.now = f.now.Add(exchangeInterval / time.Duration(requests))
		if !f.now.Before(nextTick) {
			f.tick(except)
			nextTick = f.now.Add(tickInterval)
		}
		i := n % len(f.meters)
		if i == except {
			i = (i + 1) % len(f.meters)
		}
		if ok, _ := f.meters[i].Admit(testTeam, quota.Request{Cost: cost}); ok {
			f.admitted = append(f.admitted, admission{at: f.now, tokens: cost})
		}
	}
	for i := range f.meters {
		if i != except {
			f.publish(i)
		}
	}
}

// pause has an instance stand still while the others serve; reports to it come later.
func (f *fleet) pause(i int, span time.Duration, demand float64) {
	f.partitioned[i] = true
	for end := f.now.Add(span); f.now.Before(end); {
		f.serveExcept(i, demand)
	}
	f.partitioned[i] = false
}

// checkServes sends requests of a team that is within its rate through one instance for some
// seconds, and fails the test if more than a tenth are refused.
func (f *fleet) checkServes(t *testing.T, i int) {
	t.Helper()
	refused, sent := 0, 0
	for range 10 {
		for range 8 {
			f.now = f.now.Add(exchangeInterval / 8)
			f.tick(-1)
			sent++
			if ok, _ := f.meters[i].Admit(testTeam, quota.Request{Cost: 1500}); !ok {
				refused++
			}
		}
		f.exchange()
	}
	if refused*10 > sent {
		t.Errorf("%d of %d requests refused, level %.0f", refused, sent, f.meters[i].Level(testTeam))
	}
}

// TestInstanceThatStoodStillRefusesNoTeamWithinItsRate guards against an instance that, after it
// stood still, has a team pay once more for what the others admitted meanwhile, out of an
// allowance that did not grow beyond its bound in that time, and refuses it for seconds (LOST).
func TestInstanceThatStoodStillRefusesNoTeamWithinItsRate(t *testing.T) {
	t.Parallel()
	for _, span := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		f := newBusyFleet(0.8)
		f.pause(4, span, 0.8)
		// A request that waited is served before the reports arrive.
		f.meters[4].Admit(testTeam, quota.Request{Cost: 1500})
		f.exchange()
		f.checkServes(t, 4)
	}
}

// TestInstanceThatWasAloneRefusesNoTeamWithinItsRate guards against the same at an instance that
// was cut off from all others, and admitted no more than its part meanwhile.
func TestInstanceThatWasAloneRefusesNoTeamWithinItsRate(t *testing.T) {
	t.Parallel()
	f := newBusyFleet(0.8)
	f.partitioned[4] = true
	for range 10 {
		f.serveExcept(-1, 0.8)
	}
	f.partitioned[4] = false
	f.exchange()
	f.checkServes(t, 4)
}

// TestTeamStaysWithinItsAllowanceBesidePauses sends several times a team's rate while instances
// stand still, one after the other or together.
func TestTeamStaysWithinItsAllowanceBesidePauses(t *testing.T) {
	t.Parallel()
	limit := testTeam.RatePerSecond*testWindow.Seconds() + testTeam.Burst
	for _, demand := range []float64{0.9, 1.5, 4} {
		f := newBusyFleet(demand)
		for n := range 12 {
			f.pause(n%3, time.Duration(1+n%4)*time.Second, demand)
			f.exchange()
			for range 2 {
				f.serveExcept(-1, demand)
			}
		}
		if most := f.maxWindowTokens(); most > limit*(1+overshoot)+slack {
			t.Errorf("demand %.1f: %.0f tokens admitted in a window, limit is %.0f", demand, most, limit)
		}
	}
}

// TestTeamStaysWithinItsAllowanceBesideLateTicks guards against an allowance that counts twice,
// as used here and as left to others, at instances that serve while their ticks are late.
func TestTeamStaysWithinItsAllowanceBesideLateTicks(t *testing.T) {
	t.Parallel()
	limit := testTeam.RatePerSecond*testWindow.Seconds() + testTeam.Burst
	for _, demand := range []float64{0.9, 1.5, 4} {
		f := newBusyFleet(demand)
		nextTick := f.now.Add(pauseBetweenTicks)
		for range 100 {
			f.run(exchangeInterval, demand)
			f.exchange()
			if !f.now.Before(nextTick) {
				f.tick(-1)
				nextTick = f.now.Add(pauseBetweenTicks)
			}
		}
		if most := f.maxWindowTokens(); most > limit*(1+overshoot)+slack {
			t.Errorf("demand %.1f: %.0f tokens admitted in a window, limit is %.0f", demand, most, limit)
		}
	}
}

// pauseBetweenTicks is a time between two ticks after which an instance counts as paused.
const pauseBetweenTicks = 1300 * time.Millisecond
