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
		fmt.Printf("%s %q\n", event.ID, event.Data)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id: 2\ndata: b\n\n"
	// EOF
}

// TestEventsAreWhole feeds streams byte by byte and checks that only whole events
// come out, and that a stream that ends within one is told apart.
func TestEventsAreWhole(t *testing.T) {
	const stream = "version: 2\nid: 7\ndata: x\r\n\r\n"
	for length := range len(stream) + 1 {
		r := eventstream.NewReader(iotest.OneByteReader(strings.NewReader(stream[:length])))
		event, err := r.Next()
		switch {
		case length == len(stream):
			if err != nil || string(event.Data) != stream || event.ID != "7" {
				t.Errorf("%q, %v", event.Data, err)
			}
		case length == 0:
			if !errors.Is(err, io.EOF) {
				t.Errorf("empty stream: %v", err)
			}
		case !eventstream.ErrTorn.Has(err):
			t.Errorf("%d bytes: %q, %v", length, event.Data, err)
		}
	}
}
