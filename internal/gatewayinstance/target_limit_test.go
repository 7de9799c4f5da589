package gatewayinstance_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

const (
	// limitLearnTime is the time after a target first names a limit from which it holds.
	limitLearnTime = 3 * time.Second
	// limitWindow is the time over which requests are counted; of what a limit allows in
	// it, limitTolerance times as many and limitExtra more may arrive.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
	testLimit      = 1.5
)

// sendFor sends requests through random instances for a time, one every interval, and
// waits for the answers. It returns how many succeeded.
func (c *testCluster) sendFor(d, interval time.Duration, method, path string, edit func(http.Header)) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	succeeded := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		group.Add(1)
		go func() {
			defer group.Done()
			got := c.sendThrough(c.instances[rand.IntN(len(c.instances))], method, path, edit)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				succeeded++
			}
		}()
	}
	group.Wait()
	return succeeded
}

// mostInWindow returns the largest number of requests that reached a target within a
// limitWindow after a moment.
func mostInWindow(target *platformtest.Target, after time.Time) int {
	var times []time.Time
	for _, r := range target.ReceivedRequests() {
		if r.At.After(after) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func setLimit(target *platformtest.Target, limit string) {
	target.Inject(func(t *platformtest.Target) { t.Limit = limit })
}

// checkLimit checks that no more requests reached a target than testLimit allows, from
// limitLearnTime after a moment, and that some did.
func checkLimit(t *testing.T, target *platformtest.Target, named time.Time) {
	t.Helper()
	allowed := int(testLimit*limitWindow.Seconds()*limitTolerance + limitExtra)
	n := mostInWindow(target, named.Add(limitLearnTime))
	if n > allowed {
		t.Errorf("%s: %d requests within %s, at most %d are allowed", target.ID, n, limitWindow, allowed)
	}
	if n == 0 {
		t.Errorf("%s: no requests although its limit allows some", target.ID)
	}
}

// TestRequestsStayWithinLimitOfTarget guards against more requests, of all instances
// together, than a target states that it takes: as single requests, retries and
// streams, and after an instance has started again.
func TestRequestsStayWithinLimitOfTarget(t *testing.T) {
	for name, send := range map[string]func(*testCluster, time.Duration) int{
		"idempotent": func(c *testCluster, d time.Duration) int {
			return c.sendFor(d, 10*time.Millisecond, http.MethodGet, "/read/", nil)
		},
		"streams": func(c *testCluster, d time.Duration) int {
			return c.sendFor(d, 10*time.Millisecond, http.MethodPost, "/stream/", withModel)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t, 4)
			limited, other := cluster.plain, cluster.startTarget(platformtest.PlainService, "plain-2")
			if name == "streams" {
				limited, other = cluster.engine1, cluster.engine2
			}
			send(cluster, time.Second)
			named := time.Now()
			setLimit(limited, strconv.FormatFloat(testLimit, 'f', -1, 64))
			send(cluster, limitLearnTime+limitWindow/2)
			cluster.instances[0].stopAndWait(t)
			cluster.startInstance()
			cluster.instances = cluster.instances[1:]
			before := len(other.ReceivedRequests())
			succeeded := send(cluster, limitWindow)
			checkLimit(t, limited, named)
			if sent := int(limitWindow / (10 * time.Millisecond)); succeeded < sent/2 {
				t.Errorf("%d requests succeeded, %d of them at the other target, although that one takes all", succeeded, len(other.ReceivedRequests())-before)
			}
			setLimit(limited, "")
			cluster.waitFor("requests at the target that no longer names a limit", func() bool {
				send(cluster, time.Second)
				return mostInWindow(limited, time.Now().Add(-time.Second)) > 10
			})
		})
	}
}

// TestAllTargetsLimitedRefusesAtOnce checks that requests beyond the limits of all
// targets of a service are refused at once, as not run and with a time to come back.
func TestAllTargetsLimitedRefusesAtOnce(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2)
	setLimit(cluster.plain, strconv.FormatFloat(testLimit, 'f', -1, 64))
	cluster.sendFor(time.Second, 20*time.Millisecond, http.MethodGet, "/read/", nil)
	refused := 0
	for range 20 {
		before := time.Now()
		got := cluster.send(http.MethodPost, "/post/", nil)
		if got.status == http.StatusOK {
			continue
		}
		refused++
		if cluster.retryAfter(got) <= 0 || time.Since(before) > 500*time.Millisecond {
			t.Errorf("reply %+v after %s", got, time.Since(before))
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}
