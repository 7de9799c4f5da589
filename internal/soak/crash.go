package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherrelay/platform/platformtest"
)

// The prompts, crashes and limits of runs with Cluster.Crashes.
const (
	crashingPart = "bad0"
	// crashingRequests is the mean number of requests for an engine of which one has
	// crashingPart, soundParts the number of parts that the others share.
	crashingRequests = 12
	soundParts       = 5
	crashDowntime    = time.Second
	crashAnswerDelay = 30 * time.Millisecond
	// boundedCrashes is the crash from which maxCrashingRequests bounds the requests
	// with the part that reach engines later than undisturbedTime after it.
	boundedCrashes      = 5
	maxCrashingRequests = 3
	// repeatedBody is the body of a request on repeatedRoute, with repeatedKey, that crashes
	// engines and is sent again and again, once in repeatedRequests requests on the route. From its boundedRepeatCrashes-th
	// crash on, maxRepeats bounds its repeats in the same way.
	repeatedBody         = "the request that crashes engines"
	repeatedRoute        = "stream"
	repeatedKey          = "key-0"
	repeatedRequests     = 8
	boundedRepeatCrashes = 3
	maxRepeats           = 3
	// undisturbedTime is how long an instance must have been undisturbed to be held to a
	// bound, and how long it may take to apply one.
	undisturbedTime = 3 * time.Second
	// statedLimit is the limit of a limited target, in requests a second. In any
	// limitWindow, limitTolerance times as many and limitExtra more may arrive.
	statedLimit    = 2.0
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
	limitDuration  = 8 * time.Second
	// crashFaultPause is added to the time between two faults, so that instances are
	// undisturbed for long enough to be held to the bounds.
	crashFaultPause = 1200 * time.Millisecond
)

// limited is a time in which a target states a limit.
type limited struct {
	target   *platformtest.Target
	from, to time.Time
}

// limitFault has a plain target, which does not crash, state a limit for a while.
var limitFault = fault{"a target states a limit", func(c *Cluster, random *rand.Rand) {
	t := c.targets[engineCount+random.IntN(plainTargetCount)]
	if _, already := c.limitedNow.LoadOrStore(t, true); already {
		return
	}
	defer c.limitedNow.Delete(t)
	l := limited{target: t, from: time.Now()}
	t.Inject(func(t *platformtest.Target) { t.Limit = strconv.FormatFloat(statedLimit, 'f', -1, 64) })
	time.Sleep(limitDuration)
	t.Inject(func(t *platformtest.Target) { t.Limit = "" })
	l.to = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = append(c.limits, l)
}}

// crashFaults are the faults of a run with Cluster.Crashes, beside the crashes: those
// that disturb one instance or the store, and ends of connections that are no crash.
var crashFaults = []fault{killFault, stopFault, silenceFault, loseFault, breakFault, storeFault, limitFault, limitFault, brittleFault}

// disturb records that an instance, or with nil the store, is disturbed from now until
// the returned function is called.
func (c *Cluster) disturb(p *Process) (end func()) {
	from := time.Now()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances[p] = append(c.disturbances[p], stop{from: from, to: time.Now()})
	}
}

// undisturbed reports whether neither an instance nor the store was disturbed between two
// moments.
func (c *Cluster) undisturbed(p *Process, from, to time.Time) bool {
	overlaps := func(s stop) bool { return s.from.Before(to) && s.to.After(from) }
	return !slices.ContainsFunc(c.disturbances[p], overlaps) && !slices.ContainsFunc(c.disturbances[nil], overlaps)
}

// setPrompt sets the parts of the prompt of a request for an engine. It reports whether
// one of them crashes engines.
func (c *Cluster) setPrompt(h http.Header, random *rand.Rand, id string) bool {
	crashing := random.IntN(crashingRequests) == 0
	part := fmt.Sprint("sound", random.IntN(soundParts))
	if crashing {
		part = crashingPart
	}
	h.Set("Prompt-Prefix", fmt.Sprintf("first:60,%s:20,own-%s:20", part, id))
	return crashing
}

// checkCrashes returns the violations of the bounds on requests that crash engines.
func (c *Cluster) checkCrashes(byID map[string][]receivedRequest) []string {
	var all, repeated []time.Time
	for _, t := range c.targets {
		all = append(all, t.Crashes()...)
		repeated = append(repeated, t.BodyCrashes()...)
	}
	c.logf("%d crashes of engines, %d by one request", len(all), len(repeated))
	return append(
		c.checkLate(byID, all, boundedCrashes, maxCrashingRequests, "with the part", func(r clientRequest) bool { return r.crashing && !r.repeated }),
		c.checkLate(byID, repeated, boundedRepeatCrashes, maxRepeats, "that are repeats", func(r clientRequest) bool { return r.repeated })...)
}

// checkLate returns the violation of the bound on requests that reach engines later than
// undisturbedTime after a crash, counted from 1.
func (c *Cluster) checkLate(byID map[string][]receivedRequest, crashes []time.Time, bounded, most int, which string, counts func(clientRequest) bool) []string {
	if len(crashes) < bounded {
		return nil
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[bounded-1].Add(undisturbedTime)
	late := 0
	for _, r := range c.requests.all {
		if counts(r) && r.at.After(from) && c.undisturbed(r.instance, r.at.Add(-undisturbedTime), r.at) {
			late += len(byID[r.id])
		}
	}
	if late > most {
		return []string{fmt.Sprintf("%d requests %s reached engines later than %s after crash %d, %d crashes in all", late, which, undisturbedTime, bounded, len(crashes))}
	}
	return nil
}

// checkLimits returns the violations of the limits that targets stated.
func (c *Cluster) checkLimits() []string {
	instances := c.instanceByID()
	allowed := int(statedLimit*limitWindow.Seconds()*limitTolerance + limitExtra)
	var violations []string
	for _, l := range c.limits {
		var times []time.Time
		for _, r := range l.target.ReceivedRequests() {
			p := instances[r.Header.Get("Request-Id")]
			if p != nil && r.At.After(l.from.Add(undisturbedTime)) && r.At.Before(l.to) && c.undisturbed(p, l.from, r.At) {
				times = append(times, r.At)
			}
		}
		if n := mostWithin(limitWindow, times); n > allowed {
			violations = append(violations, fmt.Sprintf("%s: %d requests within %s, its limit allows %d", l.target.ID, n, limitWindow, allowed))
		}
		c.logf("%s was limited for %s", l.target.ID, l.to.Sub(l.from))
	}
	return violations
}

// mostWithin returns the largest number of times within a window.
func mostWithin(window time.Duration, times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := range times {
		end, _ := slices.BinarySearchFunc(times, first.Add(window), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}
