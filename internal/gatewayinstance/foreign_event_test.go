package gatewayinstance_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// foreignHead is the head of a response, sent where an event is expected.
const foreignHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\nRetry-After: 1\r\n\r\n"

// foreignTexts are texts that are no event of a stream after event 3.
func foreignTexts() map[string]string {
	return map[string]string{
		"head":                      foreignHead,
		"head and body":             foreignHead + "broken",
		"text":                      "error: worker broke\n\n",
		"text without a colon":      "worker broke\n\n",
		"error event":               "event: error\ndata: worker broke\n\n",
		"data alone":                "data: worker broke\n\n",
		"empty id":                  "id:\ndata: worker broke\n\n",
		"two ids":                   "id: 4\nid: 5\ndata: worker broke\n\n",
		"id without data":           "id: 4\n\n",
		"unknown field in an event": "error: worker broke\nid: 4\ndata: piece 4\n\n",
		"head in an event":          "HTTP/1.1 503 Service Unavailable\nid: 4\ndata: piece 4\n\n",
		"JSON":                      `{"error":"worker broke"}` + "\n\n",
		"HTML":                      "<html><body>502</body></html>\n\n",
		"NUL in a field name":       "id: 4\nda\x00ta: piece 4\n\n",
	}
}

// TestForeignTextInAStreamReachesNoClient guards against text that is no event, such as an
// error or the head of a response, in the middle of a client's stream, and against streams
// that end as complete after it (ORDER, MIXED).
func TestForeignTextInAStreamReachesNoClient(t *testing.T) {
	t.Parallel()
	texts := foreignTexts()
	c, a := newScriptedCluster(t, 2, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("Request-Id"), "/")
		if len(parts) != 4 {
			return
		}
		text := texts[parts[0]]
		switch {
		case parts[1] == "first" && attempt == 1:
			writeRaw(w, r, parts[2], pieces(1, 3)+text, false)
		case parts[1] == "first":
			writeRaw(w, r, parts[2], pieces(4, 6), false)
		case attempt == 1:
			writeRaw(w, r, byChunks, pieces(1, 3), true)
		default:
			writeRaw(w, r, parts[2], text, false)
		}
	})
	for name, text := range texts {
		for _, sender := range []string{"first", "second"} {
			for _, framing := range []string{byChunks, byLength, byConnection} {
				for _, path := range []string{"/stream/", "/draft/"} {
					t.Run(name+", "+sender+", "+framing+path, func(t *testing.T) {
						t.Parallel()
						id := strings.Join([]string{name, sender, framing, path[1:2]}, "/")
						got := c.sendTimed(http.MethodPost, path, id, streamDeadline)
						goesOn := sender == "first" && path == "/stream/"
						want := pieces(1, 3)
						if goesOn {
							want = pieces(1, 6)
						}
						complete := got.err == nil && got.status == http.StatusOK
						if got.body != want || complete != goesOn {
							t.Errorf("after %q: complete %t, body %q, want %q; at %v; logged: %s", text, complete, got.body, want, a.of(id), c.logged(id))
						}
					})
				}
			}
		}
	}
}

// TestHedgeThatIsNoStreamDoesNotEndOne guards against foreign text, or an early end, from a
// hedge of a stream whose target is silent.
func TestHedgeThatIsNoStreamDoesNotEndOne(t *testing.T) {
	t.Parallel()
	texts := foreignTexts()
	c, a := newScriptedCluster(t, 2, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		text, ok := texts[r.Header.Get("Request-Id")]
		switch {
		case !ok:
		case attempt > 1:
			writeRaw(w, r, byLength, text, false)
		default:
			writeEvents(w, 1, 3)
			time.Sleep(hedgedSilence)
			writeEvents(w, 4, 6)
		}
	})
	for name := range texts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := c.sendTimed(http.MethodPost, "/stream/", name, streamDeadline)
			if got.err != nil || got.body != pieces(1, 6) || len(a.of(name)) != 2 {
				t.Errorf("error %v, body %q, want %q; at %v; logged: %s", got.err, got.body, pieces(1, 6), a.of(name), c.logged(name))
			}
		})
	}
}

// hedgedSilence is a silence of a target after which its stream is hedged.
const hedgedSilence = 2500 * time.Millisecond

// TestCommentsOfAStreamArePassedOn guards against streams that are broken off, or changed,
// since they hold comments, which are no events.
func TestCommentsOfAStreamArePassedOn(t *testing.T) {
	t.Parallel()
	const comment = ": still working\n\n"
	whole := comment + pieces(1, 2) + comment + comment + ":\n" + pieces(3, 6) + comment
	c, a := newScriptedCluster(t, 1, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		if framing, ok := strings.CutPrefix(r.Header.Get("Request-Id"), "comments/"); ok {
			writeRaw(w, r, framing, whole, false)
		}
	})
	for _, framing := range []string{byChunks, byLength, byConnection} {
		id := "comments/" + framing
		got := c.sendTimed(http.MethodPost, "/stream/", id, streamDeadline)
		if got.err != nil || got.body != whole {
			t.Errorf("%s: error %v, body %q, want %q; at %v; logged: %s", framing, got.err, got.body, whole, a.of(id), c.logged(id))
		}
	}
}

// TestEndlessTextIsNoEvent guards against an instance that reads, or passes on, bytes without
// end that hold no event.
func TestEndlessTextIsNoEvent(t *testing.T) {
	t.Parallel()
	for name, block := range map[string]string{"comments": ": still working\n\n", "text": "worker broke\n", "empty lines": "\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, a := newScriptedCluster(t, 2, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Header.Get("Request-Id") != "endless":
				case attempt > 1:
					writeEvents(w, 4, 6)
				default:
					writeEvents(w, 1, 3)
					text := strings.Repeat(block, 1000)
					for range 1000 {
						if _, err := io.WriteString(w, text); err != nil {
							return
						}
					}
				}
			})
			got := c.sendTimed(http.MethodPost, "/stream/", "endless", streamDeadline)
			if got.err != nil || !strings.HasSuffix(got.body, pieces(4, 6)) {
				t.Errorf("error %v, %d bytes; at %v; logged: %s", got.err, len(got.body), a.of("endless"), c.logged("endless"))
			}
		})
	}
}
