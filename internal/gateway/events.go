package gateway

import (
	"errors"
	"io"
	"strconv"

	"heatherrelay/internal/eventstream"
)

// maxBlankBytes bounds the comments between two events.
const maxBlankBytes = 64 << 10

// eventReader reads the events of one response of a target. What is no event, such as an
// error text or the head of another response, never leaves it: the reader fails instead.
type eventReader struct {
	reader *eventstream.Reader
	// furtherFields are the fields that events may have beside the standard ones.
	furtherFields []string
	// blank holds the comments since the last event. They go to the client with the next
	// event, or at the end of the stream.
	blank []byte
}

// newEventReader returns a reader of the exchange's response.
func (e *exchange) newEventReader() *eventReader {
	return &eventReader{reader: eventstream.NewReader(e.response), furtherFields: e.server.EventFields}
}

// next returns the next event, which must follow the one with the id last. Its raw bytes
// begin with the comments before it. At the end of the stream it returns io.EOF and the
// comments after the last event.
func (r *eventReader) next(last string) (eventstream.Event, error) {
	for {
		event, err := r.reader.Next()
		switch {
		case errors.Is(err, io.EOF):
			return eventstream.Event{Raw: r.blank}, err
		case err != nil:
			return event, err
		case event.Blank():
			if r.blank = append(r.blank, event.Raw...); len(r.blank) > maxBlankBytes {
				return event, eventstream.ErrMalformed.New("comments of more than %d bytes", maxBlankBytes)
			}
			continue
		}
		if err := event.Check(r.furtherFields...); err != nil {
			return event, err
		}
		if !inOrder(last, event.ID) {
			return event, errStream.New("event id %.40q received after %.40q", event.ID, last)
		}
		event.Raw, r.blank = append(r.blank, event.Raw...), nil
		return event, nil
	}
}

// inOrder reports whether an event id is a number, and may follow another one. After a
// number comes a larger one; a client that resumes a stream may name an id that is none.
func inOrder(last, next string) bool {
	after, err := strconv.ParseUint(next, 10, 64)
	if err != nil {
		return false
	}
	before, err := strconv.ParseUint(last, 10, 64)
	return err != nil || after > before
}
