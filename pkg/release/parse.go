package release

import (
	"io"

	"heatherrelay/internal/strict"
)

// MaxNoteBytes is the maximum size of a note as TOML. The platform also limits
// the size of its stored form.
const MaxNoteBytes = 1_000_000

// Parse parses a note from TOML. An invalid note fails with ErrInvalid, which
// lists all problems, one per line: syntax errors, unknown fields, wrong types
// and invalid values.
func Parse(r io.Reader) (Note, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxNoteBytes+1))
	if err != nil {
		return Note{}, err
	}
	if len(data) > MaxNoteBytes {
		return Note{}, ErrInvalid.New("larger than %d bytes: publish it as several notes", MaxNoteBytes)
	}
	var note Note
	problems := strict.Decode(data, &note)
	// A field that failed to decode is not reported a second time for its value.
	reported := map[string]bool{}
	for _, p := range problems {
		reported[p.Path] = true
	}
	for _, p := range note.problems() {
		if !reported[p.Path] {
			problems = append(problems, p)
		}
	}
	return note, ErrInvalid.Wrap(problems.Err())
}
