package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"heatherrelay/platform/platformtest"
)

// arrivals returns what targets saw, by request id.
func (w *World) arrivals() map[string][]platformtest.Arrival {
	byID := map[string][]platformtest.Arrival{}
	for _, t := range w.targets {
		for _, a := range t.Arrivals() {
			id := a.Header.Get("Request-Id")
			byID[id] = append(byID[id], a)
		}
	}
	return byID
}

// notRunStatuses promise that a request has not run and will not.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// check returns what was broken, as callers and targets saw it.
func (w *World) check(recovered time.Time) []string {
	byID := w.arrivals()
	w.journal.mu.Lock()
	defer w.journal.mu.Unlock()
	var broken []string
	served, asked := 0, 0
	for _, s := range w.journal.all {
		broken = append(broken, w.checkOne(s, byID[s.id])...)
		delete(byID, s.id)
		if _, withdrawn := w.revoked[s.key]; s.at.After(recovered) && !withdrawn {
			asked++
			if s.status == http.StatusOK && s.whole {
				served++
			}
		}
	}
	for id, arrivals := range byID {
		broken = append(broken, fmt.Sprintf("%s: %d arrivals of a request that nobody sent", id, len(arrivals)))
	}
	for _, t := range w.targets {
		if t.Overfull() {
			broken = append(broken, t.ID+": ordered to hold more than it can")
		}
	}
	if float64(served) < leastServed*float64(asked) || asked == 0 {
		broken = append(broken, fmt.Sprintf("after the faults %d of %d requests were served", served, asked))
	}
	w.say("%d requests; after the faults %d of %d served", len(w.journal.all), served, asked)
	return broken
}

// checkOne checks what became of one request.
func (w *World) checkOne(s sent, arrivals []platformtest.Arrival) []string {
	runs := 0
	var broken []string
	fail := func(format string, args ...any) {
		broken = append(broken, s.id+" ("+s.route+"): "+fmt.Sprintf(format, args...))
	}
	for _, a := range arrivals {
		if a.Ran {
			runs++
		}
		if a.Body != "body of "+s.id || a.URI != "/"+s.route+"/" || a.Header.Get("Key") != "" {
			fail("changed on the way: %s %q", a.URI, a.Body)
		}
	}
	if withdrawn, ok := w.revoked[s.key]; ok && runs > 0 && s.at.Sub(withdrawn) > keyLimit {
		fail("ran %s after its key was withdrawn", s.at.Sub(withdrawn))
	}
	if !repeatable[s.route] {
		if runs > 1 {
			fail("ran %d times", runs)
		}
		if notRunStatuses[s.status] && runs > 0 {
			fail("status %d, and ran", s.status)
		}
	}
	if s.status == http.StatusOK && s.whole && !wholeAnswer(s) {
		fail("not the whole answer: %q", s.body)
	}
	return broken
}

// wholeAnswer says whether a body is the whole answer of a target.
func wholeAnswer(s sent) bool {
	if s.route != "stream" && s.route != "draft" {
		return strings.HasSuffix(s.body, " answers "+s.id)
	}
	var want strings.Builder
	for i := range eventCount {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return s.body == want.String()
}
