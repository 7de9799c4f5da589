package gatewayinstance_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// foreignAnswers are whole answers of a second target that are no continuation of a stream,
// as a status line, further header lines and a body.
func foreignAnswers() map[string][3]string {
	return map[string][3]string{
		"204":                     {"204 No Content", "", ""},
		"202 with length 0":       {"202 Accepted", "Content-Length: 0\r\n", ""},
		"202 with a stream":       {"202 Accepted", "Content-Type: text/event-stream\r\nContent-Length: 22\r\n", "id: 4\ndata: piece 4\n\n\n"},
		"206":                     {"206 Partial Content", "Content-Type: text/event-stream\r\nContent-Length: 0\r\n", ""},
		"200 with length 0":       {"200 OK", "Content-Length: 0\r\n", ""},
		"empty stream, length":    {"200 OK", "Content-Type: text/event-stream\r\nContent-Length: 0\r\n", ""},
		"empty stream, chunks":    {"200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
		"empty stream, no length": {"200 OK", "Content-Type: text/event-stream\r\n", ""},
		"comments only":           {"200 OK", "Content-Type: text/event-stream\r\nContent-Length: 10\r\n", ": broken\n\n"},
		"plain text":              {"200 OK", "Content-Type: text/plain\r\nContent-Length: 21\r\n", "id: 4\ndata: piece 4\n\n"},
		"plain text, charset":     {"200 OK", "Content-Type: text/plain; charset=utf-8\r\nContent-Length: 7\r\n", "error\n\n"},
		"JSON":                    {"200 OK", "Content-Type: application/json\r\nContent-Length: 21\r\n", "id: 4\ndata: piece 4\n\n"},
		"500":                     {"500 Internal Server Error", "Content-Length: 7\r\n", "error\n\n"},
		"503":                     {"503 Service Unavailable", "Content-Length: 7\r\n", "error\n\n"},
		"404":                     {"404 Not Found", "Content-Length: 7\r\n", "error\n\n"},
		"302":                     {"302 Found", "Location: /\r\nContent-Length: 0\r\n", ""},
	}
}

// TestStreamDoesNotEndWithAnAnswerThatIsNoStream guards against streams that end as complete
// too early since the next target answers with a success that holds no event (ORDER).
func TestStreamDoesNotEndWithAnAnswerThatIsNoStream(t *testing.T) {
	t.Parallel()
	answers := foreignAnswers()
	c, a := newScriptedCluster(t, 2, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		name, begun, ok := strings.Cut(r.Header.Get("Request-Id"), "/")
		if !ok {
			return
		}
		if begun == "begun" && attempt == 1 {
			writeRaw(w, r, byChunks, pieces(1, 3), true)
			return
		}
		writeWhole(w, r, answers[name])
	})
	for name := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			id := name + "/begun"
			got := c.sendTimed(http.MethodPost, "/stream/", id, streamDeadline)
			if got.err == nil || got.body != pieces(1, 3) {
				t.Errorf("error %v, body %q, want %q, broken off; at %v; logged: %s", got.err, got.body, pieces(1, 3), a.of(id), c.logged(id))
			}
		})
		for _, path := range []string{"/stream/", "/draft/"} {
			t.Run(name+", new"+path, func(t *testing.T) {
				t.Parallel()
				id := name + "/new" + path
				got := c.sendTimed(http.MethodPost, path, id, streamDeadline)
				if got.err != nil || got.status/100 == 2 {
					t.Errorf("a stream without an event: status %d, error %v, body %q; at %v; logged: %s", got.status, got.err, got.body, a.of(id), c.logged(id))
				}
			})
		}
	}
}

// writeWhole sends an answer as it is, and closes the connection.
func writeWhole(w http.ResponseWriter, r *http.Request, answer [3]string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: close\r\nRequest-Id: %s\r\nResponse-Seal: seal-%[2]s\r\n%s\r\n%s", answer[0], id, answer[1], answer[2])
}

// TestStreamWithNothingLeftIsConfirmed guards against streams that end as complete on the word
// of one target that has nothing to send, or on any word in a response that was broken off, and
// against refusing those with nothing left: when their clients take them up, two targets decide.
func TestStreamWithNothingLeftIsConfirmed(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// after is the event after which the client takes the stream up; 0 for a new one.
		after int
		// answers are what the targets send, in the order in which they get the request.
		answers []string
		want    string
		broken  bool
	}{
		"broken off at the end":    {answers: []string{pieces(1, 6), "", ""}, want: pieces(1, 6), broken: true},
		"broken off before it":     {answers: []string{pieces(1, 3), "", ""}, want: pieces(1, 3), broken: true},
		"the third goes on":        {answers: []string{pieces(1, 3), "", pieces(4, 6)}, want: pieces(1, 6)},
		"the third is foreign":     {answers: []string{pieces(1, 3), "", "error\n\n"}, want: pieces(1, 3), broken: true},
		"the third breaks off":     {answers: []string{pieces(1, 3), "", pieces(4, 5) + "id: 6\nda"}, want: pieces(1, 5), broken: true},
		"goes on, then is foreign": {answers: []string{pieces(1, 3), pieces(4, 5) + "error\n\n", pieces(6, 6)}, want: pieces(1, 6)},
		"taken up at the end":      {after: 6, answers: []string{"", ""}},
		"taken up before it":       {after: 3, answers: []string{"", pieces(4, 6)}, want: pieces(4, 6)},
	}
	c, a := newScriptedCluster(t, 3, 3, func(attempt int, w http.ResponseWriter, r *http.Request) {
		name, framing, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		if k, ok := cases[name]; ok && attempt <= len(k.answers) {
			writeRaw(w, r, framing, k.answers[attempt-1], attempt == 1 && k.after == 0)
		}
	})
	informed := c.startInformed(c.startInstance)
	for name, k := range cases {
		for _, framing := range []string{byChunks, byLength} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				id := name + "/" + framing
				got := c.sendThrough(informed, http.MethodPost, "/stream/", func(h http.Header) {
					h.Set("Request-Id", id)
					if k.after > 0 {
						h.Set("Last-Event-Id", strconv.Itoa(k.after))
						h.Set("Resumes", "elsewhere")
					}
				})
				if broken := got.err != nil; broken != k.broken || got.status != http.StatusOK || got.body != k.want {
					t.Errorf("status %d, error %v, body %q, want %q; at %v; logged: %s", got.status, got.err, got.body, k.want, a.of(id), c.logged(id))
				}
			})
		}
	}
}

// TestHedgeWithNothingLeftDoesNotEndAStream guards against a stream that ends as complete since
// a hedge, beside its silent target, has nothing to send.
func TestHedgeWithNothingLeftDoesNotEndAStream(t *testing.T) {
	t.Parallel()
	c, a := newScriptedCluster(t, 2, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		framing, ok := strings.CutPrefix(r.Header.Get("Request-Id"), "hedge/")
		switch {
		case !ok:
		case attempt > 1:
			writeRaw(w, r, framing, "", false)
		default:
			writeEvents(w, 1, 3)
			time.Sleep(hedgedSilence)
			writeEvents(w, 4, 6)
		}
	})
	for _, framing := range []string{byChunks, byLength, byConnection} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			id := "hedge/" + framing
			got := c.sendTimed(http.MethodPost, "/stream/", id, streamDeadline)
			if got.err != nil || got.body != pieces(1, 6) || len(a.of(id)) != 2 {
				t.Errorf("error %v, body %q, want %q; at %v; logged: %s", got.err, got.body, pieces(1, 6), a.of(id), c.logged(id))
			}
		})
	}
}

// TestStreamCutWithinAnEventIsNotWhole guards against a stream that ends as complete although its
// only target, of which nothing is known yet, closed within an event (ORDER).
func TestStreamCutWithinAnEventIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, begun := range []string{"", pieces(1, 3)} {
		for _, rest := range []string{"i", "id: 4", "id: 4\n", "id: 4\ndata: pie", "id: 4\ndata: piece 4\n", ": comm"} {
			t.Run(fmt.Sprintf("%d, %q", len(begun), rest), func(t *testing.T) {
				t.Parallel()
				c, a := newScriptedCluster(t, 1, 2, func(_ int, w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Request-Id") == "cut" {
						writeRaw(w, r, byConnection, begun+rest, false)
					}
				})
				if got := c.sendTimed(http.MethodPost, "/stream/", "cut", streamDeadline); got.err == nil && got.status == http.StatusOK || got.body != begun && got.status == http.StatusOK {
					t.Errorf("status %d, error %v, body %q; at %v; logged: %s", got.status, got.err, got.body, a.of("cut"), c.logged("cut"))
				}
			})
		}
	}
}

// TestNothingLeftAfterACrashEndsNoStream guards against a stream that ends as complete since its
// target crashed between two events, where the stream ends with the connection, and the next one
// has nothing to send (ORDER).
func TestNothingLeftAfterACrashEndsNoStream(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion)
	for _, engine := range cluster.engines {
		engine.Inject(func(e *platformtest.Target) { e.Unframed, e.EmptyRests = true, 10*streamCount })
	}
	i := cluster.startInstance()
	warm := newClientStreams(cluster, streamCount/2)
	warm.begin(i, eventsAtBreak, 1)
	streams := newClientStreams(cluster, streamCount)
	streams.begin(i, eventsAtBreak, 1)
	cluster.engines[0].Inject(func(e *platformtest.Target) { e.Downtime, e.CrashStore = time.Minute, cluster.store })
	cluster.engines[0].Crash()
	for n, err := range streams.each(func(_ int, stream *clientStream) error { return stream.receiveAll() }) {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("stream %d ends as complete after event %d", n, len(streams[n].versions))
		}
	}
	warm.disconnect()
}
