package gatewayinstance_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
)

// newWeighingCluster starts a scripted cluster whose first instance weighs the speeds of
// targets.
func newWeighingCluster(t *testing.T, targets int, answer script) (*testCluster, *arrivals) {
	t.Helper()
	c, a := newScriptedCluster(t, targets, 2, answer)
	for _, route := range c.config.Routes {
		route["target-latency-ms"] = 300
	}
	c.config.Version++
	c.config.Publish(c.store)
	weighing := c.startInstanceWith(func(i *gatewayinstance.Instance) { i.Settings.Decisions.Speeds = gatewayinstance.ModeOn })
	c.instances[0], c.instances[1] = weighing, c.instances[0]
	return c, a
}

// TestSlowMomentOfATargetIsHedgedWithinTheObjective covers targets that take 20 ms, and then
// 1.5 s for the first attempt of some requests: an idempotent request is answered by
// another target soon after the objective of 300 ms, one that may run once only is sent once.
func TestSlowMomentOfATargetIsHedgedWithinTheObjective(t *testing.T) {
	var slow atomic.Bool
	c, a := newWeighingCluster(t, 3, func(attempt int, w http.ResponseWriter, r *http.Request) {
		if slow.Load() && attempt == 1 {
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprint(w, "answer")
	})
	for i := range 40 {
		if r := c.sendTimed(http.MethodGet, "/read/", fmt.Sprint("usual-", i), 4*time.Second); r.status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
	}
	slow.Store(true)
	for i := range 3 {
		id := fmt.Sprint("slow-", i)
		r := c.sendTimed(http.MethodGet, "/read/", id, 4*time.Second)
		if r.status != http.StatusOK || r.after > time.Second || len(a.of(id)) != 2 {
			t.Errorf("%s: status %d after %s, attempts at %v", id, r.status, r.after, a.of(id))
		}
	}
	r := c.sendTimed(http.MethodPost, "/post/", "once", 4*time.Second)
	if r.status != http.StatusOK || len(a.of("once")) != 1 {
		t.Errorf("once: status %d, attempts at %v", r.status, a.of("once"))
	}
	if failed := c.logs.FilterMessage("target failed a request").Len(); failed > 0 {
		t.Errorf("%d answers count as failures for being slow", failed)
	}
}

// TestSlowTargetIsLearnedFromAnswers covers a target that takes six times as long as the two
// beside it: after some requests it gets clearly fewer than its third, and its slowness is a
// metric after its answers; a target that gets no requests is tried again.
func TestSlowTargetIsLearnedFromAnswers(t *testing.T) {
	var known atomic.Pointer[arrivals]
	c, a := newWeighingCluster(t, 3, func(_ int, w http.ResponseWriter, r *http.Request) {
		if a := known.Load(); a != nil && slices.Contains(a.of(r.Header.Get("Request-Id")), "scripted-1") {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprint(w, "answer")
	})
	known.Store(a)
	slowness := 0.0
	readMetric := func() {
		families, err := c.instances[0].registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			for _, m := range f.GetMetric() {
				if f.GetName() == "heatherrelay_gateway_target_slowness" && m.GetLabel()[0].GetValue() == "scripted-1" {
					slowness = max(slowness, m.GetGauge().GetValue())
				}
			}
		}
	}
	// Requests at the same time go to all three: less than two known targets beside the slow one
	// leave open which of them is usual.
	for round := range 20 {
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() {
				id := fmt.Sprintf("learning-%d-%d", round, n)
				if r := c.sendTimed(http.MethodGet, "/read/", id, 4*time.Second); r.status != http.StatusOK {
					t.Errorf("%s: %+v", id, r)
				}
			})
		}
		group.Wait()
		readMetric()
	}
	slow := 0
	for i := range 60 {
		id := fmt.Sprint("learned-", i)
		if r := c.sendTimed(http.MethodPost, "/post/", id, 4*time.Second); r.status != http.StatusOK {
			t.Errorf("%s: %+v", id, r)
		}
		if slices.Contains(a.of(id), "scripted-1") {
			slow++
		}
		readMetric()
	}
	if slow > 6 {
		t.Errorf("the slow target gets %d of 60 requests", slow)
	}
	if slowness < 1.3 {
		t.Errorf("the slow target's metric says %.2f at most", slowness)
	}
}
