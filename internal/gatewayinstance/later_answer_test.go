package gatewayinstance_test

import (
	"net/http"
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
		for path, deadline := range map[string]time.Duration{"/stream/": streamDeadline, "/read/": 4 * time.Second} {
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
