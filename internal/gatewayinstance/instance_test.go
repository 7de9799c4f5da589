package gatewayinstance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// TestRequestIsForwardedUnchanged checks that a target receives the method, URI and
// other headers of a request as the client sent them, that headers which the gateway
// sets itself cannot be set by the client, and that the answer comes back with its
// seal and body.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	got := cluster.send(http.MethodGet, "/read/a%20b/?q=1", func(h http.Header) {
		h.Set("Request-Id", "r1")
		h.Set("Tenant", "somebody-else")
		h.Set("Expect-Instance", "another")
		h.Set("Hold", "h1")
		h.Set("X-Own", "kept")
	})
	if got.status != http.StatusOK || got.header.Get("Response-Seal") != "seal-r1" || got.body != "plain-1 answers r1" {
		t.Fatalf("reply %+v", got)
	}
	received := cluster.plain.ReceivedRequests()[0]
	if received.Method != http.MethodGet || received.URI != "/read/a%20b/?q=1" || received.Header.Get("X-Own") != "kept" {
		t.Errorf("the target received %+v", received)
	}
	for name, want := range map[string]string{"Tenant": "roads", "Key": "", "Expect-Instance": "plain-1", "Hold": ""} {
		if have := received.Header.Get(name); have != want {
			t.Errorf("%s: %q, want %q", name, have, want)
		}
	}
}

// TestAdapterIsLoadedOnDemand checks that a request for an adapter that no engine
// holds has it loaded, and that no engine is ordered to hold more adapters than it
// has adapter slots.
func TestAdapterIsLoadedOnDemand(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2)
	cluster.waitFor("first adapter", func() bool {
		return cluster.send(http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK
	})
	for i, name := range []string{"a2", "a3", "a4", "a5", "a6", "a7", "a8", "a1"} {
		id := fmt.Sprintf("%d-%s", i, name)
		got := cluster.send(http.MethodPost, "/stream/", func(h http.Header) { withAdapter(name)(h); h.Set("Request-Id", id) })
		if got.status != http.StatusOK || got.body != streamBody(eventCount) {
			t.Errorf("%s: %d %q; logged: %s; on loads: %s", name, got.status, got.body, cluster.logged(id), cluster.loggedOnLoads())
		}
		// An adapter that was used a moment ago is not evicted.
		time.Sleep(100 * time.Millisecond)
	}
	if cluster.engine1.SlotsExceeded() || cluster.engine2.SlotsExceeded() {
		t.Error("an engine was ordered to hold more adapters than it has slots")
	}
}

// TestBrokenStreamResumesAtAnotherEngine checks that a resumable stream that breaks
// off within an event continues at another engine after the last complete event.
func TestBrokenStreamResumesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.engine1.BreakAfter, cluster.engine2.BreakAfter = 2, 0
	cluster.waitFor("a stream through the breaking engine", func() bool {
		got := cluster.send(http.MethodPost, "/stream/", func(h http.Header) { withAdapter("a1")(h); h.Set("Model", "base") })
		if got.status == http.StatusOK && (got.err != nil || got.body != streamBody(eventCount)) {
			t.Fatalf("reply %+v", got)
		}
		return got.status == http.StatusOK && len(cluster.engine1.ReceivedRequests()) > 0
	})
}

// TestBrokenNonResumableStreamIsCutOff checks that a stream that must not run twice
// and breaks off at its engine is also broken off towards the client, so that the
// client does not take it for complete.
func TestBrokenNonResumableStreamIsCutOff(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.engine1.BreakAfter, cluster.engine2.BreakAfter = 2, 2
	got := cluster.send(http.MethodPost, "/draft/", func(h http.Header) { h.Set("Model", "base") })
	if got.err == nil || got.body != streamBody(2) {
		t.Errorf("reply %+v", got)
	}
	if n := executions(cluster.engine1) + executions(cluster.engine2); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestNonIdempotentRequestIsNotRetried checks that a non-idempotent request whose
// answer is lost is not sent again, and that the client gets a 502, which leaves open
// whether the request ran.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.plain.LoseNext = 1
	got := cluster.send(http.MethodPost, "/post/", nil)
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d", got.status)
	}
	if n := executions(cluster.plain); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestIdempotentRequestIsRetriedAtAnotherTarget checks that an idempotent request is
// sent to another target when its answer is lost.
func TestIdempotentRequestIsRetriedAtAnotherTarget(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	second := cluster.startTarget("ledger", "plain-2")
	cluster.waitFor("second target", func() bool {
		cluster.send(http.MethodGet, "/read/", nil)
		return len(second.ReceivedRequests()) > 0
	})
	cluster.plain.LoseNext, second.LoseNext = 1, 0
	for range 10 {
		if got := cluster.send(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
}

// TestRequestRefusedByEveryTargetDidNotRun checks that a request that every target
// refused is answered with a 503 that has a Retry-After and says that the request did
// not run, even if the request is non-idempotent.
func TestRequestRefusedByEveryTargetDidNotRun(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.plain.RefuseNext = 100
	got := cluster.send(http.MethodPost, "/post/", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"not_run":true`) {
		t.Errorf("reply %+v", got)
	}
	if n := executions(cluster.plain); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestRequestsOutsideConfigurationAreRefused checks that requests without a route,
// without a valid key or with a malformed deadline are refused and reach no target.
func TestRequestsOutsideConfigurationAreRefused(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cases := map[string]struct {
		path       string
		editHeader func(http.Header)
		status     int
	}{
		"unknown route": {"/nowhere/", nil, http.StatusNotFound},
		"unknown key":   {"/read/", func(h http.Header) { h.Set("Key", "wrong") }, http.StatusUnauthorized},
		"no key":        {"/read/", func(h http.Header) { h.Del("Key") }, http.StatusUnauthorized},
		"bad deadline":  {"/read/", func(h http.Header) { h.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
	}
	for name, c := range cases {
		if got := cluster.send(http.MethodGet, c.path, c.editHeader); got.status != c.status {
			t.Errorf("%s: status %d, want %d", name, got.status, c.status)
		}
	}
	if n := len(cluster.plain.ReceivedRequests()); n != 0 {
		t.Errorf("%d requests reached a target", n)
	}
}

// TestWithdrawnKeyStopsWorking checks that an instance that cannot confirm keys during
// an outage of the store stops accepting them within KeyLimit, and that a key that was
// withdrawn during the outage is refused afterwards.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	if got := cluster.send(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
		t.Fatalf("status %d before the outage", got.status)
	}
	limit := cluster.instances[0].settings.KeyLimit.Duration
	cluster.store.Fail(http.StatusServiceUnavailable)
	lostAt := time.Now()
	var lastAccepted time.Time
	cluster.waitFor("keys no longer confirmed", func() bool {
		sent := time.Now()
		got := cluster.send(http.MethodGet, "/read/", nil)
		if got.status == http.StatusOK {
			lastAccepted = sent
		}
		return got.status == http.StatusServiceUnavailable
	})
	if lastAccepted.Sub(lostAt) > limit {
		t.Errorf("the key was accepted %s after the store became unavailable, limit is %s", lastAccepted.Sub(lostAt), limit)
	}
	cluster.config.Version, cluster.config.Keys = 2, map[string]string{"another": "roads"}
	cluster.config.Publish(cluster.store)
	cluster.store.Fail(0)
	cluster.waitFor("key withdrawn", func() bool { return cluster.send(http.MethodGet, "/read/", nil).status == http.StatusUnauthorized })
}

// TestKeyWithdrawnWhileWaitingForAdapter checks that a request whose key is withdrawn
// while it waits for its adapter is refused after the wait and runs on no engine.
func TestKeyWithdrawnWhileWaitingForAdapter(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	for _, engine := range []*platformtest.Target{cluster.engine1, cluster.engine2} {
		engine.Inject(func(e *platformtest.Target) { e.LoadTime = 2 * time.Second })
	}
	replies := make(chan reply, 1)
	cluster.waitFor("base model served", func() bool {
		return cluster.send(http.MethodPost, "/stream/", func(h http.Header) { h.Set("Model", "base") }).status == http.StatusOK
	})
	before := executions(cluster.engine1) + executions(cluster.engine2)
	go func() { replies <- cluster.send(http.MethodPost, "/stream/", withAdapter("a1")) }()
	time.Sleep(100 * time.Millisecond)
	cluster.config.Version, cluster.config.Keys = 2, map[string]string{"another": "roads"}
	cluster.config.Publish(cluster.store)
	if got := <-replies; got.status != http.StatusUnauthorized {
		t.Errorf("status %d: %s", got.status, got.body)
	}
	if n := executions(cluster.engine1) + executions(cluster.engine2) - before; n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestStoreIsFollowedAfterOutage checks that changes are applied after an outage
// during which the store compacted its watch history.
func TestStoreIsFollowedAfterOutage(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.store.Fail(http.StatusServiceUnavailable)
	cluster.config.Version, cluster.config.Keys = 2, map[string]string{"new-key": "roads"}
	cluster.config.Publish(cluster.store)
	cluster.store.Compact()
	cluster.store.Fail(0)
	cluster.waitFor("new key", func() bool {
		return cluster.send(http.MethodGet, "/read/", func(h http.Header) { h.Set("Key", "new-key") }).status == http.StatusOK
	})
}

// TestDrainingTargetGetsNoNewRequests checks that a target gets no new request once
// its entry in the store says that it is draining.
func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	second := cluster.startTarget("ledger", "plain-2")
	cluster.waitFor("second target", func() bool {
		cluster.send(http.MethodGet, "/read/", nil)
		return len(second.ReceivedRequests()) > 0
	})
	cluster.plain.Register(cluster.store, "draining")
	time.Sleep(1500 * time.Millisecond)
	before := len(cluster.plain.ReceivedRequests())
	for range 10 {
		cluster.send(http.MethodGet, "/read/", nil)
	}
	if after := len(cluster.plain.ReceivedRequests()); after != before {
		t.Errorf("%d requests reached a draining target", after-before)
	}
}

// TestInvalidTargetEntriesAreSkipped checks that no request goes to a target whose
// entry in the store is not in the expected format.
func TestInvalidTargetEntriesAreSkipped(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.store.Put("servers", "foreign-1", "text")
	cluster.store.Put("servers", "foreign-2", map[string]any{"service": "ledger", "address": 7, "state": "ready"})
	cluster.store.Put("servers", "foreign-3", map[string]any{"service": "ledger", "address": "127.0.0.1:1", "zone": testZone, "state": "odd"})
	time.Sleep(time.Second)
	for range 5 {
		if got := cluster.send(http.MethodPost, "/post/", nil); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
}

// TestClientDisconnectClosesTargetConnection checks that the connection to a target is
// closed within half a second after the client closed its own.
func TestClientDisconnectClosesTargetConnection(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.engine1.EventGap, cluster.engine2.EventGap = 5*time.Second, 5*time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := cluster.open(ctx, cluster.instances[0], http.MethodPost, "/stream/", func(h http.Header) { h.Set("Model", "base") })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := firstLine(response.Body); err != nil {
		t.Fatal(err)
	}
	cancel()
	closedAt := time.Now()
	cluster.waitFor("request aborted at its target", func() bool {
		for _, received := range append(cluster.engine1.ReceivedRequests(), cluster.engine2.ReceivedRequests()...) {
			if received.Aborted {
				return true
			}
		}
		return false
	})
	if after := time.Since(closedAt); after > 500*time.Millisecond {
		t.Errorf("the target went on working for %s", after)
	}
}

// TestTeamOverItsRateIsRefused checks that each of two instances refuses requests of a
// team over its rate, with a Retry-After.
func TestTeamOverItsRateIsRefused(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2)
	cluster.config.Version, cluster.config.Rate, cluster.config.Burst = 2, 1000, 2000
	cluster.config.Publish(cluster.store)
	refused := 0
	cluster.waitFor("refusal", func() bool {
		got := cluster.sendThrough(cluster.instances[refused%2], http.MethodGet, "/read/", nil)
		if got.status == http.StatusTooManyRequests && got.header.Get("Retry-After") != "" {
			refused++
		}
		return refused >= 2
	})
}

// TestShutdownCompletesRequestsInFlight checks that a request that is in flight when
// the instance starts to shut down gets its complete answer, that the instance is not
// ready from then on, and that it still serves requests for a short time.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.engine1.EventGap, cluster.engine2.EventGap = 150*time.Millisecond, 150*time.Millisecond
	i := cluster.instances[0]
	response, err := cluster.open(context.Background(), i, http.MethodPost, "/draft/", func(h http.Header) { h.Set("Model", "base") })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	i.stop()
	cluster.waitFor("not ready", func() bool { return !cluster.isReady(i) })
	if got := cluster.send(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
		t.Errorf("a request just after the start of the shutdown: status %d", got.status)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != streamBody(eventCount) {
		t.Errorf("body %q, error %v", body, err)
	}
}

// TestAdapterIsLoadedThroughLeaseHolder checks that an instance that does not hold the
// zone's lease has adapters loaded by the instance that does.
func TestAdapterIsLoadedThroughLeaseHolder(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2)
	cluster.waitFor("both serve an adapter", func() bool {
		first := cluster.sendThrough(cluster.instances[0], http.MethodPost, "/stream/", withAdapter("a1"))
		second := cluster.sendThrough(cluster.instances[1], http.MethodPost, "/stream/", withAdapter("a1"))
		return first.status == http.StatusOK && second.status == http.StatusOK
	})
}

// TestLoneInstanceKnowsLoadedAdapters checks that an instance without peers goes on
// using an adapter where it had it loaded, after its own observation of the load is no
// longer valid.
func TestLoneInstanceKnowsLoadedAdapters(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.waitFor("first adapter", func() bool {
		return cluster.send(http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK
	})
	for range 4 {
		time.Sleep(time.Second)
		if got := cluster.send(http.MethodPost, "/stream/", withAdapter("a1")); got.status != http.StatusOK {
			t.Errorf("status %d, body %q", got.status, got.body)
		}
	}
	if n1, n2 := executions(cluster.engine1), executions(cluster.engine2); n1 > 0 && n2 > 0 {
		t.Errorf("the adapter was used on both engines: %d and %d times", n1, n2)
	}
}
