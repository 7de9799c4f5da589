package gatewayinstance_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/gatewayinstance"
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
	// An answer to a report call would state it as well, before the stream begins, and so would
	// that of a process which is asked who it is, once on each connection.
	cluster.waitFor("stream before", func() bool { return cluster.send(http.MethodPost, "/stream/", withModel).status == http.StatusOK })
	before := len(cluster.engine1.ReceivedRequests())
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
	if n := len(cluster.engine1.ReceivedRequests()) - before; before != 1 || n != 1 {
		t.Errorf("%d requests reached the leaving engine, want 1; %d before", n, before)
	}
}

// refuseWithPause makes a target refuse its next requests with 503 and a Retry-After.
func refuseWithPause(target *platformtest.Target, requests int, retryAfter string) {
	target.Inject(func(t *platformtest.Target) { t.RefuseNext, t.RetryAfter = requests, retryAfter })
}

// retryAfter returns the Retry-After of a reply, which must be a refusal with 503 of a
// request that did not run.
func (c *testCluster) retryAfter(got reply) time.Duration {
	c.t.Helper()
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"not_run":true`) || err != nil {
		c.t.Fatalf("reply %+v", got)
	}
	return time.Duration(seconds * float64(time.Second))
}

// TestPausedTargetGetsNoRequestUntilItsTime guards against requests at a target that
// refused one with 503 and Retry-After, although it is the only one. The client must
// be refused at once, with the wait until the target takes requests again.
func TestPausedTargetGetsNoRequestUntilItsTime(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	const pause, step = 2500 * time.Millisecond, 300 * time.Millisecond
	refuseWithPause(cluster.plain, 100, "2.5")
	sentAt := time.Now()
	cluster.send(http.MethodPost, "/post/", nil)
	answeredAt := time.Now()
	wait := time.Duration(0)
	for range 3 {
		before := time.Now()
		wait = cluster.retryAfter(cluster.send(http.MethodPost, "/post/", nil))
		after := time.Now()
		least, most := sentAt.Add(pause).Sub(after), answeredAt.Add(pause).Sub(before)+time.Millisecond
		if wait < least || wait > most {
			t.Errorf("told to wait %s, want %s to %s", wait, least, most)
		}
		if took := after.Sub(before); took > pause/3 {
			t.Errorf("refused after %s", took)
		}
		time.Sleep(step)
	}
	if n := len(cluster.plain.ReceivedRequests()); n != 1 {
		t.Errorf("%d requests reached the paused target, want 1", n)
	}
	refuseWithPause(cluster.plain, 0, "")
	time.Sleep(wait - step)
	if got := cluster.send(http.MethodPost, "/post/", nil); got.status != http.StatusOK {
		t.Errorf("after the stated wait: status %d: %s", got.status, got.body)
	}
}

// TestPausedEngineIsReplacedAndUsedAgain guards against counting a pause as an error:
// requests must go to another engine at once and return to the engine when its time
// is over.
func TestPausedEngineIsReplacedAndUsedAgain(t *testing.T) {
	t.Parallel()
	cluster, _ := newClusterWithNearEngine(t)
	refuseWithPause(cluster.engine1, 1, "2")
	startedAt := time.Now()
	for time.Since(startedAt) < 500*time.Millisecond {
		if got := cluster.send(http.MethodPost, "/stream/", withModel); got.body != streamBody(eventCount) {
			t.Errorf("reply %+v", got)
		}
	}
	if n := len(cluster.engine1.ReceivedRequests()); n != 1 {
		t.Errorf("%d requests reached the paused engine, want 1", n)
	}
	cluster.waitFor("request at the engine after its pause", func() bool {
		cluster.send(http.MethodPost, "/stream/", withModel)
		return executions(cluster.engine1) > 0
	})
	if after := time.Since(startedAt); after < 2*time.Second {
		t.Errorf("a request reached the engine %s after it asked for 2 s", after)
	}
}

// TestClientIsToldShortestPause guards against a Retry-After that is shorter or longer
// than the wait until the first target of the service takes requests. A target that
// refuses without a Retry-After may take the next request soon.
func TestClientIsToldShortestPause(t *testing.T) {
	t.Parallel()
	for second, want := range map[string]struct{ least, most time.Duration }{
		"2": {time.Second, 2 * time.Second},
		"":  {time.Millisecond, time.Second},
	} {
		cluster := newTestCluster(t, 1)
		other := cluster.startTarget(platformtest.PlainService, "plain-2")
		cluster.awaitRequests(cluster.plain, other)
		refuseWithPause(cluster.plain, 100, "5")
		refuseWithPause(other, 100, second)
		if wait := cluster.retryAfter(cluster.send(http.MethodPost, "/post/", nil)); wait < want.least || wait > want.most {
			t.Errorf("told to wait %s where the targets asked for 5 s and %q s", wait, second)
		}
	}
}

// TestEjectedTargetIsNotProbedDuringPause guards against probes and last resorts at an
// ejected target that asked for a pause.
func TestEjectedTargetIsNotProbedDuringPause(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.plain.Inject(func(p *platformtest.Target) { p.LoseNext = 2 })
	for range 2 {
		cluster.send(http.MethodGet, "/read/", nil)
	}
	refuseWithPause(cluster.plain, 1, "2")
	for startedAt := time.Now(); time.Since(startedAt) < time.Second; time.Sleep(20 * time.Millisecond) {
		cluster.send(http.MethodGet, "/read/", nil)
	}
	if n := len(cluster.plain.ReceivedRequests()); n != 3 {
		t.Errorf("%d requests reached the target, want 2 that failed and 1 refused", n)
	}
}

// TestPauseDuringLoadSendsRequestElsewhere guards against sending a request that
// waited for its adapter to an engine that asked for a pause meanwhile.
func TestPauseDuringLoadSendsRequestElsewhere(t *testing.T) {
	t.Parallel()
	cluster, i := newClusterWithNearEngine(t)
	cluster.startInstance()
	cluster.awaitAdapters()
	cluster.engine1.Inject(func(e *platformtest.Target) { e.LoadTime = time.Second })
	before := len(cluster.engine1.ReceivedRequests())
	replies := make(chan reply, 1)
	go func() { replies <- cluster.sendThrough(i, http.MethodPost, "/stream/", withAdapter("a1")) }()
	time.Sleep(100 * time.Millisecond)
	refuseWithPause(cluster.engine1, 1, "5")
	cluster.send(http.MethodPost, "/stream/", withModel)
	refusedAt := time.Now()
	<-replies
	for _, received := range cluster.engine1.ReceivedRequests()[before:] {
		if after := received.At.Sub(refusedAt); after > 50*time.Millisecond {
			t.Errorf("a request reached the engine %s after it had asked for a pause", after)
		}
	}
}

// awaitAdapters waits until adapters can be loaded on the near engine and base model
// requests go there.
func (c *testCluster) awaitAdapters() {
	c.t.Helper()
	c.waitFor("first adapter", func() bool {
		return c.send(http.MethodPost, "/stream/", withAdapter("a9")).status == http.StatusOK
	})
	c.waitFor("engine state published", func() bool {
		before := executions(c.engine1)
		c.send(http.MethodPost, "/stream/", withModel)
		return executions(c.engine1) > before
	})
}

// checkEngine1LeftAlone checks that engine 1 gets no call and no request for a time
// after its first call.
func (c *testCluster) checkEngine1LeftAlone(quiet time.Duration) {
	c.t.Helper()
	c.startInstance()
	c.waitFor("call to the engine", func() bool { return c.engine1.EngineCalls() > 0 })
	time.Sleep(100 * time.Millisecond)
	for startedAt := time.Now(); time.Since(startedAt) < quiet; time.Sleep(100 * time.Millisecond) {
		if got := c.send(http.MethodPost, "/stream/", withModel); got.body != streamBody(eventCount) {
			c.t.Errorf("reply %+v", got)
		}
	}
	if calls, requests := c.engine1.EngineCalls(), len(c.engine1.ReceivedRequests()); calls != 1 || requests != 0 {
		c.t.Errorf("%d calls and %d requests reached the engine, want 1 and none", calls, requests)
	}
}

// TestReportOfLeavingEngine guards against orders, reports and requests to an engine
// that says in the answer to a report call that it is leaving.
func TestReportOfLeavingEngine(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0)
	setLeaving(cluster.engine1, true)
	cluster.checkEngine1LeftAlone(3500 * time.Millisecond)
}

// TestPauseOfReportCalls guards against calls and requests to an engine that refused a
// report call with 503 and Retry-After, and checks that calls go on after the pause.
func TestPauseOfReportCalls(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0)
	cluster.engine1.Inject(func(e *platformtest.Target) { e.RefuseCalls, e.RetryAfter = 1, "3" })
	cluster.checkEngine1LeftAlone(1500 * time.Millisecond)
	cluster.waitFor("call after the pause", func() bool { return cluster.engine1.EngineCalls() > 1 })
}

// attemptsNotRun returns how many attempts the instance counted that no target ran.
func (i *instance) attemptsNotRun(t *testing.T) int {
	t.Helper()
	families, err := i.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "heatherrelay_gateway_sends_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == "not_run" {
				return int(m.GetCounter().GetValue())
			}
		}
	}
	return 0
}

// hasListed reports whether an instance has been told of a number of targets.
func (c *testCluster) hasListed(targets int) bool {
	return c.logs.FilterMessage("replica changed").FilterField(zap.String("kind", "servers")).FilterField(zap.Int("objects", targets)).Len() > 0
}

// TestRetryThatWasNotSentIsFree guards against spending the retry budget on an attempt
// that reached no target: a request was refused by one target, another was unreachable,
// and the third must still get it with a budget of one retry.
func TestRetryThatWasNotSentIsFree(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0)
	cluster.retry = gatewayinstance.Retry{Extra: 1}
	i := cluster.startInstance()
	// The refusal makes this target the last choice; a success would undo that.
	cluster.plain.Inject(func(p *platformtest.Target) { p.RefuseNext = 1 })
	cluster.send(http.MethodPost, "/post/", nil)
	near := cluster.startTarget(platformtest.PlainService, "plain-2")
	unreachable := &platformtest.Target{ID: "plain-3", Service: platformtest.PlainService, Zone: "south", AdvertisedAddress: freeAddress(t)}
	unreachable.Start()
	t.Cleanup(unreachable.Close)
	unreachable.Register(cluster.store, "ready")
	cluster.waitFor("targets listed", func() bool { return cluster.hasListed(len(cluster.targets) + 1) })
	// A change is reported when the one before has taken effect.
	cluster.startTarget(platformtest.ModelService, "engine-3")
	cluster.waitFor("targets in use", func() bool { return cluster.hasListed(len(cluster.targets) + 1) })
	near.Inject(func(n *platformtest.Target) { n.RefuseNext = 1 })
	if got := cluster.send(http.MethodPost, "/post/", nil); got.status != http.StatusOK {
		t.Errorf("status %d: %s", got.status, got.body)
	}
	if n := i.attemptsNotRun(t); n != 3 {
		t.Errorf("%d attempts without a run, want 3", n)
	}
}

// openStream opens a stream of the base model with the given token counts, as soon as
// the team's allowance admits it, and reads its first line.
func (c *testCluster) openStream(i *instance, tokenCounts string) {
	c.t.Helper()
	c.waitFor("stream admitted", func() bool {
		response, err := c.open(context.Background(), i, http.MethodPost, "/stream/", func(h http.Header) {
			withModel(h)
			h.Set("Token-Count", tokenCounts)
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { _ = response.Body.Close() })
		_, err = firstLine(response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestPromptTokensAreCountedOnce guards against an engine that counts as full because
// the prompt tokens of its requests in flight are counted twice.
func TestPromptTokensAreCountedOnce(t *testing.T) {
	t.Parallel()
	cluster, i := newClusterWithNearEngine(t)
	for _, engine := range []*platformtest.Target{cluster.engine1, cluster.engine2} {
		engine.Inject(func(e *platformtest.Target) { e.EventGap = time.Second })
	}
	// Both requests together take 82,000 of the engine's 100,000 tokens.
	cluster.openStream(i, "50000,1000")
	cluster.openStream(i, "30000,1000")
	if n := len(cluster.engine1.ReceivedRequests()); n != 2 {
		t.Errorf("%d of 2 requests went to the near engine, which has room for both", n)
	}
}
