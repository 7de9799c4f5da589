package publication

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/pkg/release"
)

// The bounds of the notes that a replica keeps.
const (
	// DefaultRecentNotes is the number of applied notes kept for peers that are
	// slightly behind.
	DefaultRecentNotes = 1000
	// maxPendingNotes bounds how far ahead of the state a note may be to be kept
	// until the notes before it arrive.
	maxPendingNotes = 1000
)

// Replica is an instance's replicated state of the releases. Its number only
// rises, by one with each note or by more with a snapshot, so what is in force
// never reverts. It is safe for concurrent use, and the zero value is the empty
// state.
type Replica struct {
	// RecentNotes bounds the applied notes kept for peers; up to twice as many
	// are held before they are trimmed, and zero means DefaultRecentNotes. A peer
	// that is further behind receives a snapshot.
	RecentNotes int

	state atomic.Pointer[release.State]

	mu sync.Mutex
	// pending holds notes that arrived before the ones preceding them, by number.
	pending map[uint64]StoredNote
	// recent holds the last notes applied, without gaps, up to the state's
	// number.
	recent []StoredNote
	// confirmed is the time before which every accepted note is in force here.
	confirmed time.Time
}

// State returns the state in force on this instance.
func (r *Replica) State() *release.State {
	if s := r.state.Load(); s != nil {
		return s
	}
	return &release.State{}
}

// ApplyNotes accepts notes in any order, applies those that follow the state
// without a gap, keeps those that arrive early, and ignores the rest. It returns
// the number of notes applied.
func (r *Replica) ApplyNotes(notes []StoredNote) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.State()
	for _, s := range notes {
		r.buffer(s, state.Number)
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
		r.trimRecent()
		r.state.Store(builder.State())
	}
	return applied
}

// buffer keeps a note as pending unless it is older than the state, at number, or
// too far ahead of it.
func (r *Replica) buffer(s StoredNote, number uint64) {
	if s.Number <= number || s.Number > number+maxPendingNotes {
		return
	}
	if r.pending == nil {
		r.pending = map[uint64]StoredNote{}
	}
	r.pending[s.Number] = s
}

// trimRecent bounds recent. It copies the slice only once it has twice the limit;
// the copy lets the memory of dropped notes be freed.
func (r *Replica) trimRecent() {
	limit := cmp.Or(r.RecentNotes, DefaultRecentNotes)
	if len(r.recent) > 2*limit {
		r.recent = slices.Clone(r.recent[len(r.recent)-limit:])
	}
}

// InstallState replaces the state if the given one is later, and reports whether
// it did.
func (r *Replica) InstallState(state *release.State) bool {
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

// HasGap reports whether notes are pending because an earlier one has not
// arrived.
func (r *Replica) HasGap() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0
}

// Confirm records that all notes accepted before at are in force here.
func (r *Replica) Confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

// ConfirmedAt returns the latest time before which all accepted notes are known
// to be in force here, or the zero time if none is known.
func (r *Replica) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// NotesAfter returns the kept notes after a number, or false when the kept notes
// do not reach back that far.
func (r *Replica) NotesAfter(number uint64) ([]StoredNote, bool) {
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
