// Package publication publishes release notes and brings them in force: notes
// are numbered without gaps by creating objects in the platform, and every
// instance applies them in order, from the platform and from its peers.
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

// The keys of notes: the number in 12 digits, so that they sort by number.
const (
	NotePrefix   = "release/"
	numberDigits = 12
	// blockDigits of a number share a prefix of 100 notes, read in one listing.
	blockDigits = numberDigits - 2
)

// Stored is the form in which a note lies in the platform and travels between peers.
type Stored struct {
	// PublishID is unique to one act of publishing, so that it is found again
	// after a lost answer.
	PublishID   string       `json:"publish_id"`
	Number      uint64       `json:"number"`
	Note        release.Note `json:"note"`
	PublishedAt time.Time    `json:"published_at"`
}

// NoteKey returns the key of note number.
func NoteKey(number uint64) string {
	return fmt.Sprintf("%s%0*d", NotePrefix, numberDigits, number)
}

// blockPrefix returns the prefix of the listing that holds note number.
func blockPrefix(number uint64) string {
	return NoteKey(number)[:len(NotePrefix)+blockDigits]
}

// Encode returns the stored form. ErrTooLarge says that the platform would not
// hold it.
func (s Stored) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(value) > objectstore.MaxValueBytes {
		return nil, ErrTooLarge.New("%d bytes when stored, at most %d: publish it as several notes", len(value), objectstore.MaxValueBytes)
	}
	return value, nil
}

// Decode reads the stored form of the note under key.
func Decode(key string, value []byte) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(value, &s); err != nil {
		return Stored{}, ErrCorrupt.New("%s: %w", key, err)
	}
	number, err := strconv.ParseUint(strings.TrimPrefix(key, NotePrefix), 10, 64)
	if err != nil || number != s.Number {
		return Stored{}, ErrCorrupt.New("%s holds note %d", key, s.Number)
	}
	return s, nil
}
