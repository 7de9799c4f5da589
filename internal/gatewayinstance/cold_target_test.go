package gatewayinstance_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/platform/platformtest"
)

const (
	// A cold target tolerates testColdRate requests a second; at most testColdMost may arrive
	// in any one.
	testColdRate  = 4
	testColdOver  = 1.5
	testColdSlack = 4
	testColdMost  = testColdRate*testColdOver + testColdSlack
	testColdTime  = 3 * time.Second
)

// newColdCluster starts a platform whose services bound the requests to cold targets, and
// instances that obey this.
func newColdCluster(t *testing.T, instances int) *testCluster {
	t.Helper()
	c := newTestCluster(t, 0)
	c.config.Version, c.config.ColdStartS, c.config.ColdPerS = 2, testColdTime.Seconds(), testColdRate
	c.config.Publish(c.store)
	c.evacuationLimit = evacuationLimit
	for range instances {
		c.startInstanceWith(func(i *gatewayinstance.Instance) {
			i.Settings.ColdOver, i.Settings.ColdSlack = testColdOver, testColdSlack
		})
	}
	c.waitForPeers()
	return c
}

// mostInOneSecond returns the largest number of requests that reached a target within a second
// in a span of time.
func mostInOneSecond(target *platformtest.Target, from, to time.Time) int {
	var times []time.Time
	for _, r := range target.ReceivedRequests() {
		if r.At.After(from) && r.At.Before(to) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := range times {
		n := len(times[i:])
		if end := slices.IndexFunc(times[i:], func(at time.Time) bool { return at.Sub(first) > time.Second }); end >= 0 {
			n = end
		}
		most = max(most, n)
	}
	return most
}

// TestColdTargetGetsFewRequests guards against a burst at a target that has just started: it
// has the fewest requests in flight, so that all instances choose it.
func TestColdTargetGetsFewRequests(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 3)
	c.sendFor(time.Second, 5*time.Millisecond, http.MethodGet, "/read/", nil)
	started := &platformtest.Target{ID: "plain-2", Service: platformtest.PlainService, Zone: testZone, ColdRemaining: testColdTime}
	started.Start()
	t.Cleanup(started.Close)
	startedAt := time.Now()
	started.Register(c.store, "ready")
	c.sendFor(testColdTime, 5*time.Millisecond, http.MethodGet, "/read/", nil)
	if most := mostInOneSecond(started, startedAt, startedAt.Add(testColdTime)); most > testColdMost || most == 0 {
		t.Errorf("%d requests within a second at a cold target, want some and at most %g", most, float64(testColdMost))
	}
	c.waitFor("full use of the warm target", func() bool {
		from := time.Now()
		c.sendFor(500*time.Millisecond, 5*time.Millisecond, http.MethodGet, "/read/", nil)
		return mostInOneSecond(started, from, time.Now()) > testColdMost
	})
}

// TestZoneBackFromAnEvacuationIsRampedUp guards against all callers at once at targets that
// turned cold while their zone was evacuated. What these do not bear is refused at once with
// the time at which there is room.
func TestZoneBackFromAnEvacuationIsRampedUp(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 2)
	c.sendFor(500*time.Millisecond, 10*time.Millisecond, http.MethodGet, "/read/", nil)
	c.evacuate(testZone)
	for _, i := range c.instances {
		c.waitFor("evacuation in force", func() bool { return i.evacuated(t, testZone) })
	}
	c.store.Delete(evacuationKind, testZone)
	endedAt := time.Now()
	served := c.sendFor(testColdTime, 5*time.Millisecond, http.MethodGet, "/read/", nil)
	if most := mostInOneSecond(c.plain, endedAt, endedAt.Add(testColdTime)); most > testColdMost {
		t.Errorf("%d requests within a second at a cold target, want at most %g", most, float64(testColdMost))
	}
	if served == 0 {
		t.Error("no request was served while the zone warmed up")
	}
	got := c.send(http.MethodGet, "/read/", nil)
	if got.status != http.StatusOK && got.header.Get("Retry-After") == "" {
		t.Errorf("status %d without a time to come back: %s", got.status, got.body)
	}
	c.waitFor("full use of the warm zone", func() bool {
		for range int(2 * testColdMost) {
			if c.send(http.MethodGet, "/read/", nil).status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
