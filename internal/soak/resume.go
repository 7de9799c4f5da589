package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxTakeUps is how often a client takes a stream up again.
	maxTakeUps = 3
	// A client tries again after at least minTakeUpPause, at most maxTakeUpPause. One in
	// patientClients waits patience longer, until instances that were killed are back for
	// some time.
	minTakeUpPause = 100 * time.Millisecond
	maxTakeUpPause = 600 * time.Millisecond
	patience       = 3500 * time.Millisecond
	patientClients = 2
	// leastRemaining is the least part of its deadline that a client tries again for.
	leastRemaining = 2 * time.Second
)

// takeUp asks again for a stream that broke off or did not begin, after the last event that
// the client has: as another request, on a new connection, mostly at another instance. It
// names the attempt that brought the first event.
func (c *client) takeUp(first clientRequest) {
	latest, resumed, last := first, "", 0
	for range maxTakeUps {
		if events, _ := parseEvents(latest.body); latest.status == http.StatusOK && len(events) > 0 {
			if resumed == "" {
				resumed = latest.id
			}
			last = events[len(events)-1].id
		}
		if latest.final() {
			return
		}
		time.Sleep(c.takeUpPause(latest))
		remaining := c.cluster.deadline() - time.Since(first.at)
		if remaining < leastRemaining {
			return
		}
		latest = clientRequest{id: c.cluster.requests.newID(c.cluster.Seed), stream: first.stream, route: first.route, key: first.key, sent: first.sent,
			instance: c.runningProcess(), at: time.Now(), remaining: remaining, after: last, resumes: resumed}
		own := &client{cluster: c.cluster, random: c.random, http: c.cluster.newHTTPClient()}
		latest = own.attempt(latest)
		own.http.CloseIdleConnections()
	}
}

// final reports whether a client does not try again after the attempt.
func (r clientRequest) final() bool {
	switch r.status {
	case http.StatusOK:
		return r.complete
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
		return true
	}
	return false
}

// takeUpPause returns how long the client waits after an attempt.
func (c *client) takeUpPause(latest clientRequest) time.Duration {
	pause := max(minTakeUpPause+time.Duration(c.random.Int64N(int64(maxTakeUpPause-minTakeUpPause))), latest.retryAfter)
	if latest.status == http.StatusOK && c.random.IntN(patientClients) == 0 {
		pause += patience
	}
	return pause
}

// runningProcess returns a random instance that runs, if there is one.
func (c *client) runningProcess() *Process {
	p := c.cluster.randomProcess(c.random)
	for range 2 * len(c.cluster.Processes) {
		if p.running() {
			break
		}
		p = c.cluster.randomProcess(c.random)
	}
	return p
}

// setTakeUp sets the headers of an attempt to take a stream up again.
func (r clientRequest) setTakeUp(h http.Header) {
	if r.after > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(r.after))
		h.Set("Resumes", r.resumes)
	}
}

// event is an event of a stream, of an engine of some software version.
type event struct {
	id      int
	version string
}

// parseEvents returns the whole events of a body, and the bytes after them.
func parseEvents(body string) (events []event, rest string) {
	for {
		text, after, whole := strings.Cut(body, "\n\n")
		if !whole {
			return events, body
		}
		var e event
		var piece int
		if n, _ := fmt.Sscanf(text, "id: %d\ndata: piece %d of %s", &e.id, &piece, &e.version); n < 2 {
			return events, body
		}
		if piece != e.id {
			return events, body
		}
		events, body = append(events, e), after
	}
}
