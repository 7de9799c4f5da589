package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"heatherrelay/platform/platformtest"
)

// The brittle targets of runs with Cluster.Crashes.
const (
	// bearableRejections is what a brittle target bears in a second, brittleRoom the number
	// of requests that it takes at the same time, brittleWork how long it works on one.
	bearableRejections = 2
	brittleRoom        = 1
	brittleWork        = 80 * time.Millisecond
	brittleDuration    = 8 * time.Second
	// maxFalls and fallShare bound the falls of a service's brittle targets: maxFalls and
	// one more for each fallShare of them.
	maxFalls  = 2
	fallShare = 10
)

// brittleTime is a time in which the plain targets were brittle.
type brittleTime struct{ from, to time.Time }

// brittleFault has all plain targets be brittle for a while, with little room.
var brittleFault = fault{"the plain targets are brittle", func(c *Cluster, _ *rand.Rand) {
	if !c.brittleNow.TryLock() {
		return
	}
	defer c.brittleNow.Unlock()
	b := brittleTime{from: time.Now()}
	c.setBrittle(bearableRejections, brittleRoom, brittleWork)
	time.Sleep(brittleDuration)
	c.setBrittle(0, 0, 0)
	b.to = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brittleTimes = append(c.brittleTimes, b)
}}

func (c *Cluster) setBrittle(rejections, room int, work time.Duration) {
	for _, t := range c.targets[engineCount:] {
		t.Inject(func(t *platformtest.Target) {
			t.Brittle, t.Room, t.AnswerDelay, t.Downtime, t.CrashStore = rejections, room, work, crashDowntime, c.store
		})
	}
}

// checkBrittle returns the violations of the bound on falls of brittle targets.
func (c *Cluster) checkBrittle() []string {
	var violations []string
	allowed := maxFalls + plainTargetCount/fallShare
	for _, b := range c.brittleTimes {
		falls := 0
		for _, t := range c.targets[engineCount:] {
			for _, at := range t.Crashes() {
				if at.After(b.from.Add(undisturbedTime)) && at.Before(b.to) {
					falls++
				}
			}
		}
		c.logf("%d falls of brittle targets in %s", falls, b.to.Sub(b.from))
		if falls > allowed {
			violations = append(violations, fmt.Sprintf("%d falls of %d brittle targets, %d are allowed", falls, plainTargetCount, allowed))
		}
	}
	return violations
}
