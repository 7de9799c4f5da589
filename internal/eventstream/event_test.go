package eventstream_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heatherrelay/internal/eventstream"
)

func ExampleEvent_Check() {
	for _, text := range []string{"id: 1\ndata: a\n\n", "error: no engine\n\n"} {
		event, err := eventstream.NewReader(strings.NewReader(text)).Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(event.Check())
	}
	// Output:
	// <nil>
	// no event of a stream: field "error"
}

// TestOnlyEventsPassTheCheck guards against texts that are no events but pass as such.
func TestOnlyEventsPassTheCheck(t *testing.T) {
	t.Parallel()
	cases := map[string]bool{
		"id: 1\ndata: a\n\n":                          true,
		"id:1\ndata:a\n\n":                            true,
		"id: 1\ndata\n\n":                             true,
		"id: 1\ndata: a\ndata: b\n\n":                 true,
		"id: 1\r\ndata: a\r\n\r\n":                    true,
		"id: 1\rdata: a\r\r":                          true,
		"event: piece\nretry: 5\nid: 1\ndata: \n\n":   true,
		": comment\nid: 1\ndata: a\n\n":               true,
		"version: 3\nid: 1\ndata: a\n\n":              true,
		"id: 1\ndata: HTTP/1.1 200 OK\n\n":            true,
		"id: 1\n\n":                                   false,
		"data: a\n\n":                                 false,
		"id: 1\nid: 2\ndata: a\n\n":                   false,
		"ID: 1\ndata: a\n\n":                          false,
		" id: 1\ndata: a\n\n":                         false,
		"id: 1\ndata: a\nerror: b\n\n":                false,
		"id: 1\ndata: a\nb\n\n":                       false,
		"HTTP/1.1 200 OK\r\nid: 1\r\ndata: a\r\n\r\n": false,
		"id: 1\ndata: a\r\rerror\n\n":                 false,
		"id: 1\ndata: a\rerror\n\n":                   false,
		"Version: 3\nid: 1\ndata: a\n\n":              false,
	}
	for text, want := range cases {
		if err := (eventstream.Event{Raw: []byte(text)}).Check("version"); (err == nil) != want || err != nil && !eventstream.ErrMalformed.Has(err) {
			t.Errorf("%q: error %v, want an event: %t", text, err, want)
		}
	}
}

// TestBlankBlocks checks which blocks receivers ignore.
func TestBlankBlocks(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]bool{"\n": true, "\r\n": true, ": a\n\n": true, ":\r: b\r\r": true, "a\n\n": false, "id: 1\n\n": false, ": a\rid: 1\n\n": false} {
		if got := (eventstream.Event{Raw: []byte(text)}).Blank(); got != want {
			t.Errorf("%q: blank %t, want %t", text, got, want)
		}
	}
}

// TestTextAmongTheLinesOfAnEventIsFound checks that a line that is no field is found in every
// place of an event, and that the event passes without it.
func TestTextAmongTheLinesOfAnEventIsFound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end")
		lines := []string{"id: 4", "data: piece"}
		for range rapid.IntRange(0, 3).Draw(t, "lines") {
			lines = append(lines, rapid.SampledFrom([]string{": comment", "event: piece", "data: more", "retry: 1"}).Draw(t, "line"))
		}
		event := eventstream.Event{Raw: []byte(strings.Join(lines, end) + end + end)}
		if err := event.Check(); err != nil {
			t.Fatal(err)
		}
		foreign := rapid.StringMatching(`[A-Za-z0-9/. <{"]{1,20}`).Filter(func(s string) bool { return s != "id" && s != "data" && s != "event" && s != "retry" }).Draw(t, "foreign")
		at := rapid.IntRange(0, len(lines)).Draw(t, "at")
		lines = append(lines[:at:at], append([]string{foreign}, lines[at:]...)...)
		event.Raw = []byte(strings.Join(lines, end) + end + end)
		if event.Check() == nil {
			t.Fatalf("%q passes", event.Raw)
		}
	})
}
