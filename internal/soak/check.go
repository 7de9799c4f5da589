package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherrelay/platform/platformtest"
)

// receivedRequest is a request that a target received.
type receivedRequest struct {
	platformtest.ReceivedRequest
	target string
}

// String describes the request for violations.
func (r receivedRequest) String() string {
	return fmt.Sprintf("%s %s after event %q ran %t aborted %t", r.At.Format(timeFormat), r.target, r.Header.Get("Last-Event-Id"), r.Ran, r.Aborted)
}

// receivedByID returns the requests that targets received, by request id.
func (c *Cluster) receivedByID() map[string][]receivedRequest {
	byID := map[string][]receivedRequest{}
	for _, t := range c.targets {
		for _, r := range t.ReceivedRequests() {
			id := r.Header.Get("Request-Id")
			byID[id] = append(byID[id], receivedRequest{ReceivedRequest: r, target: t.ID})
		}
	}
	return byID
}

// notRunStatuses are the statuses with which an instance promises that a request did
// not run and will not.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// deadlineMargin is how long before its deadline a request may be given up.
const deadlineMargin = 300 * time.Millisecond

// shownBytes is the length of the end of a body that a violation shows.
const shownBytes = 80

// check compares what clients sent and received with what targets received, and
// returns the violations. Of the requests sent after recovered with keys that were
// not withdrawn, at least the fraction minSuccessRate must succeed.
func (c *Cluster) check(recovered time.Time) []string {
	byID := c.receivedByID()
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	violations := slices.Concat(c.checkCrashes(byID), c.checkLimits(), c.checkBrittle(), c.checkEvacuations(), c.checkCold(), c.checkStreams(), c.checkKept(byID), c.checkProcesses())
	succeeded, total := 0, 0
	for _, r := range c.requests.all {
		violations = append(violations, c.checkRequest(r, byID[r.id])...)
		if loss := c.lossOf(r, len(byID[r.id]) > 0); c.Planned && loss != "" {
			violations = append(violations, r.id+" ("+r.route+") lost: "+loss)
		}
		delete(byID, r.id)
		if _, revoked := c.revokedAt[r.key]; r.at.After(recovered) && !revoked && !r.crashing {
			total++
			if r.status == http.StatusOK && r.complete {
				succeeded++
			}
		}
	}
	for id, received := range byID {
		violations = append(violations, fmt.Sprintf("%s: targets received %d requests with an id that no client sent", id, len(received)))
	}
	for _, t := range c.targets {
		if t.SlotsExceeded() {
			violations = append(violations, t.ID+": ordered to load more adapters than it has slots")
		}
	}
	if float64(succeeded) < minSuccessRate*float64(total) || total == 0 {
		violations = append(violations, fmt.Sprintf("only %d of %d requests succeeded after the faults", succeeded, total))
	}
	c.logf("%d requests; %d of %d succeeded after the faults", len(c.requests.all), succeeded, total)
	return violations
}

// checkRequest returns the violations of one request: changes on its way to a
// target, runs with a withdrawn key, runs beyond what its route or its status allows,
// and a response that looks complete but is not.
func (c *Cluster) checkRequest(r clientRequest, received []receivedRequest) []string {
	runs := 0
	var violations []string
	fail := func(format string, args ...any) {
		violations = append(violations, r.id+" ("+r.route+"): "+fmt.Sprintf(format, args...))
	}
	for _, request := range received {
		if request.Ran {
			runs++
		}
		if request.Body != r.sent || request.URI != "/"+r.route+"/" || request.Header.Get("Key") != "" {
			fail("forwarded with changes: %s %q", request.URI, request.Body)
		}
	}
	if revokedAt, ok := c.revokedAt[r.key]; ok && runs > 0 && r.at.Sub(revokedAt) > keyLimit {
		fail("ran %s after its key was withdrawn", r.at.Sub(revokedAt))
	}
	if !repeatable[r.route] {
		if runs > 1 {
			fail("ran %d times: %v", runs, received)
		}
		if notRunStatuses[r.status] && runs > 0 {
			fail("status %d, although it ran: %v", r.status, received)
		}
	}
	if fault := c.checkResponse(r); fault != "" {
		fail("incomplete response that looks complete: %s", fault)
	}
	return violations
}

// allowedKeptLosses is how many requests from kept connections may be lost.
const allowedKeptLosses = 3

// checkKept returns the violation of the bound on requests from kept connections that a
// sound target ran and whose connection an undisturbed instance closed without a response.
func (c *Cluster) checkKept(byID map[string][]receivedRequest) []string {
	var lost []string
	var timeout net.Error
	for _, r := range c.requests.all {
		timedOut := errors.As(r.err, &timeout) && timeout.Timeout()
		if r.kept && r.err != nil && !timedOut && c.undisturbed(r.instance, r.at.Add(-undisturbedTime), r.at.Add(r.took)) &&
			slices.ContainsFunc(byID[r.id], func(received receivedRequest) bool { return received.Ran && c.sound(received, r) }) {
			lost = append(lost, fmt.Sprintf("%s at %s: %v", r.id, r.instance.ID, r.err))
		}
	}
	if len(lost) > allowedKeptLosses {
		return []string{fmt.Sprintf("LOST: %d requests from kept connections have no response: %v", len(lost), lost)}
	}
	return nil
}

// sound reports whether the target of a request did not end while its client waited.
func (c *Cluster) sound(received receivedRequest, r clientRequest) bool {
	i := slices.IndexFunc(c.targets, func(t *platformtest.Target) bool { return t.ID == received.target })
	return !slices.ContainsFunc(c.targets[i].Crashes(), func(at time.Time) bool { return at.After(r.at) && at.Before(r.at.Add(r.took)) })
}

// memoryLimit is the memory that the platform gives a process, in kilobytes.
const memoryLimit = 284 << 10

// checkProcesses returns the ends of processes that no signal asked for, and the processes
// that had too much memory.
func (c *Cluster) checkProcesses() []string {
	var violations []string
	peak := 0
	for _, p := range c.Processes {
		if peak = max(peak, p.PeakMemory()); p.PeakMemory() > memoryLimit {
			violations = append(violations, fmt.Sprintf("%s had %d kB of memory", p.ID, p.PeakMemory()))
		}
		for _, end := range p.OwnEnds() {
			violations = append(violations, p.ID+" ended by itself: "+end)
		}
	}
	c.logf("an instance had at most %d kB of memory", peak)
	return violations
}

// lossOf returns how a request was lost in a run with planned work; empty if it was
// not. A request that reached a target, or to which an instance began to respond, gets
// a whole response. One that did neither gets a response too, unless its instance was
// being stopped. Requests that were still unanswered at their deadline are not lost.
func (c *Cluster) lossOf(r clientRequest, received bool) string {
	switch {
	case r.complete || r.took > c.deadline()-deadlineMargin:
		return ""
	case r.status != 0:
		return fmt.Sprintf("response of status %d from %s cut after %s: %q", r.status, r.instance.ID, r.took, r.body)
	case received:
		return fmt.Sprintf("no response from %s after %s, although a target received the request: %v", r.instance.ID, r.took, r.err)
	case !c.stopping(r):
		return fmt.Sprintf("no response from %s after %s: %v", r.instance.ID, r.took, r.err)
	}
	return ""
}

// stopping reports whether the request's instance was being stopped at any time of the
// request.
func (c *Cluster) stopping(r clientRequest) bool {
	for _, s := range c.stops[r.instance] {
		if r.at.Before(s.to) && r.at.Add(r.took).After(s.from) {
			return true
		}
	}
	return false
}

// checkResponse returns how a response that looks complete differs from the complete
// response of a target to the request. Streams that clients take up again are checked by
// checkStreams.
func (c *Cluster) checkResponse(r clientRequest) string {
	if r.status != http.StatusOK || !r.complete || r.stream != "" {
		return ""
	}
	isStream := r.route == "stream" || r.route == "draft"
	if c.Incident && isStream {
		fault, _ := checkStream([]clientRequest{r})
		return fault
	}
	want := " answers " + r.id
	if isStream {
		want = ""
		for i := range eventCount {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
		}
	}
	if r.body == want || !isStream && strings.HasSuffix(r.body, want) {
		return ""
	}
	return fmt.Sprintf("...%q", r.body[max(len(r.body)-shownBytes, 0):])
}
