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

// brittleFleet is a number of instances before a brittle target that rejects everything.
type brittleFleet struct {
	now      time.Time
	members  []string
	limiters []*throttle.Limiter
	rejected []time.Time
}

func newBrittleFleet(size int) *brittleFleet {
	f := &brittleFleet{now: time.Unix(1_000_000, 0)}
	for n := range size {
		f.members = append(f.members, fmt.Sprint("instance-", n))
		f.limiters = append(f.limiters, f.newLimiter(n, f.now.Add(-time.Minute)))
	}
	return f
}

func (f *brittleFleet) newLimiter(n int, startedAt time.Time) *throttle.Limiter {
	return &throttle.Limiter{
		Self: f.members[n], StartedAt: startedAt, Members: func() []string { return f.members },
		Now: func() time.Time { return f.now }, Log: zap.NewNop(),
	}
}

// state has an instance learn that the target is brittle.
func (f *brittleFleet) state(n, rejections int) {
	f.limiters[n].Observe(brittleTarget, throttle.Statement{Brittle: true, Rejections: rejections}, false)
}

var brittleTarget = deployment.Target{ID: "plain-1", Service: "ledger", Generation: 1}

// send has an instance send a request if it may, which the target rejects.
func (f *brittleFleet) send(n int) {
	if a, ok := f.limiters[n].Risk(brittleTarget); ok {
		f.rejected = append(f.rejected, f.now)
		a.Settle(true)
	}
}

// mostInSecond returns the largest number of rejections within a second.
func (f *brittleFleet) mostInSecond() int {
	most := 0
	for i, first := range f.rejected {
		end, _ := slices.BinarySearchFunc(f.rejected, first.Add(time.Second), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// TestFleetStaysWithinRejections guards against instances that together have a brittle
// target reject more in a second than it bears, each of them within its part, and against
// instances that start again and begin anew; and checks that the fleet uses what the
// target bears.
func TestFleetStaysWithinRejections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, rejections := rapid.SampledFrom([]int{1, 2, 9, 30}).Draw(t, "instances"), rapid.IntRange(0, 20).Draw(t, "rejections")
		f := newBrittleFleet(size)
		for n := range size {
			f.state(n, rejections)
		}
		for range 400 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, size-1).Draw(t, "instance")
			if rapid.IntRange(0, 99).Draw(t, "restart") == 0 {
				f.limiters[n] = f.newLimiter(n, f.now)
				f.state(n, rejections)
			}
			f.send(n)
		}
		if most := f.mostInSecond(); most > rejections {
			t.Fatalf("%d rejections in a second of %d instances, the target bears %d", most, size, rejections)
		}
	})
	f := newBrittleFleet(9)
	for n := range 9 {
		f.state(n, 5)
	}
	for range 1000 {
		f.now = f.now.Add(5 * time.Millisecond)
		for n := range 9 {
			f.send(n)
		}
	}
	if len(f.rejected) < 5*4 {
		t.Errorf("%d rejections were risked in five seconds, the target bears five a second", len(f.rejected))
	}
}

// TestTokenReturnsUnlessRejected guards against a target that is no longer used because
// its tokens are lost with requests that it accepts, or that wait in its queue.
func TestTokenReturnsUnlessRejected(t *testing.T) {
	f := newBrittleFleet(1)
	f.state(0, 1)
	a, ok := f.limiters[0].Risk(brittleTarget)
	if _, second := f.limiters[0].Risk(brittleTarget); !ok || second {
		t.Fatalf("first %t, second %t with one token", ok, second)
	}
	a.Settle(false)
	b, ok := f.limiters[0].Risk(brittleTarget)
	if !ok {
		t.Fatal("the token did not return with the answer")
	}
	time.Sleep(200 * time.Millisecond)
	c, ok := f.limiters[0].Risk(brittleTarget)
	if !ok {
		t.Fatal("the token of a request that waits did not return")
	}
	c.Settle(false)
	b.Settle(true)
	if _, ok := f.limiters[0].Risk(brittleTarget); ok {
		t.Error("a late rejection was not counted")
	}
}

// TestNewTargetIsAsBrittleAsItsService guards against pushing over a target that has started
// again and has not answered yet, and against going on so when the others say otherwise.
func TestNewTargetIsAsBrittleAsItsService(t *testing.T) {
	f := newBrittleFleet(2)
	f.state(0, 1)
	again := deployment.Target{ID: "plain-2", Service: "ledger", Generation: 7}
	taken := 0
	for range 5 {
		if _, ok := f.limiters[0].Risk(again); ok {
			taken++
		}
	}
	if taken > 1 {
		t.Errorf("%d requests at risk at a target that bears one rejection", taken)
	}
	other := deployment.Target{ID: "engine-1", Service: "models", Generation: 1}
	for range 5 {
		if _, ok := f.limiters[0].Risk(other); !ok {
			t.Error("a target of another service counts as brittle")
		}
	}
	f.now = f.now.Add(time.Second)
	f.limiters[0].Observe(brittleTarget, throttle.Statement{}, true)
	for range 5 {
		if _, ok := f.limiters[0].Risk(again); !ok {
			t.Error("still brittle after the statement has ended")
		}
	}
}
