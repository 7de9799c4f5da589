package eventstream_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
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

// TestEventsOfAllLineEnds guards against a stream that is held back, or cut elsewhere than
// between two events, since its lines end otherwise than with line feeds: however its bytes
// arrive, the events come back unchanged, and no other end of the stream counts as one.
func TestEventsOfAllLineEnds(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		events := []string{": first" + end + end, "id: 7" + end + "data: x" + end + end, strings.Repeat("d", 3*4096) + end + "id:8" + end + end}
		stream := strings.Join(events, "")
		wholeLengths := []int{0, len(events[0]), len(events[0] + events[1]), len(stream)}
		for length := range len(stream) + 1 {
			if near := length <= 64 || length >= len(stream)-64; near || length%97 == 0 {
				checkPrefix(t, stream, length, slices.Contains(wholeLengths, length))
			}
		}
	}
}

// checkPrefix reads the first bytes of a stream, one by one if their number is even, and
// fails the test unless its events come back unchanged, followed by the right error.
func checkPrefix(t *testing.T, stream string, length int, whole bool) {
	t.Helper()
	source := io.Reader(strings.NewReader(stream[:length]))
	if length%2 == 0 {
		source = iotest.OneByteReader(source)
	}
	text, ids, err := readAll(eventstream.NewReader(source))
	if whole != errors.Is(err, io.EOF) || !whole && !eventstream.ErrTruncated.Has(err) {
		t.Fatalf("cut after %d of %d bytes: error %v", length, len(stream), err)
	}
	if whole && text != stream[:length] || length == len(stream) && ids != " 7 8" {
		t.Fatalf("cut after %d of %d bytes: events %q with ids %s", length, len(stream), text, ids)
	}
}

// readAll returns the text of all events, their ids, and the error after the last one.
func readAll(r *eventstream.Reader) (text, ids string, err error) {
	for {
		event, err := r.Next()
		if err != nil {
			return text, ids, err
		}
		text += string(event.Raw)
		if event.ID != "" {
			ids += " " + event.ID
		}
	}
}

// TestNothingIsReadAfterTheEnd guards against a read of a response that has ended, whose
// connection may bring another one by then.
func TestNothingIsReadAfterTheEnd(t *testing.T) {
	for _, stream := range []string{"", "id: 1\r", "id: 1", "id: 1\n\n", "\r"} {
		ended := &readOnce{source: strings.NewReader(stream)}
		if _, _, err := readAll(eventstream.NewReader(ended)); err == nil || ended.after {
			t.Errorf("%q: error %v, read after the end: %t", stream, err, ended.after)
		}
	}
}

// readOnce notes reads after its source has ended.
type readOnce struct {
	source       io.Reader
	ended, after bool
}

func (r *readOnce) Read(p []byte) (int, error) {
	r.after = r.ended
	n, err := r.source.Read(p)
	r.ended = errors.Is(err, io.EOF)
	return n, err
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

// TestLargeEventsAreHeld guards against events that take memory without being counted, and
// against a call for each of the usual small ones.
func TestLargeEventsAreHeld(t *testing.T) {
	errShort := errors.New("no memory")
	for _, c := range []struct{ size, limit int }{{50, 0}, {4 << 10, 0}, {300 << 10, 1 << 20}, {900 << 10, 1 << 20}} {
		held, most := 0, 0
		event := "data: " + strings.Repeat("x", c.size) + "\n\n"
		reader := eventstream.NewReader(strings.NewReader(event + event))
		reader.Hold = func(bytes int) error {
			if held+bytes > c.limit {
				return errShort
			}
			held += bytes
			most = max(most, held)
			return nil
		}
		var err error
		for err == nil {
			_, err = reader.Next()
		}
		fits := 2*len(event) <= c.limit || c.limit == 0
		if fits != errors.Is(err, io.EOF) || !fits != errors.Is(err, errShort) {
			t.Errorf("%d bytes, limit %d: %v", c.size, c.limit, err)
		}
		if fits && (held != 0 || c.limit > 0 && most < 2*len(event)) {
			t.Errorf("%d bytes: held %d at most, %d at the end", c.size, most, held)
		}
	}
}
