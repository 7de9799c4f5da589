package gatewayinstance_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// setLeaving makes a target state in its responses that it is leaving, or stop
// stating it.
func setLeaving(target *platformtest.Target, leaving bool) {
	target.Inject(func(t *platformtest.Target) { t.Leaving = leaving })
}

// withModel selects the base model without an adapter.
func withModel(h http.Header) { h.Set("Model", platformtest.Model) }

// awaitRequests sends GET requests until each of the targets has received one.
func (c *testCluster) awaitRequests(targets ...*platformtest.Target) {
	c.t.Helper()
	c.waitFor("request at each target", func() bool {
		c.send(http.MethodGet, "/read/", nil)
		for _, target := range targets {
			if len(target.ReceivedRequests()) == 0 {
				return false
			}
		}
		return true
	})
}

// TestLeavingTargetGetsNoNewRequest guards against requests at a target whose answer
// said that it is leaving while its entry in the store still says that it is ready.
func TestLeavingTargetGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	second := cluster.startTarget(platformtest.PlainService, "plain-2")
	cluster.awaitRequests(cluster.plain, second)
	setLeaving(cluster.plain, true)
	before := len(cluster.plain.ReceivedRequests())
	for range 30 {
		if got := cluster.send(http.MethodGet, "/read/", nil); got.status != http.StatusOK {
			t.Errorf("status %d: %s", got.status, got.body)
		}
	}
	if n := len(cluster.plain.ReceivedRequests()) - before; n != 1 {
		t.Errorf("%d requests reached the leaving target, want 1", n)
	}
}

// TestLeavingStatementIsForwarded checks that the client receives the headers of a
// leaving target's answer unchanged.
func TestLeavingStatementIsForwarded(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	setLeaving(cluster.plain, true)
	if got := cluster.send(http.MethodGet, "/read/", nil); got.status != http.StatusOK || got.header.Get("Server-Leaving") != "1" {
		t.Errorf("reply %+v", got)
	}
}

// TestLastLeavingTargetGetsNoRequestUntilRestart guards against a request to a
// leaving target because it is the only one, and against not using the target again
// after a restart under the same id.
func TestLastLeavingTargetGetsNoRequestUntilRestart(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.plain.Inject(func(p *platformtest.Target) { p.Leaving, p.RefuseNext = true, 1 })
	for range 3 {
		got := cluster.send(http.MethodPost, "/post/", nil)
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"not_run":true`) {
			t.Errorf("reply %+v", got)
		}
	}
	if n := len(cluster.plain.ReceivedRequests()); n != 1 {
		t.Errorf("%d requests reached the leaving target, want 1", n)
	}
	cluster.plain.Inject(func(p *platformtest.Target) { p.Leaving, p.Generation = false, 2 })
	cluster.plain.Register(cluster.store, "ready")
	cluster.waitFor("request after the restart", func() bool {
		return cluster.send(http.MethodPost, "/post/", nil).status == http.StatusOK
	})
}

// newClusterWithNearEngine starts a cluster of one instance whose requests go to
// engine 1, since engine 2 is in another zone.
func newClusterWithNearEngine(t *testing.T) (*testCluster, *instance) {
	t.Helper()
	cluster := newTestCluster(t, 0)
	cluster.engine2.Inject(func(e *platformtest.Target) { e.Zone = "south" })
	cluster.engine2.Register(cluster.store, "ready")
	return cluster, cluster.startInstance()
}

// TestStreamAtLeavingEngineContinues guards against new streams at an engine that
// said in the head of a stream that it is leaving, and checks that the stream under
// way there goes on to its end.
func TestStreamAtLeavingEngineContinues(t *testing.T) {
	t.Parallel()
	cluster, i := newClusterWithNearEngine(t)
	cluster.engine1.Inject(func(e *platformtest.Target) { e.Leaving, e.EventGap = true, 100*time.Millisecond })
	response, err := cluster.open(context.Background(), i, http.MethodPost, "/stream/", withModel)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	for range 10 {
		if got := cluster.send(http.MethodPost, "/stream/", withModel); got.body != streamBody(eventCount) {
			t.Errorf("reply %+v", got)
		}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != streamBody(eventCount) {
		t.Errorf("body %q, error %v", body, err)
	}
	if n := len(cluster.engine1.ReceivedRequests()); n != 1 {
		t.Errorf("%d requests reached the leaving engine, want 1", n)
	}
}
