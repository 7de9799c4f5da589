package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/speed"
)

// fleet is a service of targets that take given times as long as usual, seen by one
// instance on a clock of its own.
type fleet struct {
	*testing.T
	book    *speed.Book
	now     time.Time
	targets []deployment.Target
	factors []float64
	random  *rand.Rand
}

func newFleet(t *testing.T, factors ...float64) *fleet {
	f := &fleet{T: t, now: time.Unix(1000, 0), factors: factors, random: rand.New(rand.NewPCG(1, 2))}
	f.book = &speed.Book{Now: func() time.Time { return f.now }}
	for i := range factors {
		f.targets = append(f.targets, deployment.Target{ID: deployment.TargetID(fmt.Sprint("engine-", i)), Service: "models", Generation: 1})
	}
	return f
}

// run lets each target send events for a time: so many samples a second of 33 ms each, with
// noise of a third.
func (f *fleet) run(perSecond float64, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for i, t := range f.targets {
			if f.random.Float64() < perSecond/20 {
				took := 33 * f.factors[i] * math.Exp(f.random.NormFloat64()/3)
				f.book.Observe(t, speed.Event, eventLoad, time.Duration(took*float64(time.Millisecond)))
			}
		}
	}
}

func (f *fleet) factor(i int) float64 { return f.book.View("models").Of(&f.targets[i]).Factor() }

func (f *fleet) wantFactor(i int, least, most float64) {
	f.Helper()
	if got := f.factor(i); got < least || got > most {
		f.Errorf("target %d counts as %.2f times as slow as usual, want %.2f to %.2f", i, got, least, most)
	}
}

var eventLoad = speed.Load{Nominal: time.Second, Requests: 10}

// alike returns the factors of n targets that are alike.
func alike(n int) []float64 {
	factors := make([]float64, n)
	for i := range factors {
		factors[i] = 1
	}
	return factors
}

// TestTargetsThatAreAlikeCountAsAlike covers the noise of answers at 12 equal targets, with
// few and with many samples: nobody is preferred for it.
func TestTargetsThatAreAlikeCountAsAlike(t *testing.T) {
	for _, perSecond := range []float64{0.5, 5, 30} {
		f := newFleet(t, alike(12)...)
		f.run(perSecond, 10*time.Second)
		different := 0
		for range 100 {
			f.run(perSecond, 200*time.Millisecond)
			for i := range f.targets {
				if f.factor(i) != 1 {
					different++
				}
			}
		}
		if different > 100*12/20 {
			t.Errorf("%.1f samples a second: a target differs in %d of %d looks", perSecond, different, 100*12)
		}
	}
}

// TestThreeSpeedsAreLearned covers targets of three makes, of which an instance sees a few
// samples a second each.
func TestThreeSpeedsAreLearned(t *testing.T) {
	f := newFleet(t, 0.6, 0.6, 1, 1, 1, 1.6, 1.6)
	f.run(3, 10*time.Second)
	for i, factor := range f.factors {
		f.wantFactor(i, factor*0.8, factor*1.25)
	}
}

// TestSlowMomentShowsAndIsForgotten covers one target that is five times slower for 6 s,
// with the samples that a whole fleet has: it shows within 2 s and is over 2 s after its end.
func TestSlowMomentShowsAndIsForgotten(t *testing.T) {
	f := newFleet(t, alike(9)...)
	f.run(20, 10*time.Second)
	f.factors[4] = 5
	f.run(20, 1500*time.Millisecond)
	f.wantFactor(4, 2.5, 6)
	f.run(20, 4500*time.Millisecond)
	f.wantFactor(4, 3.5, 6)
	f.factors[4] = 1
	f.run(20, 3*time.Second)
	f.wantFactor(4, 0.8, 1.5)
	f.run(20, 20*time.Second)
	f.wantFactor(4, 0.8, 1.2)
}

// TestSlowMomentWithoutSamplesIsForgotten covers a slow target that then gets no more
// requests: it is tried again seconds later.
func TestSlowMomentWithoutSamplesIsForgotten(t *testing.T) {
	f := newFleet(t, alike(9)...)
	f.run(20, 10*time.Second)
	f.factors[4] = 8
	f.run(20, 2*time.Second)
	f.wantFactor(4, 4, 9)
	f.now = f.now.Add(6 * time.Second)
	f.wantFactor(4, 0.8, 1.5)
}

// TestGarbledSampleMovesNothingFar covers single answers that seem to have come at once, or
// to have taken a minute, at a target with few samples and at one with many.
func TestGarbledSampleMovesNothingFar(t *testing.T) {
	for _, perSecond := range []float64{0.5, 20} {
		for _, took := range []time.Duration{time.Microsecond, time.Minute} {
			f := newFleet(t, alike(5)...)
			f.run(perSecond, 10*time.Second)
			f.book.Observe(f.targets[2], speed.Event, eventLoad, took)
			f.now = f.now.Add(200 * time.Millisecond)
			for i := range f.targets {
				f.wantFactor(i, 0.8, 1.25)
			}
		}
	}
}

// TestRestartedTargetIsForgotten covers a slow target that is replaced under its id.
func TestRestartedTargetIsForgotten(t *testing.T) {
	f := newFleet(t, 1, 1, 1, 3)
	f.run(5, 10*time.Second)
	f.wantFactor(3, 2.2, 4)
	f.targets[3].Generation++
	f.wantFactor(3, 1, 1)
	listed := map[deployment.TargetID]deployment.Target{}
	for _, target := range f.targets {
		listed[target.ID] = target
	}
	f.book.Retain(listed)
	if n := len(f.book.View("models").Targets()); n > 4 {
		t.Errorf("%d targets are known", n)
	}
}

// TestUsualTimesFollowTheLoad covers targets whose events take longer the more requests are
// in flight: that is usual, and no target counts as slow for its load.
func TestUsualTimesFollowTheLoad(t *testing.T) {
	f := newFleet(t, alike(6)...)
	for range 4000 {
		f.now = f.now.Add(5 * time.Millisecond)
		i := f.random.IntN(6)
		requests := 2 + 5*i + f.random.IntN(16)
		took := time.Duration((20 + 1.5*float64(requests)) * float64(time.Millisecond))
		f.book.Observe(f.targets[i], speed.Event, speed.Load{Nominal: time.Second, Requests: requests}, took)
	}
	for i := range f.targets {
		f.wantFactor(i, 0.8, 1.25)
	}
	for _, requests := range []int{5, 30} {
		usual, ok := f.book.View("models").Usual(speed.Event, speed.Load{Nominal: time.Second, Requests: requests})
		if want := 20 + 1.5*float64(requests); !ok || usual.Seconds()*1000 < want*0.75 || usual.Seconds()*1000 > want*1.33 {
			t.Errorf("with %d requests events are expected every %s, they come every %.0f ms", requests, usual, want)
		}
	}
}

// TestOnlyTargetsOfUnlikeMakeAreWeighed guards against load that moves between engines of one
// make by what their load does to their answers, also while one of them is slow for a moment.
func TestOnlyTargetsOfUnlikeMakeAreWeighed(t *testing.T) {
	for name, c := range map[string]struct {
		factors []float64
		want    bool
	}{
		"alike":               {alike(20), false},
		"one of twenty slow":  {append(alike(19), 4), false},
		"slightly unlike":     {[]float64{1, 1, 1, 1, 1, 1, 1, 1, 1.3, 1.3, 1.3, 1.3}, false},
		"three speeds":        {[]float64{0.6, 0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6, 1.6}, true},
		"nothing known of it": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, c.factors...)
			f.run(3, 12*time.Second)
			if got := f.book.View("models").Unlike(); got != c.want {
				t.Errorf("unlike: %v, want %v", got, c.want)
			}
		})
	}
}
