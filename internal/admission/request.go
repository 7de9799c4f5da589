// Package admission decides what becomes of a request that competes with others for the
// slots and the KV cache of engines: it starts now, waits at this instance, or is refused
// and told when to come back. The code is pure; times are passed in.
package admission

import (
	"time"

	"heatherrelay/internal/inflight"
)

// Request is what a decision is made about.
type Request struct {
	Rank inflight.Rank
	// Age is the time since the request arrived.
	Age time.Duration
	// Objective is the time from the arrival to the first event that is wanted, Patience
	// the one after which clients disconnect. Zero is unknown.
	Objective, Patience time.Duration
	// GapObjective is the longest pause between two events that is wanted of the streams
	// beside which the request would run; zero is unknown.
	GapObjective time.Duration
	// Remaining is the time left until the deadline.
	Remaining    time.Duration
	PromptTokens int
	Return       Return
}

// due returns the time left in which the first event is wanted.
func (r *Request) due() time.Duration {
	if r.Objective <= 0 {
		return r.latest(0)
	}
	return r.Objective - r.Age
}

// latest returns the time left in which the request must start to be served at all, if it
// then runs for runTime.
func (r *Request) latest(runTime time.Duration) time.Duration {
	latest := r.Remaining - min(runTime, r.Remaining/2)
	if r.Patience > 0 {
		latest = min(latest, r.Patience-r.Age)
	}
	return latest
}

// Fleet is what is known of all callers and of the engines of a service.
type Fleet struct {
	// Instances is the number of instances that send to the engines, Lag the age of what
	// is known of the others.
	Instances int
	Lag       time.Duration
	// RunTime is how long a request holds a slot.
	RunTime time.Duration
	// Shares are the parts of the ranks in what callers ask for.
	Shares Shares
	// Ahead is how many requests that are as urgent or more wait at this instance, Waiting
	// how many of all ranks.
	Ahead, Waiting int
	// Returning is how many requests of the rank that this instance refused are due back.
	Returning int
	// Slots and Requests are those of all engines that may be chosen.
	Slots, Requests int
}

// half reports whether at least half of the slots are taken.
func (f *Fleet) half() bool { return 2*f.Requests >= f.Slots }

// roomTime returns the time in which the engines free as many slots as requests need,
// this instance's part of them.
func (f *Fleet) roomTime(requests int) time.Duration {
	if f.Slots == 0 {
		return f.RunTime
	}
	return time.Duration(float64(requests*max(f.Instances, 1)) / float64(f.Slots) * float64(f.RunTime))
}
