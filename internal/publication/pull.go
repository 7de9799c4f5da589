package publication

import (
	"time"

	"heatherrelay/pkg/release"
)

// maxPartBytes bounds a part of a snapshot; with the JSON around its entries it
// fits into one object of the platform.
const maxPartBytes = 900_000

// Snapshot is the complete state after note Number, in parts that each fit into
// one object of the platform.
type Snapshot struct {
	Number uint64         `json:"number"`
	Parts  []release.Note `json:"parts"`
}

// PullResponse is a peer's response to a pull: the notes after the requested number,
// or a snapshot when the peer no longer keeps all of them.
type PullResponse struct {
	// Latest is the number of the last note in force at the peer.
	Latest uint64
	Notes  []StoredNote
	// Snapshot is nil unless the peer no longer keeps all the notes requested.
	Snapshot *Snapshot
	// Confirmed is set when ConfirmedAge holds a value.
	Confirmed bool
	// ConfirmedAge is the time since the peer last knew that all accepted notes
	// were in force there.
	ConfirmedAge time.Duration
}

// Pull returns the response to a peer that has the notes up to number after.
func (r *Replica) Pull(after uint64, now time.Time) (PullResponse, error) {
	// The time is read before the notes and the state, so that these are at least
	// as recent as it states.
	confirmed := r.ConfirmedAt()
	response := PullResponse{Confirmed: !confirmed.IsZero()}
	if response.Confirmed {
		response.ConfirmedAge = now.Sub(confirmed)
	}
	notes, ok := r.NotesAfter(after)
	state := r.State()
	response.Latest = state.Number
	if ok {
		response.Notes = notes
		return response, nil
	}
	parts, err := state.Parts(maxPartBytes)
	if err != nil {
		return PullResponse{}, err
	}
	response.Snapshot = &Snapshot{Number: state.Number, Parts: parts}
	return response, nil
}

// ApplyPullResponse applies a peer's response to a request sent at requestedAt.
func (r *Replica) ApplyPullResponse(p PullResponse, requestedAt time.Time) {
	if s := p.Snapshot; s != nil && s.Number > r.State().Number {
		r.InstallState(release.StateFromParts(s.Number, s.Parts))
	}
	r.ApplyNotes(p.Notes)
	if p.Confirmed && r.State().Number >= p.Latest {
		r.Confirm(requestedAt.Add(-p.ConfirmedAge))
	}
}
