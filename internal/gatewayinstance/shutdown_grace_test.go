package gatewayinstance_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// newShutdownCluster starts one instance and two engines whose streams last for a
// duration.
func newShutdownCluster(t *testing.T, streamDuration time.Duration) *testCluster {
	t.Helper()
	c := newTestCluster(t, 0)
	for _, route := range c.config.Routes {
		route["timeout-ms"] = routeTimeoutMS
	}
	c.config.Version++
	c.config.Publish(c.store)
	for _, engine := range []*platformtest.Target{c.engine1, c.engine2} {
		engine.Inject(func(e *platformtest.Target) { e.EventGap = streamDuration / eventCount })
	}
	c.startInstance()
	return c
}

// beginStream opens a stream through the first instance that may take as long as its
// route allows. The caller closes the body.
func (c *testCluster) beginStream() *http.Response {
	c.t.Helper()
	response, err := c.open(context.Background(), c.instances[0], http.MethodPost, "/draft/", func(h http.Header) {
		withBaseModel(h)
		h.Set("Deadline-Ms", "9000")
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		c.t.Fatalf("the stream did not begin: status %d", response.StatusCode)
	}
	return response
}

// inFlightAfterDrain returns how many requests were still in flight at the end of the
// drain, according to the log.
func (c *testCluster) inFlightAfterDrain() int64 {
	c.t.Helper()
	entries := c.logs.FilterMessage("drain ended").All()
	if len(entries) != 1 {
		c.t.Fatalf("%d lines on the end of the drain, want 1", len(entries))
	}
	count, ok := entries[0].ContextMap()["in_flight"].(int64)
	if !ok {
		c.t.Fatalf("no in_flight on the end of the drain: %v", entries[0].ContextMap())
	}
	return count
}

// TestShutdownLogsRequestsCutOff guards against shutdowns that cut off requests without
// a trace in the log: a stream outlasts the grace.
func TestShutdownLogsRequestsCutOff(t *testing.T) {
	t.Parallel()
	cluster := newShutdownCluster(t, 8*time.Second)
	response := cluster.beginStream()
	defer func() { _ = response.Body.Close() }()
	cluster.instances[0].stopAndWait(t)
	if n := cluster.inFlightAfterDrain(); n != 1 {
		t.Errorf("%d requests in flight logged at the end of the drain, want 1", n)
	}
}

// TestStreamsEndBeforeLastSixthOfGrace guards against a margin of the shutdown that is
// too large a part of a short grace: a stream that ends after four fifths of the grace
// and before its last sixth must not be cut off by the end of the process.
func TestStreamsEndBeforeLastSixthOfGrace(t *testing.T) {
	t.Parallel()
	const streamDuration = 4080 * time.Millisecond
	cluster := newShutdownCluster(t, streamDuration)
	grace := cluster.instances[0].settings.ShutdownGrace.Duration
	if streamDuration <= grace*4/5 || streamDuration >= grace*5/6 {
		t.Fatalf("a stream of %s does not end within the last fifth and before the last sixth of %s", streamDuration, grace)
	}
	response := cluster.beginStream()
	defer func() { _ = response.Body.Close() }()
	began := time.Now()
	cluster.instances[0].stopAndWait(t)
	if elapsed := time.Since(began); elapsed >= grace {
		t.Errorf("the instance stopped after %s, the grace is %s", elapsed, grace)
	}
	if n := cluster.inFlightAfterDrain(); n != 0 {
		t.Errorf("%d streams were cut off at the end of the drain", n)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != streamBody(eventCount) {
		t.Errorf("body %q, error %v", body, err)
	}
}
