package relay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// TestRequestIsPassedOnUnchanged checks what a target sees of a request, and that
// the answer comes back with its signature and body.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	got := w.ask(http.MethodGet, "/read/a%20b/?q=1", func(h http.Header) {
		h.Set("Request-Id", "r1")
		h.Set("Tenant", "somebody-else")
		h.Set("Expect-Instance", "another")
		h.Set("Hold", "h1")
		h.Set("X-Own", "kept")
	})
	if got.status != http.StatusOK || got.header.Get("Response-Seal") != "seal-r1" || got.body != "plain-1 answers r1" {
		t.Fatalf("reply %+v", got)
	}
	a := w.plain.Arrivals()[0]
	if a.Method != http.MethodGet || a.URI != "/read/a%20b/?q=1" || a.Header.Get("X-Own") != "kept" {
		t.Errorf("arrival %+v", a)
	}
	for name, want := range map[string]string{"Tenant": "roads", "Key": "", "Expect-Instance": "plain-1", "Hold": ""} {
		if have := a.Header.Get(name); have != want {
			t.Errorf("%s: %q, want %q", name, have, want)
		}
	}
}

// TestAdapterIsLoadedOnDemand checks that a request for an adapter that is
// nowhere has it loaded, and that places are never overfilled.
func TestAdapterIsLoadedOnDemand(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.await("first adapter", func() bool { return w.ask(http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK })
	for _, name := range []string{"a2", "a3", "a4", "a5", "a6", "a7", "a8", "a1"} {
		got := w.ask(http.MethodPost, "/stream/", withAdapter(name))
		if got.status != http.StatusOK || got.body != wholeStream(eventCount) {
			t.Errorf("%s: %d %q", name, got.status, got.body)
		}
		// What was used just now makes no room.
		time.Sleep(100 * time.Millisecond)
	}
	if w.engine.Overfull() || w.other.Overfull() {
		t.Error("an engine was ordered to hold more than it can")
	}
}

// TestBrokenStreamGoesOnElsewhere checks that a stream that breaks off within an
// event goes on at another engine after the last whole event.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.engine.BreakAfter, w.other.BreakAfter = 2, 0
	w.await("a stream through the breaking engine", func() bool {
		got := w.ask(http.MethodPost, "/stream/", func(h http.Header) { withAdapter("a1")(h); h.Set("Model", "base") })
		if got.status == http.StatusOK && (got.err != nil || got.body != wholeStream(eventCount)) {
			t.Fatalf("reply %+v", got)
		}
		return got.status == http.StatusOK && len(w.engine.Arrivals()) > 0
	})
}

// TestBrokenDraftDoesNotLookWhole checks that a stream that must not run twice
// is broken off towards the client as well.
func TestBrokenDraftDoesNotLookWhole(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.engine.BreakAfter, w.other.BreakAfter = 2, 2
	got := w.ask(http.MethodPost, "/draft/", func(h http.Header) { h.Set("Model", "base") })
	if got.err == nil || got.body != wholeStream(2) {
		t.Errorf("reply %+v", got)
	}
	if n := runs(w.engine) + runs(w.other); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestPostingRunsOnce checks that a posting whose answer is lost is not sent
// again, and that the client is not told that it did not run.
func TestPostingRunsOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.plain.LoseNext = 1
	got := w.ask(http.MethodPost, "/post/", nil)
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d", got.status)
	}
	if n := runs(w.plain); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestReadIsRepeatedElsewhere checks that an idempotent request is sent to
// another target when its answer is lost.
func TestReadIsRepeatedElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	second := w.target("ledger", "plain-2")
	w.await("second target", func() bool {
		w.ask(http.MethodGet, "/read/", nil)
		return len(second.Arrivals()) > 0
	})
	w.plain.LoseNext, second.LoseNext = 1, 0
	for range 10 {
		if got := w.ask(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
}

// TestRefusalOfTargetIsNotRun checks that a request that every target refused is
// answered 503 with a time to come back, whatever its kind.
func TestRefusalOfTargetIsNotRun(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.plain.RefuseNext = 100
	got := w.ask(http.MethodPost, "/post/", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"not_run":true`) {
		t.Errorf("reply %+v", got)
	}
	if n := runs(w.plain); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestRefusals checks the answers to requests that the configuration does not allow.
func TestRefusals(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	cases := map[string]struct {
		path   string
		change func(http.Header)
		status int
	}{
		"unknown route": {"/nowhere/", nil, http.StatusNotFound},
		"unknown key":   {"/read/", func(h http.Header) { h.Set("Key", "wrong") }, http.StatusUnauthorized},
		"no key":        {"/read/", func(h http.Header) { h.Del("Key") }, http.StatusUnauthorized},
		"bad deadline":  {"/read/", func(h http.Header) { h.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
	}
	for name, c := range cases {
		if got := w.ask(http.MethodGet, c.path, c.change); got.status != c.status {
			t.Errorf("%s: status %d, want %d", name, got.status, c.status)
		}
	}
	if n := len(w.plain.Arrivals()); n != 0 {
		t.Errorf("%d requests reached a target", n)
	}
}

// TestWithdrawnKeyStops checks that a key works until it is withdrawn, and that
// an instance that cannot confirm keys any more stops using them in time.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	if got := w.ask(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
		t.Fatalf("status %d before", got.status)
	}
	limit := w.instances[0].settings.KeyLimit.Duration
	w.store.Fail(http.StatusServiceUnavailable)
	lost := time.Now()
	var last time.Time
	w.await("keys no longer confirmed", func() bool {
		sent := time.Now()
		got := w.ask(http.MethodGet, "/read/", nil)
		if got.status == http.StatusOK {
			last = sent
		}
		return got.status == http.StatusServiceUnavailable
	})
	if last.Sub(lost) > limit {
		t.Errorf("the key worked %s after the store was lost, allowed are %s", last.Sub(lost), limit)
	}
	w.config.Version, w.config.Keys = 2, map[string]string{"another": "roads"}
	w.config.Publish(w.store)
	w.store.Fail(0)
	w.await("key withdrawn", func() bool { return w.ask(http.MethodGet, "/read/", nil).status == http.StatusUnauthorized })
}

// TestKeyWithdrawnWhileWaiting checks that a request whose key is withdrawn while
// it waits for its adapter is refused then, once, and runs nowhere.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	for _, engine := range []*platformtest.Target{w.engine, w.other} {
		engine.Inject(func(e *platformtest.Target) { e.LoadTime = 2 * time.Second })
	}
	replies := make(chan reply, 1)
	w.await("orders held", func() bool {
		return w.ask(http.MethodPost, "/stream/", func(h http.Header) { h.Set("Model", "base") }).status == http.StatusOK
	})
	before := runs(w.engine) + runs(w.other)
	go func() { replies <- w.ask(http.MethodPost, "/stream/", withAdapter("a1")) }()
	time.Sleep(100 * time.Millisecond)
	w.config.Version, w.config.Keys = 2, map[string]string{"another": "roads"}
	w.config.Publish(w.store)
	if got := <-replies; got.status != http.StatusUnauthorized {
		t.Errorf("status %d: %s", got.status, got.body)
	}
	if n := runs(w.engine) + runs(w.other) - before; n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestLostStoreIsFollowedAgain checks that changes are seen after an outage in
// which the store forgot its history.
func TestLostStoreIsFollowedAgain(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.store.Fail(http.StatusServiceUnavailable)
	w.config.Version, w.config.Keys = 2, map[string]string{"new-key": "roads"}
	w.config.Publish(w.store)
	w.store.Compact()
	w.store.Fail(0)
	w.await("new key", func() bool {
		return w.ask(http.MethodGet, "/read/", func(h http.Header) { h.Set("Key", "new-key") }).status == http.StatusOK
	})
}

// TestDrainingTargetGetsNothing checks that a target that leaves gets no new
// request once its entry says so.
func TestDrainingTargetGetsNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	second := w.target("ledger", "plain-2")
	w.await("second target", func() bool {
		w.ask(http.MethodGet, "/read/", nil)
		return len(second.Arrivals()) > 0
	})
	w.plain.Register(w.store, "draining")
	time.Sleep(1500 * time.Millisecond)
	before := len(w.plain.Arrivals())
	for range 10 {
		w.ask(http.MethodGet, "/read/", nil)
	}
	if after := len(w.plain.Arrivals()); after != before {
		t.Errorf("%d requests reached a target that leaves", after-before)
	}
}

// TestForeignEntriesAreSkipped checks that entries of other writers name no target.
func TestForeignEntriesAreSkipped(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.store.Put("servers", "foreign-1", "text")
	w.store.Put("servers", "foreign-2", map[string]any{"service": "ledger", "address": 7, "state": "ready"})
	w.store.Put("servers", "foreign-3", map[string]any{"service": "ledger", "address": "127.0.0.1:1", "zone": testZone, "state": "odd"})
	time.Sleep(time.Second)
	for range 5 {
		if got := w.ask(http.MethodPost, "/post/", nil); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
}

// TestClientThatLeavesFreesItsTarget checks that a target sees the connection
// close within half a second after the client closed its own.
func TestClientThatLeavesFreesItsTarget(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.engine.EventGap, w.other.EventGap = 5*time.Second, 5*time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := w.open(ctx, w.instances[0], http.MethodPost, "/stream/", func(h http.Header) { h.Set("Model", "base") })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := firstLine(response.Body); err != nil {
		t.Fatal(err)
	}
	cancel()
	left := time.Now()
	w.await("aborted", func() bool {
		for _, a := range append(w.engine.Arrivals(), w.other.Arrivals()...) {
			if a.Aborted {
				return true
			}
		}
		return false
	})
	if after := time.Since(left); after > 500*time.Millisecond {
		t.Errorf("the target worked on for %s", after)
	}
}

// TestTeamOverItsRateIsRefused checks that a team's rate holds over two instances.
func TestTeamOverItsRateIsRefused(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.config.Version, w.config.Rate, w.config.Burst = 2, 1000, 2000
	w.config.Publish(w.store)
	refused := 0
	w.await("refusal", func() bool {
		got := w.askThrough(w.instances[refused%2], http.MethodGet, "/read/", nil)
		if got.status == http.StatusTooManyRequests && got.header.Get("Retry-After") != "" {
			refused++
		}
		return refused >= 2
	})
}

// TestShutdownCutsNothing checks that a request that is under way when the
// instance is told to stop gets its whole answer, and that the instance is not
// ready from then on.
func TestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.engine.EventGap, w.other.EventGap = 150*time.Millisecond, 150*time.Millisecond
	i := w.instances[0]
	response, err := w.open(context.Background(), i, http.MethodPost, "/draft/", func(h http.Header) { h.Set("Model", "base") })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	i.stop()
	w.await("not ready", func() bool { return !w.ready(i) })
	if got := w.ask(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
		t.Errorf("a request just after the signal: status %d", got.status)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != wholeStream(eventCount) {
		t.Errorf("body %q, error %v", body, err)
	}
}

// TestInstancesLearnOfEachOther checks that an instance that does not order the
// engines has adapters loaded by the one that does.
func TestInstancesLearnOfEachOther(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	w.await("both serve an adapter", func() bool {
		first := w.askThrough(w.instances[0], http.MethodPost, "/stream/", withAdapter("a1"))
		second := w.askThrough(w.instances[1], http.MethodPost, "/stream/", withAdapter("a1"))
		return first.status == http.StatusOK && second.status == http.StatusOK
	})
}
