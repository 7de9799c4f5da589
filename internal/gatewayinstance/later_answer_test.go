package gatewayinstance_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// laterAnswers are broken answers to attempts that follow others.
func laterAnswers() map[string]string {
	statuses, names, framings := answersOfNoStatus(), answersOfOddNames(), answersOfOddFraming()
	return map[string]string{
		"000": statuses["000"], "099": statuses["099"], "blank within": names["blank within"],
		"length with blank": names["length with blank"], "length and chunks": framings["length and chunks"],
	}
}

// TestBrokenAnswerToAResumeIsNone guards against a stream that goes on with a broken answer, or
// ends with it.
func TestBrokenAnswerToAResumeIsNone(t *testing.T) {
	t.Parallel()
	answers := laterAnswers()
	c, a := newScriptedCluster(t, 3, 3, func(attempt int, w http.ResponseWriter, r *http.Request) {
		text, ok := answers[strings.ReplaceAll(r.Header.Get("Request-Id"), "_", " ")]
		switch {
		case !ok:
			writeEvents(w, 1, 3)
		case attempt == 1:
			writeEvents(w, 1, 2)
			panic(http.ErrAbortHandler)
		case attempt == 2:
			writeBroken(w, r, strings.ReplaceAll(text, "id: 1", "id: 3"))
		default:
			writeEvents(w, 3, 6)
		}
	})
	for name := range answers {
		c.checkStream(strings.ReplaceAll(name, " ", "_"), 6, a)
	}
}

// hedgedDeadlines returns, by path, deadlines of requests that are hedged after hedgedSilence.
func hedgedDeadlines() map[string]time.Duration {
	return map[string]time.Duration{"/stream/": streamDeadline, "/read/": 4 * time.Second}
}

// TestBrokenAnswerToAHedgeIsNone guards against a stream, or another answer, that is taken from
// a broken answer to a hedge beside a silent target.
func TestBrokenAnswerToAHedgeIsNone(t *testing.T) {
	t.Parallel()
	answers := laterAnswers()
	c, a := newScriptedCluster(t, scriptedTargets, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		text, ok := answers[strings.ReplaceAll(name, "_", " ")]
		switch {
		case !ok:
			writeEvents(w, 1, 3)
		case attempt == 1:
			_ = pause(r, hedgedSilence)
			writeEvents(w, 1, 3)
		default:
			writeBroken(w, r, text)
		}
	})
	for name := range answers {
		for path, deadline := range hedgedDeadlines() {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				id := strings.ReplaceAll(name, " ", "_") + path
				got := c.sendTimed(http.MethodPost, path, id, deadline)
				if got.err != nil || got.status != http.StatusOK || got.body != pieces(1, 3) || len(a.of(id)) != 2 {
					t.Errorf("status %d, error %v, body %q; at %v; logged: %s", got.status, got.err, got.body, a.of(id), c.logged(id))
				}
			})
		}
	}
}

// cutAnswers returns answers to large requests that hold a part of the events from one with a
// number on, and are cut short within the request, by their names.
func cutAnswers(number int) map[string]earlyAnswer {
	answers := map[string]earlyAnswer{}
	for name, end := range cuttingEnds() {
		for _, part := range []string{fmt.Sprintf("id: %d\ndata: pie", number), pieces(number, number)} {
			answers[fmt.Sprintf("%s, %d bytes", name, len(part))] = earlyAnswer{status: "200 OK", body: part, end: end}
		}
	}
	return answers
}

// TestResetAnswerToAResumeIsNotWhole guards against a stream that ends with a part, since the
// target that continued it reset the connection while a large request was being written.
func TestResetAnswerToAResumeIsNotWhole(t *testing.T) {
	t.Parallel()
	answers := cutAnswers(3)
	c, a := newScriptedCluster(t, 3, 3, func(attempt int, w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		answer, ok := answers[strings.ReplaceAll(name, "_", " ")]
		switch {
		case ok && attempt == 2:
			answer.write(w, r)
			return
		case ok && attempt == 1:
			_, _ = io.Copy(io.Discard, r.Body)
			writeEvents(w, 1, 2)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, last+1, 6)
	})
	c.acceptUploads()
	for way, b := range c.brokenRoutes() {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for name := range answers {
				c.checkUpload(t, a, b.through, strings.ReplaceAll(name+"/"+way, " ", "_"), "/stream/", streamDeadline, pieces(1, 6))
			}
		})
	}
}

// TestResetAnswerToAHedgeIsNotWhole guards against a stream, or another answer, that is taken
// from a part, since the target of the hedge reset the connection while a large request was
// being written.
func TestResetAnswerToAHedgeIsNotWhole(t *testing.T) {
	t.Parallel()
	answers := cutAnswers(1)
	c, a := newScriptedCluster(t, 3, 3, func(attempt int, w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		answer, ok := answers[strings.ReplaceAll(name, "_", " ")]
		if ok && attempt == 2 {
			answer.write(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if ok && attempt == 1 {
			_ = pause(r, hedgedSilence)
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, last+1, 3)
	})
	c.acceptUploads()
	for name := range answers {
		for path, deadline := range hedgedDeadlines() {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				c.checkUpload(t, a, c.instances[0], strings.ReplaceAll(name, " ", "_")+path, path, deadline, pieces(1, 3))
			})
		}
	}
}

// checkUpload sends a large request whose second attempt gets a cut answer. The client has to
// get a whole body.
func (c *testCluster) checkUpload(t *testing.T, a *arrivals, through *instance, id, path string, deadline time.Duration, want string) {
	t.Helper()
	got := c.sendBody(through, http.MethodPost, path, upload(), func(h http.Header) {
		h.Set("Request-Id", id)
		h.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	})
	if got.err != nil || got.status != http.StatusOK || got.body != want || len(a.of(id)) < 2 {
		t.Errorf("%s: status %d, error %v, body %q; at %v; logged: %s", id, got.status, got.err, got.body, a.of(id), c.logged(id))
	}
}
