package admission

import (
	"math"

	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

const (
	// headroomShare is the part of an engine's slots that is left to more urgent callers
	// if all others are more urgent; it is in proportion to their part of the demand.
	headroomShare = 0.25
	// guaranteedShare is the part of an engine's slots that each rank may take, however
	// much the more urgent ones ask for.
	guaranteedShare = 0.125
	// reserveShare bounds the part of an engine's slots that is kept for requests that are
	// not known yet, and the part for those that are due back.
	reserveShare = 0.125
)

// view changes candidates to what they are for a request, until restore: what is in front of
// it, with its own prompt, and the slots that it may use.
type view struct {
	candidates []placement.Candidate
	original   []original
	// closed is set if slots of some candidate are left to others.
	closed bool
}

// original is what a view changes of a candidate.
type original struct{ slots, waitingTokens int }

func newView(r *Request, f *Fleet, candidates []placement.Candidate) *view {
	v := &view{candidates: candidates, original: make([]original, len(candidates))}
	part := rankPart{above: f.Shares.Above(r.Rank), upTo: f.Shares.UpTo(r.Rank)}
	for i := range candidates {
		c := &candidates[i]
		v.original[i] = original{c.Slots, c.WaitingTokens}
		if c.Slots > 0 {
			limit := slotLimit(r, f, c, part)
			v.closed = v.closed || c.Requests >= limit && c.Requests < c.Slots
			c.Slots = limit
		}
		c.WaitingTokens = inFront(r, &c.Use, part.upTo) + max(r.PromptTokens-c.CachedTokens, 0)
	}
	return v
}

// open lets the request use all slots.
func (v *view) open() {
	for i := range v.candidates {
		v.candidates[i].Slots = v.original[i].slots
	}
}

func (v *view) restore() {
	v.open()
	for i := range v.candidates {
		v.candidates[i].WaitingTokens = v.original[i].waitingTokens
	}
}

// rankPart is the part of the more urgent ranks in the demand, and the part of these and the
// rank itself.
type rankPart struct{ above, upTo float64 }

// inFront returns the waiting prompt tokens that an engine reads before those of the
// request: those of equal or more urgent requests, and what it has begun to read of others.
func inFront(r *Request, use *inflight.Use, upTo float64) int {
	urgent, unknown := use.UpTo(r.Rank)
	front := urgent.WaitingTokens + int(upTo*float64(unknown.WaitingTokens))
	behind := use.WaitingTokens - front
	return front + max(min(behind, r.PromptTokens), 0)
}

// slotLimit returns how many slots of an engine the request may use.
func slotLimit(r *Request, f *Fleet, c *placement.Candidate, part rankPart) int {
	slots := float64(c.Slots)
	usable := max(int(slots-unseen(f, c)), 1)
	if r.Return == ReturnDue {
		return usable
	}
	usable = max(usable-int(returning(f, c)), 1)
	if part.above == 0 || guaranteed(r, c, part) {
		return usable
	}
	if r.GapObjective > 0 && placement.PromptTime(c.WaitingTokens) > r.GapObjective {
		// A further prompt would be read between the events of the streams that run.
		return max(min(usable, c.Requests), 1)
	}
	return max(usable-int(slots*headroomShare*part.above), 1)
}

// guaranteed reports whether the rank of the request has less than its share of the engine.
func guaranteed(r *Request, c *placement.Candidate, part rankPart) bool {
	upTo, unknown := c.UpTo(r.Rank)
	above := inflight.RankUse{}
	if r.Rank > 0 {
		above, _ = c.UpTo(r.Rank - 1)
	}
	own := float64(upTo.Requests-above.Requests) + (part.upTo-part.above)*float64(unknown.Requests)
	return own < guaranteedShare*float64(c.Slots)
}

// unseen returns how many slots may have been taken by requests of other instances that are
// not known here yet: as many as usually vary in the time that the news takes.
func unseen(f *Fleet, c *placement.Candidate) float64 {
	if f.Instances <= 1 || f.RunTime <= 0 {
		return 0
	}
	others := 1 - 1/float64(f.Instances)
	started := float64(c.Requests) * others * min(f.Lag.Seconds()/f.RunTime.Seconds(), 1)
	return min(math.Sqrt(started), reserveShare*float64(c.Slots))
}

// returning returns how many slots are left to requests that were refused and are due back,
// if all instances refused as many.
func returning(f *Fleet, c *placement.Candidate) float64 {
	if f.Slots == 0 {
		return 0
	}
	slots := float64(c.Slots)
	return min(float64(f.Returning*max(f.Instances, 1))*slots/float64(f.Slots), reserveShare*slots)
}
