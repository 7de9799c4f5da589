// Package eventstream reads server-sent events whole.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// ErrTorn says that a stream ended in the middle of an event.
var ErrTorn = errs.Class("stream ended within an event")

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	bufferBytes   = 4 << 10
)

// Event is one event as it came, with the empty line that ends it.
type Event struct {
	// ID is the event's id; empty without one.
	ID   string
	Data []byte
}

// Reader splits a stream into events.
type Reader struct {
	reader *bufio.Reader
}

// NewReader returns a reader of the events of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{reader: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next whole event; io.EOF after the last one, and ErrTorn if
// the stream ended within an event.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.reader.ReadBytes('\n')
		event.Data = append(event.Data, line...)
		if errors.Is(err, io.EOF) {
			if len(event.Data) == 0 {
				return Event{}, io.EOF
			}
			return Event{}, ErrTorn.New("%d bytes", len(event.Data))
		}
		if err != nil {
			return Event{}, err
		}
		if len(event.Data) > maxEventBytes {
			return Event{}, ErrTorn.New("event of more than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}
