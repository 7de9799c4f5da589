package eventstream_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"heatherrelay/internal/eventstream"
)

func ExampleReader_Next() {
	r := eventstream.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	for {
		event, err := r.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s %q\n", event.ID, event.Raw)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id: 2\ndata: b\n\n"
	// EOF
}

// TestOnlyCompleteEventsAreReturned reads every prefix of a stream byte by byte. Only
// the complete event may be returned, and a stream that ends within the event must
// give ErrTruncated instead of io.EOF.
func TestOnlyCompleteEventsAreReturned(t *testing.T) {
	const stream = "version: 2\nid: 7\ndata: x\r\n\r\n"
	for length := range len(stream) + 1 {
		r := eventstream.NewReader(iotest.OneByteReader(strings.NewReader(stream[:length])))
		event, err := r.Next()
		switch {
		case length == len(stream):
			if err != nil || string(event.Raw) != stream || event.ID != "7" {
				t.Errorf("complete event: %q, error %v", event.Raw, err)
			}
		case length == 0:
			if !errors.Is(err, io.EOF) {
				t.Errorf("empty stream: error %v, want io.EOF", err)
			}
		case !eventstream.ErrTruncated.Has(err):
			t.Errorf("stream cut after %d bytes: event %q, error %v, want ErrTruncated", length, event.Raw, err)
		}
	}
}

// endlessLine is a stream that never ends a line and counts the bytes read from it.
type endlessLine struct{ read int }

func (l *endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	l.read += len(p)
	return len(p), nil
}

// TestEndlessLineIsBounded checks that a line without an end is given up soon after it
// is longer than an event may be, before it fills the memory.
func TestEndlessLineIsBounded(t *testing.T) {
	const limit = 2 << 20
	line := &endlessLine{}
	_, err := eventstream.NewReader(io.LimitReader(line, 4*limit)).Next()
	if !eventstream.ErrTruncated.Has(err) {
		t.Errorf("error %v, want ErrTruncated", err)
	}
	if line.read > limit {
		t.Errorf("%d bytes read", line.read)
	}
}
