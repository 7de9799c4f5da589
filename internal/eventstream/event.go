package eventstream

import (
	"bytes"
	"slices"

	"github.com/zeebo/errs"
)

// ErrMalformed means that a block of a stream is no event.
var ErrMalformed = errs.Class("no event of a stream")

// standardFields are the fields that events may have in any stream.
var standardFields = []string{"id", "event", "data", "retry"}

// Event is one block of a stream of server-sent events.
type Event struct {
	// ID is the value of the event's id field; empty if it has none.
	ID string
	// Raw holds the bytes of the event as received, including the empty line that
	// ends it.
	Raw []byte
}

// Blank reports whether the block has comments and empty lines only. Receivers ignore it.
func (e Event) Blank() bool {
	for line := range e.lines() {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// Check returns an error of class ErrMalformed unless the block is one event with an id and
// data, whose fields are standard ones or among further ones.
func (e Event) Check(further ...string) error {
	ids, data, ended := 0, 0, false
	for line := range e.lines() {
		if ended && len(line) > 0 {
			return ErrMalformed.New("%.40q after the empty line", line)
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
			ended = true
		case len(name) == 0:
		case string(name) == "id":
			ids++
		case string(name) == "data":
			data++
		case !slices.Contains(standardFields, string(name)) && !slices.Contains(further, string(name)):
			return ErrMalformed.New("field %.40q", name)
		}
	}
	if ids != 1 || data == 0 {
		return ErrMalformed.New("%d ids, %d lines of data", ids, data)
	}
	return nil
}

// lines returns the lines of the block without their ends, which are line feeds, carriage
// returns, or one after the other. The last line ends with the block.
func (e Event) lines() func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for rest := e.Raw; len(rest) > 0; {
			line, end := rest, bytes.IndexAny(rest, "\r\n")
			if end >= 0 {
				line = rest[:end]
				rest = bytes.TrimPrefix(rest[end:], []byte("\r"))
				if len(rest) > 0 && rest[0] == '\n' {
					rest = rest[1:]
				}
			} else {
				rest = nil
			}
			if !yield(line) {
				return
			}
		}
	}
}
