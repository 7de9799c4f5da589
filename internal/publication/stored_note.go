// Package publication publishes release notes and brings them into force.
// Publishing creates one object per note in the platform, numbered without gaps;
// every instance applies the notes in order of their numbers, reading them from
// the platform and from its peers.
package publication

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/pkg/release"
)

// The keys of notes end in the number in 12 digits, so that they sort by number.
const (
	NotePrefix   = "release/"
	numberDigits = 12
	// blockDigits is the number of leading digits shared by the 100 notes of a
	// block, which are read in one listing.
	blockDigits = numberDigits - 2
)

// StoredNote is a note as stored in the platform and sent between peers.
type StoredNote struct {
	// PublishID identifies one publication, so that a retry after a lost answer
	// recognizes its own note.
	PublishID   string       `json:"publish_id"`
	Number      uint64       `json:"number"`
	Note        release.Note `json:"note"`
	PublishedAt time.Time    `json:"published_at"`
}

// NoteKey returns the key of note number.
func NoteKey(number uint64) string {
	return fmt.Sprintf("%s%0*d", NotePrefix, numberDigits, number)
}

// blockPrefix returns the prefix of the keys in the block of note number.
func blockPrefix(number uint64) string {
	return NoteKey(number)[:len(NotePrefix)+blockDigits]
}

// Encode returns the stored form. It fails with ErrTooLarge when that exceeds the
// size limit of the platform's objects.
func (s StoredNote) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(value) > objectstore.MaxValueBytes {
		return nil, ErrTooLarge.New("%d bytes when stored, at most %d: publish it as several notes", len(value), objectstore.MaxValueBytes)
	}
	return value, nil
}

// Decode decodes the stored form of the note under key. It fails with ErrCorrupt
// when the value is not that note.
func Decode(key string, value []byte) (StoredNote, error) {
	var s StoredNote
	if err := json.Unmarshal(value, &s); err != nil {
		return StoredNote{}, ErrCorrupt.New("%s: %w", key, err)
	}
	number, err := strconv.ParseUint(strings.TrimPrefix(key, NotePrefix), 10, 64)
	if err != nil || number != s.Number {
		return StoredNote{}, ErrCorrupt.New("%s contains note %d", key, s.Number)
	}
	return s, nil
}
