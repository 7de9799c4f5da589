package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrelay/platform/platformtest"
)

// The evacuations and cold targets of runs with Cluster.Evacuations.
const (
	// evacuationLimit is the instances' setting evacuation_limit. The longest evacuation
	// lasts maxEvacuation longer.
	evacuationLimit = 3 * time.Second
	maxEvacuation   = 4 * time.Second
	// coldTime is how long a target is cold, coldRate how many requests a second it tolerates
	// meanwhile. In any second coldTolerance times as many and coldExtra more may arrive.
	coldTime      = 6 * time.Second
	coldRate      = 4.0
	coldTolerance = 1.5
	coldExtra     = 4
	// coldLearnTime is how long instances may take to learn that a running target is cold.
	coldLearnTime = 3 * time.Second
)

// evacuationSettings are the settings of the instances of runs with Cluster.Evacuations.
var evacuationSettings = fmt.Sprintf("evacuation_limit = \"%s\"\ncold_over = %g\ncold_slack = %d\n", evacuationLimit, coldTolerance, coldExtra)

// evacuation is a time in which a zone was evacuated.
type evacuation struct {
	zone     string
	from, to time.Time
}

// coldTimes is a time in which a target was cold and instances are held to its limit.
type coldTimes struct {
	target   *platformtest.Target
	from, to time.Time
}

// evacuationFault evacuates a zone for a while. Its targets are cold at the end.
var evacuationFault = fault{"a zone is evacuated", func(c *Cluster, random *rand.Rand) {
	zone := fmt.Sprintf("zone-%d", random.IntN(engineCount))
	if _, already := c.evacuatedNow.LoadOrStore(zone, true); already {
		return
	}
	defer c.evacuatedNow.Delete(zone)
	c.store.Put("evacuations", zone, struct{}{})
	e := evacuation{zone: zone, from: time.Now()}
	time.Sleep(evacuationLimit + time.Duration(random.Int64N(int64(maxEvacuation))))
	targets := slices.DeleteFunc(slices.Clone(c.targets), func(t *platformtest.Target) bool { return t.Zone != zone })
	e.to = time.Now()
	for _, t := range targets {
		c.setCold(t, coldTime)
	}
	c.store.Delete("evacuations", zone)
	c.mu.Lock()
	c.evacuations = append(c.evacuations, e)
	c.mu.Unlock()
	c.warmUp(targets, time.Now())
}}

// coldFault has a running target turn cold.
var coldFault = fault{"a target turns cold", func(c *Cluster, random *rand.Rand) {
	t := c.randomTarget(random)
	if _, already := c.evacuatedNow.LoadOrStore(t.Zone, true); already {
		return
	}
	defer c.evacuatedNow.Delete(t.Zone)
	c.setCold(t, coldTime)
	c.warmUp([]*platformtest.Target{t}, time.Now().Add(coldLearnTime))
}}

// evacuationFaults are the faults of a run with Cluster.Evacuations: those that disturb one
// instance or the store, and evacuations and cold targets beside them.
var evacuationFaults = []fault{killFault, stopFault, silenceFault, loseFault, breakFault, storeFault, evacuationFault, evacuationFault, coldFault}

// setCold has the entry of a target state how long it stays cold.
func (c *Cluster) setCold(t *platformtest.Target, remaining time.Duration) {
	t.Inject(func(t *platformtest.Target) { t.ColdRemaining = remaining })
	t.Register(c.store, "ready")
}

// warmUp waits until cold targets are warm. Instances are held to their limits from a moment on.
func (c *Cluster) warmUp(targets []*platformtest.Target, from time.Time) {
	time.Sleep(coldTime)
	to := time.Now()
	c.mu.Lock()
	for _, t := range targets {
		c.colds = append(c.colds, coldTimes{target: t, from: from, to: to})
	}
	c.mu.Unlock()
	for _, t := range targets {
		c.setCold(t, 0)
	}
}

// checkEvacuations returns the violations of evacuations: requests that undisturbed instances
// sent to the targets of a zone later than evacuationLimit after its evacuation.
func (c *Cluster) checkEvacuations() []string {
	instances := c.instanceByID()
	var violations []string
	for _, e := range c.evacuations {
		for _, t := range c.targets {
			for _, r := range t.ReceivedRequests() {
				p := instances[r.Header.Get("Request-Id")]
				if t.Zone == e.zone && p != nil && r.At.After(e.from.Add(evacuationLimit)) && r.At.Before(e.to) && c.undisturbed(p, r.At.Add(-undisturbedTime), r.At) {
					violations = append(violations, fmt.Sprintf("%s: %s sent %s to %s, %s after the evacuation of its zone", r.At.Format(timeFormat), p.ID, r.Header.Get("Request-Id"), t.ID, r.At.Sub(e.from)))
				}
			}
		}
		c.logf("%s was evacuated for %s", e.zone, e.to.Sub(e.from))
	}
	return violations
}

// checkCold returns the violations of the limits of cold targets.
func (c *Cluster) checkCold() []string {
	instances := c.instanceByID()
	allowed := int(coldRate*coldTolerance + coldExtra)
	var violations []string
	for _, l := range c.colds {
		var times []time.Time
		for _, r := range l.target.ReceivedRequests() {
			p := instances[r.Header.Get("Request-Id")]
			if p != nil && r.At.After(l.from) && r.At.Before(l.to) && c.undisturbed(p, l.from.Add(-undisturbedTime), r.At) {
				times = append(times, r.At)
			}
		}
		n := mostWithin(time.Second, times)
		if n > allowed {
			violations = append(violations, fmt.Sprintf("%s: %d requests within a second while it was cold, %d are allowed", l.target.ID, n, allowed))
		}
		c.logf("%s was cold, at most %d requests within a second", l.target.ID, n)
	}
	return violations
}

// instanceByID returns the instance that each request was sent to.
func (c *Cluster) instanceByID() map[string]*Process {
	instances := map[string]*Process{}
	for _, r := range c.requests.all {
		instances[r.id] = r.instance
	}
	return instances
}
