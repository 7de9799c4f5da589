package publication

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/pkg/release"
)

// The bounds of what a replica keeps.
const (
	// DefaultRecentNotes are kept for peers that are a little behind.
	DefaultRecentNotes = 1000
	// maxPendingNotes bounds the notes kept until the ones before them come.
	maxPendingNotes = 1000
)

// Replica is an instance's copy of the state of releases. Its number only
// rises, by one with each note, or over many at once with a snapshot; so what
// is in force never reverts. It is safe for concurrent use, and the zero value
// is the empty state.
type Replica struct {
	// RecentNotes bounds the notes kept for peers, up to twice; zero is
	// DefaultRecentNotes. A peer that is further behind is given a snapshot.
	RecentNotes int

	state atomic.Pointer[release.State]

	mu sync.Mutex
	// pending holds notes that came before their time, by number.
	pending map[uint64]Stored
	// recent holds the last notes applied, without gaps, up to the state's number.
	recent    []Stored
	confirmed time.Time
}

// State returns the state in force on this instance.
func (r *Replica) State() *release.State {
	if s := r.state.Load(); s != nil {
		return s
	}
	return &release.State{}
}

// Offer takes notes in any order, applies those that are next, keeps those that
// come too early, and ignores the rest. It returns how many were applied.
func (r *Replica) Offer(notes []Stored) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.State()
	for _, s := range notes {
		r.keep(s, state.Number)
	}
	builder, applied := state.Builder(), 0
	for {
		next := builder.Number() + 1
		s, ok := r.pending[next]
		if !ok {
			break
		}
		if err := builder.Apply(next, s.Note); err != nil {
			break
		}
		delete(r.pending, next)
		r.recent = append(r.recent, s)
		applied++
	}
	if applied > 0 {
		r.trim()
		r.state.Store(builder.State())
	}
	return applied
}

// keep puts a note aside unless it is old or too far ahead to be of use.
func (r *Replica) keep(s Stored, number uint64) {
	if s.Number <= number || s.Number > number+maxPendingNotes {
		return
	}
	if r.pending == nil {
		r.pending = map[uint64]Stored{}
	}
	r.pending[s.Number] = s
}

// trim bounds recent. It copies now and then, so that dropped notes are freed.
func (r *Replica) trim() {
	bound := cmp.Or(r.RecentNotes, DefaultRecentNotes)
	if len(r.recent) > 2*bound {
		r.recent = slices.Clone(r.recent[len(r.recent)-bound:])
	}
}

// Adopt replaces the state by a later one and reports whether it did.
func (r *Replica) Adopt(state *release.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Number <= r.State().Number {
		return false
	}
	for number := range r.pending {
		if number <= state.Number {
			delete(r.pending, number)
		}
	}
	r.recent = nil
	r.state.Store(state)
	return true
}

// Gap reports whether notes are waiting for one that has not come.
func (r *Replica) Gap() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0
}

// Confirm notes that all notes accepted before at are in force here.
func (r *Replica) Confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

// ConfirmedAt returns the last time for which it is known that all notes
// accepted before it are in force here; the zero time if there is none.
func (r *Replica) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// After returns the kept notes after a number, or false when they do not reach
// back that far.
func (r *Replica) After(number uint64) ([]Stored, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.State().Number
	if number >= latest {
		return nil, true
	}
	missing := latest - number
	if missing > uint64(len(r.recent)) {
		return nil, false
	}
	return slices.Clone(r.recent[uint64(len(r.recent))-missing:]), true
}
