package release

import (
	"io"

	"heatherrelay/internal/strict"
)

// MaxNoteBytes bounds a note as TOML; its stored form is bounded by the
// platform besides.
const MaxNoteBytes = 1_000_000

// Parse reads a note as TOML. The error, of kind ErrInvalid, names all that is
// wrong, a line each: syntax, unknown fields, wrong types and bad values.
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
	broken := map[string]bool{}
	for _, p := range problems {
		broken[p.Path] = true
	}
	for _, p := range note.problems() {
		if !broken[p.Path] {
			problems = append(problems, p)
		}
	}
	return note, ErrInvalid.Wrap(problems.Err())
}
