package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// allowedJoined is how many streams may hold events of two software versions.
	allowedJoined = 2
	// Of leastTakenUp or more streams that are taken up again, the share that goes on must
	// be at least leastShare of that of new streams that begin.
	leastTakenUp = 12
	leastShare   = 0.5
	// leastEngines is the number of ready engines of its version that a stream needs to be
	// counted. They must be ready from undisturbedTime before the attempt until some time
	// after it.
	leastEngines = 2
	readyAfter   = time.Second
	// takeUpWindow is the time after many instances were killed and have been back for
	// undisturbedTime that is judged by itself.
	takeUpWindow = 5 * time.Second
)

// checkStreams returns the violations of what clients received over all their attempts at
// a stream, and of the share of streams that go on.
func (c *Cluster) checkStreams() []string {
	byStream := map[string][]clientRequest{}
	for _, r := range c.requests.all {
		if r.stream != "" {
			byStream[r.stream] = append(byStream[r.stream], r)
		}
	}
	var violations, joined []string
	for _, stream := range slices.Sorted(maps.Keys(byStream)) {
		attempts := byStream[stream]
		slices.SortFunc(attempts, func(a, b clientRequest) int { return a.at.Compare(b.at) })
		fault, versions := checkStream(attempts)
		if fault != "" {
			violations = append(violations, "ORDER: stream "+stream+": "+fault)
		}
		if len(versions) > 1 {
			joined = append(joined, fmt.Sprintf("%s of %v", stream, versions))
		}
	}
	if len(joined) > allowedJoined {
		violations = append(violations, fmt.Sprintf("ORDER: %d streams hold events of two versions: %v", len(joined), joined))
	}
	c.logf("%d streams, %d of two versions: %v", len(byStream), len(joined), joined)
	violations = append(violations, c.checkShare("the whole run", time.Time{}, time.Now())...)
	for i, back := range c.herdKills {
		from := back.Add(undisturbedTime)
		if i+1 < len(c.herdKills) && c.herdKills[i+1].Before(from) {
			continue
		}
		violations = append(violations, c.checkShare("after the kills until "+back.Format(time.TimeOnly), from, from.Add(takeUpWindow))...)
	}
	return violations
}

// checkStream returns what is wrong with a client's attempts at a stream, and the versions
// of the engines that its events are from.
func checkStream(attempts []clientRequest) (fault string, versions []string) {
	last := 0
	for _, r := range attempts {
		if r.status != http.StatusOK {
			continue
		}
		events, rest := parseEvents(r.body)
		for _, e := range events {
			if e.id != last+1 && fault == "" {
				fault = fmt.Sprintf("event %d after event %d in %s", e.id, last, r.id)
			}
			last = e.id
			if !slices.Contains(versions, e.version) {
				versions = append(versions, e.version)
			}
		}
		if strings.Contains(rest, "\n\n") {
			fault = fmt.Sprintf("%s holds %.200q after event %d", r.id, rest, last)
		}
		if len(versions) > 1 && r.stream == "" {
			fault = fmt.Sprintf("%s holds events of %v", r.id, versions)
		}
		if r.complete && (rest != "" || last != incidentEvents) {
			fault = fmt.Sprintf("%s looks complete after event %d and %.200q", r.id, last, rest)
		}
	}
	return fault, versions
}

// checkShare returns the violation of the least share of streams that go on, of those that
// clients took up again between two moments. A stream counts once, however often its client
// tries.
func (c *Cluster) checkShare(when string, from, to time.Time) []string {
	takenUp, fresh := map[string]bool{}, map[string]bool{}
	for _, r := range c.requests.all {
		_, revoked := c.revokedAt[r.key]
		if r.stream == "" || revoked || r.at.Before(from) || r.at.After(to) || !c.undisturbed(r.instance, r.at.Add(-undisturbedTime), r.at.Add(r.took)) {
			continue
		}
		events, _ := parseEvents(r.body)
		got := r.status == http.StatusOK && (len(events) > 0 || r.complete)
		switch {
		case r.after == 0:
			fresh[r.stream] = fresh[r.stream] || got
		case c.servedBy(c.versionOf(r.resumes), r.at) >= leastEngines:
			takenUp[r.stream] = takenUp[r.stream] || got
		}
	}
	wentOn, began := count(takenUp), count(fresh)
	summary := fmt.Sprintf("%s: of %d streams taken up again %d went on, of %d new ones %d began", when, len(takenUp), wentOn, len(fresh), began)
	c.logf("%s", summary)
	if len(fresh) > 0 && len(takenUp) >= leastTakenUp && float64(wentOn)/float64(len(takenUp)) < leastShare*float64(began)/float64(len(fresh)) {
		return []string{"LOST: " + summary}
	}
	return nil
}

// count returns the number of streams that are set.
func count(streams map[string]bool) int {
	n := 0
	for _, set := range streams {
		if set {
			n++
		}
	}
	return n
}

// versionOf returns the version of the engine that sent the first event of an attempt.
func (c *Cluster) versionOf(id string) string {
	i := slices.IndexFunc(c.requests.all, func(r clientRequest) bool { return r.id == id })
	if events, _ := parseEvents(c.requests.all[i].body); len(events) > 0 {
		return events[0].version
	}
	return ""
}

// servedBy returns the number of engines of a version that are ready around a moment.
func (c *Cluster) servedBy(version string, at time.Time) int {
	count := 0
	from, to := at.Add(-undisturbedTime), at.Add(readyAfter)
	for _, e := range c.engines {
		crashed := slices.ContainsFunc(e.Crashes(), func(crash time.Time) bool { return crash.After(from) && crash.Before(to) })
		if e.SoftwareVersion == version && e.from.Before(from) && (e.to.IsZero() || e.to.After(to)) && !crashed {
			count++
		}
	}
	return count
}
