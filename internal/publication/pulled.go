package publication

import (
	"time"

	"heatherrelay/pkg/release"
)

// maxPartBytes bounds a part of a snapshot; with its frame it fits into an object.
const maxPartBytes = 900_000

// Snapshot is the whole state after note Number, in parts that each fit into
// one object of the platform.
type Snapshot struct {
	Number uint64         `json:"number"`
	Parts  []release.Note `json:"parts"`
}

// Pulled is what a peer answers to one who has the notes up to a number: the
// notes after it, or a snapshot when the peer has not kept them all.
type Pulled struct {
	// Latest is the number in force at the peer.
	Latest uint64
	Notes  []Stored
	// Snapshot is nil unless it is needed.
	Snapshot *Snapshot
	// Confirmed says that ConfirmedAge holds a value.
	Confirmed bool
	// ConfirmedAge is how long ago the peer knew that it had all accepted notes.
	ConfirmedAge time.Duration
}

// Pull answers a peer that has the notes up to after.
func (r *Replica) Pull(after uint64, now time.Time) (Pulled, error) {
	// The time goes first: what is read later is at least as new.
	confirmed := r.ConfirmedAt()
	pulled := Pulled{Confirmed: !confirmed.IsZero()}
	if pulled.Confirmed {
		pulled.ConfirmedAge = now.Sub(confirmed)
	}
	notes, ok := r.After(after)
	state := r.State()
	pulled.Latest = state.Number
	if ok {
		pulled.Notes = notes
		return pulled, nil
	}
	parts, err := state.Parts(maxPartBytes)
	if err != nil {
		return Pulled{}, err
	}
	pulled.Snapshot = &Snapshot{Number: state.Number, Parts: parts}
	return pulled, nil
}

// Take applies what a peer answered to a question asked at asked.
func (r *Replica) Take(p Pulled, asked time.Time) {
	if s := p.Snapshot; s != nil && s.Number > r.State().Number {
		r.Adopt(release.FromParts(s.Number, s.Parts))
	}
	r.Offer(p.Notes)
	if p.Confirmed && r.State().Number >= p.Latest {
		r.Confirm(asked.Add(-p.ConfirmedAge))
	}
}
