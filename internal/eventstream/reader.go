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
	// freeEventBytes is the size up to which an event is read without a call of Hold, and
	// holdStep the least that a call adds.
	freeEventBytes = 8 << 10
	holdStep       = 64 << 10
	// bufferGrowth is how much memory an event takes, for each of its bytes, while it grows.
	bufferGrowth = 2
)

// Reader reads the events of a stream. A line ends with a line feed, perhaps after a
// carriage return, or, in a stream whose first line ends so, with a carriage return alone.
type Reader struct {
	// Hold is called with the memory that a large event is about to take, in bytes, and with
	// what it gives back as a negative number. An error ends the stream. Nil means no bound
	// but that of one event.
	Hold func(bytes int) error

	held   int
	reader *bufio.Reader
	// lineEndKnown is set when the end of the first line was read; carriageReturns if it was
	// a carriage return alone.
	lineEndKnown, carriageReturns bool
}

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{reader: bufio.NewReaderSize(r, bufferSize)} }

// Next returns the next complete event. It returns io.EOF after the last one, and
// an error of class ErrTruncated if the stream ends within an event or an event is
// longer than maxEventBytes. With another error it returns the bytes that it read of the
// event before it.
func (r *Reader) Next() (Event, error) {
	if err := r.release(); err != nil {
		return Event{}, err
	}
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
			return Event{Raw: event.Raw}, err
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
		part, ended, err := r.readPart()
		if e := r.hold(len(event.Raw) + len(part)); e != nil {
			return e
		}
		event.Raw = append(event.Raw, part...)
		switch {
		case len(event.Raw) > maxEventBytes:
			return ErrTruncated.New("event of more than %d bytes", maxEventBytes)
		case ended || err != nil:
			return err
		}
	}
}

// hold has an event of a size be held in memory.
func (r *Reader) hold(size int) error {
	needed := bufferGrowth * size
	if r.Hold == nil || size <= freeEventBytes || needed <= r.held {
		return nil
	}
	more := max(needed-r.held, holdStep)
	if err := r.Hold(more); err != nil {
		return err
	}
	r.held += more
	return nil
}

// release gives back the memory of the event before, which the caller has passed on.
func (r *Reader) release() error {
	if r.held == 0 {
		return nil
	}
	held := r.held
	r.held = 0
	return r.Hold(-held)
}

// readPart reads the next part of a line, whether it ends the line, and the error after it.
// The part is valid until the next read.
func (r *Reader) readPart() (part []byte, ended bool, err error) {
	if _, err := r.reader.Peek(1); err != nil {
		return nil, false, err
	}
	buffered, err := r.reader.Peek(r.reader.Buffered())
	if err != nil {
		return nil, false, err
	}
	length, ended, err := r.findLineEnd(buffered)
	// Discard cannot fail: so many bytes are buffered.
	_, _ = r.reader.Discard(length)
	return buffered[:length], ended, err
}

// findLineEnd returns the length of the first line of the buffered bytes; if it has no end
// there, that of all of them. To tell the end of the first line it reads the byte after a
// carriage return.
func (r *Reader) findLineEnd(buffered []byte) (length int, ended bool, err error) {
	if r.lineEndKnown && !r.carriageReturns {
		length, ended = endOrAll(buffered, bytes.IndexByte(buffered, '\n'))
		return length, ended, nil
	}
	n := bytes.IndexAny(buffered, "\r\n")
	if n < 0 || r.lineEndKnown || buffered[n] == '\n' {
		length, ended = endOrAll(buffered, n)
		r.lineEndKnown = r.lineEndKnown || ended
		return length, ended, nil
	}
	if n > 0 && n+1 == len(buffered) {
		// The carriage return comes to the front, with room for the byte after it.
		return n, false, nil
	}
	next, err := r.reader.Peek(n + 2)
	if err != nil {
		return n + 1, false, err
	}
	r.lineEndKnown, r.carriageReturns = true, next[n+1] != '\n'
	if !r.carriageReturns {
		n++
	}
	return n + 1, true, nil
}

// endOrAll returns the length up to and with the byte at an index, and whether there is
// one; the length of all bytes if it is negative.
func endOrAll(buffered []byte, index int) (length int, ended bool) {
	if index < 0 {
		return len(buffered), false
	}
	return index + 1, true
}
