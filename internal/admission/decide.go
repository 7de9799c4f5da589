package admission

import (
	"time"

	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

// Action is what becomes of a request.
type Action string

// The actions.
const (
	// Start sends the request to the chosen engine.
	Start Action = "start"
	// StartLast sends it there behind all others: it is late in any case.
	StartLast Action = "start_last"
	// Wait has it wait at this instance.
	Wait Action = "wait"
	// Refuse has its client come back.
	Refuse Action = "refuse"
)

// Cause is why a request does not start at once.
type Cause string

// The causes.
const (
	CauseNone Cause = "none"
	// CauseNoEngine means that no engine can take the request, whatever is free there.
	CauseNoEngine Cause = "no_engine"
	// CauseNoSlot means that no slot is free that callers of the rank may use.
	CauseNoSlot Cause = "no_slot"
	// CauseLate means that the request starts after its objective.
	CauseLate Cause = "late"
	// CauseDeadline means that the request cannot be served in the time that its client
	// waits.
	CauseDeadline Cause = "deadline"
	// CauseEarly means that the client came back sooner than it was told to.
	CauseEarly Cause = "early"
	// CauseLineFull means that too many requests of the team wait already.
	CauseLineFull Cause = "line_full"
)

// engineQueueShare is how many requests, as a part of its slots, an engine lets wait.
const engineQueueShare = 0.125

// Decision is what becomes of a request, and why.
type Decision struct {
	Action Action
	Cause  Cause
	// Choice is the engine to start on, as placement chose it.
	Choice placement.Choice
	// Start is the expected time until the first event.
	Start time.Duration
	// For is how long the request may wait before a new decision, Rank the line in which it
	// waits.
	For  time.Duration
	Rank inflight.Rank
	// RetryAfter is when a refused client may come back, before it is spread.
	RetryAfter time.Duration
}

// Starts reports whether the request is sent to the chosen engine now.
func (d *Decision) Starts() bool { return d.Action == Start || d.Action == StartLast }

// Decide decides what becomes of a request. The placement request and the candidates are
// those of the engines. The candidates are changed during the call only.
func Decide(r Request, f Fleet, wanted placement.Request, candidates []placement.Candidate) Decision {
	for i := range candidates {
		f.Slots += candidates[i].Slots
		f.Requests += candidates[i].Requests
	}
	choice, start, ok := choose(&r, &f, wanted, candidates)
	d := Decision{Action: Start, Cause: CauseNone, Choice: choice, Start: start}
	due := r.due()
	switch {
	case !ok:
		return d.postpone(&r, &f, CauseNoEngine, due)
	case choice.Full && !r.mayQueueAtEngine(&f, &candidates[choice.Index]):
		return d.postpone(&r, &f, CauseNoSlot, due-placement.PromptTime(r.PromptTokens))
	case choice.Full:
		d.Start += f.RunTime / time.Duration(max(candidates[choice.Index].Slots, 1))
	}
	switch {
	case r.Return == ReturnEarly && f.half() && d.Start > due:
		return d.refuse(&f, CauseEarly)
	case d.Start <= due:
		return d
	}
	return decideLate(r, &f, wanted, candidates)
}

// decideLate decides what becomes of a request that starts after its objective on each
// engine: it goes behind all others, which it leaves their slots.
func decideLate(r Request, f *Fleet, wanted placement.Request, candidates []placement.Candidate) Decision {
	r.Rank = inflight.Ranks - 1
	choice, start, ok := choose(&r, f, wanted, candidates)
	d := Decision{Action: StartLast, Cause: CauseLate, Choice: choice, Start: start}
	switch {
	case ok && start > r.latest(f.RunTime) && f.half():
		return d.refuse(f, CauseDeadline)
	case !ok || choice.Full && !r.mayQueueAtEngine(f, &candidates[choice.Index]):
		return d.postpone(&r, f, CauseLate, 0)
	}
	return d
}

// choose returns the engine with a slot that the request may use and on which it starts
// soonest, and the time until then. No adapter is loaded elsewhere just because slots are
// left to others.
func choose(r *Request, f *Fleet, wanted placement.Request, candidates []placement.Candidate) (placement.Choice, time.Duration, bool) {
	v := newView(r, f, candidates)
	defer v.restore()
	choice, ok := placement.Choose(wanted, candidates)
	if !ok {
		return choice, 0, false
	}
	if v.closed && choice.NeedsLoad {
		v.open()
		if freely, _ := placement.Choose(wanted, candidates); !freely.NeedsLoad {
			choice = freely.Closed()
		}
	}
	return choice, choice.StartTime(wanted, candidates), true
}

// mayQueueAtEngine reports whether the request may be sent to an engine that is full: no
// caller is more urgent, so that the next slot is its own, and the engine lets it wait.
func (r *Request) mayQueueAtEngine(f *Fleet, c *placement.Candidate) bool {
	if c.Slots == 0 {
		return false
	}
	if !f.half() {
		return true
	}
	first := f.Shares.Above(r.Rank) == 0 || r.Return == ReturnDue
	return first && r.Return != ReturnEarly && float64(c.Requests) < (1+engineQueueShare)*float64(c.Slots)
}

// postpone has the request wait for room: in the line of its rank if room is expected within
// slack, else behind all others if it is in time to be served at all. Otherwise it refuses it.
func (d Decision) postpone(r *Request, f *Fleet, cause Cause, slack time.Duration) Decision {
	latest := r.latest(f.RunTime)
	d.Action, d.Cause, d.Rank, d.For = Wait, cause, r.Rank, min(slack, latest)
	switch {
	case r.Return == ReturnEarly && f.half():
		return d.refuse(f, CauseEarly)
	case latest <= 0:
		return d.refuse(f, CauseDeadline)
	case f.roomTime(f.Ahead+1) <= d.For:
		return d
	case f.roomTime(f.Waiting+1)+d.Start > latest && f.half():
		return d.refuse(f, cause)
	}
	d.Rank, d.For = inflight.Ranks-1, latest
	return d
}

// refuse refuses the request until the requests in front of it have room.
func (d Decision) refuse(f *Fleet, cause Cause) Decision {
	d.Action, d.Cause = Refuse, cause
	d.RetryAfter = f.roomTime(f.Ahead+f.Returning+1) + d.Start/2
	return d
}
