package publication

import (
	"encoding/json"
	"time"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/pkg/release"
)

// Message converts the response to a message of the peer protocol.
func (p PullResponse) Message() (*v1.PullReleasesResponse, error) {
	m := &v1.PullReleasesResponse{
		Latest:         p.Latest,
		Confirmed:      p.Confirmed,
		ConfirmedAgeMs: ageMilliseconds(p.ConfirmedAge),
	}
	for _, s := range p.Notes {
		value, err := json.Marshal(s)
		if err != nil {
			return nil, err
		}
		m.Notes = append(m.Notes, &v1.ReleaseNote{Number: s.Number, Value: value})
	}
	if p.Snapshot == nil {
		return m, nil
	}
	m.Snapshot = &v1.ReleaseSnapshot{Number: p.Snapshot.Number}
	for _, part := range p.Snapshot.Parts {
		value, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		m.Snapshot.Parts = append(m.Snapshot.Parts, value)
	}
	return m, nil
}

// ageMilliseconds rounds up, so that the age sent is never below the real one.
func ageMilliseconds(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

// PullResponseFromMessage converts a message of the peer protocol to a PullResponse.
// It fails with ErrCorrupt when a note or a part of the snapshot cannot be decoded.
func PullResponseFromMessage(m *v1.PullReleasesResponse) (PullResponse, error) {
	p := PullResponse{
		Latest:       m.GetLatest(),
		Confirmed:    m.GetConfirmed(),
		ConfirmedAge: time.Duration(m.GetConfirmedAgeMs()) * time.Millisecond,
	}
	for _, n := range m.GetNotes() {
		s, err := Decode(NoteKey(n.GetNumber()), n.GetValue())
		if err != nil {
			return PullResponse{}, err
		}
		p.Notes = append(p.Notes, s)
	}
	if m.GetSnapshot() == nil {
		return p, nil
	}
	p.Snapshot = &Snapshot{Number: m.GetSnapshot().GetNumber()}
	for _, value := range m.GetSnapshot().GetParts() {
		var part release.Note
		if err := json.Unmarshal(value, &part); err != nil {
			return PullResponse{}, ErrCorrupt.New("snapshot from a peer: %w", err)
		}
		p.Snapshot.Parts = append(p.Snapshot.Parts, part)
	}
	return p, nil
}
