// Package eventstream splits a stream of server-sent events into complete events.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// ErrTruncated means that a stream ended in the middle of an event, or that an
// event is too long.
var ErrTruncated = errs.Class("stream ended within an event")

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	bufferSize    = 4 << 10
)

// Event is one server-sent event.
type Event struct {
	// ID is the value of the event's id field; empty if it has none.
	ID string
	// Raw holds the bytes of the event as received, including the empty line that
	// ends it.
	Raw []byte
}

// Reader reads the events of a stream.
type Reader struct {
	reader *bufio.Reader
}

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{reader: bufio.NewReaderSize(r, bufferSize)} }

// Next returns the next complete event. It returns io.EOF after the last one, and
// an error of class ErrTruncated if the stream ends within an event or an event is
// longer than maxEventBytes.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		start := len(event.Raw)
		err := r.appendLine(&event)
		if errors.Is(err, io.EOF) {
			if len(event.Raw) == 0 {
				return Event{}, io.EOF
			}
			return Event{}, ErrTruncated.New("%d bytes", len(event.Raw))
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(event.Raw[start:], "\r\n")
		if len(text) == 0 {
			return event, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// appendLine appends the next line to the event, or what there is of it before an
// error. It never holds more than maxEventBytes and one buffer.
func (r *Reader) appendLine(event *Event) error {
	for {
		part, err := r.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, part...)
		if len(event.Raw) > maxEventBytes {
			return ErrTruncated.New("event of more than %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
