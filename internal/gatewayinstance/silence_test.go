package gatewayinstance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/platform/platformtest"
)

const (
	// silence is how long a healthy target sends nothing.
	silence = 1800 * time.Millisecond
	// silenceStreams is the number of streams that are under way when it begins.
	silenceStreams = 6
	// silenceEvents and silenceEventGap make the streams last about a second.
	silenceEvents   = 40
	silenceEventGap = 25 * time.Millisecond
	// routeTimeoutMS bounds the requests of the tests with a silent target.
	routeTimeoutMS = 9000
)

var (
	// smallestBudget is the smallest retry budget that the settings allow; it still
	// allows one retry. ampleBudget is never used up.
	smallestBudget = gatewayinstance.Retry{}
	ampleBudget    = gatewayinstance.Retry{Ratio: 1, Extra: 1000}
)

// newSilenceCluster starts a platform whose streams last long enough for a silence in
// their midst, and two instances with a retry budget. It returns when the adapter "a1"
// is loaded.
func newSilenceCluster(t *testing.T, budget gatewayinstance.Retry) *testCluster {
	t.Helper()
	c := newTestCluster(t, 0)
	c.retry = budget
	for _, route := range c.config.Routes {
		route["timeout-ms"] = routeTimeoutMS
	}
	c.config.Version++
	c.config.Publish(c.store)
	for _, engine := range []*platformtest.Target{c.engine1, c.engine2} {
		engine.Inject(func(e *platformtest.Target) { e.Events, e.EventGap = silenceEvents, silenceEventGap })
	}
	c.startInstance()
	c.startInstance()
	c.waitFor("adapter served", func() bool {
		return c.send(http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK
	})
	return c
}

// withBaseModel edits the headers of a request so that any engine may run it.
func withBaseModel(h http.Header) {
	withAdapter("")(h)
	h.Set("Model", platformtest.Model)
}

// openedStreams are streams that clients read.
type openedStreams struct{ begun, ended sync.WaitGroup }

// openStreams opens streams through the first instance, and returns once each has
// begun. They may take as long as their route allows. The test fails for each stream
// that is not complete.
func (c *testCluster) openStreams(path string, editHeader func(http.Header)) *openedStreams {
	c.t.Helper()
	s := &openedStreams{}
	s.begun.Add(silenceStreams)
	for i := range silenceStreams {
		s.ended.Go(func() {
			c.readStream(fmt.Sprint("stream-", i), path, editHeader, s.begun.Done)
		})
	}
	s.begun.Wait()
	if c.t.Failed() {
		c.t.FailNow()
	}
	return s
}

// readStream opens a stream, calls begun when it has begun or cannot, and reads it to
// its end. If the stream is not complete, the test fails with what was logged on it.
func (c *testCluster) readStream(id, path string, editHeader func(http.Header), begun func()) {
	response, err := c.open(context.Background(), c.instances[0], http.MethodPost, path, func(h http.Header) {
		editHeader(h)
		h.Set("Deadline-Ms", fmt.Sprint(routeTimeoutMS))
		h.Set("Request-Id", id)
	})
	if err != nil {
		c.t.Errorf("%s did not begin: %v", id, err)
		begun()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.t.Errorf("%s did not begin: status %d; logged: %s", id, response.StatusCode, c.logged(id))
	}
	begun()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != streamBody(silenceEvents) {
		c.t.Errorf("%s: %d of %d events, error %v; logged: %s", id, strings.Count(string(body), "data:"), silenceEvents, err, c.logged(id))
	}
}

// pauseServing pauses the engine that serves most of the streams of openStreams.
func (c *testCluster) pauseServing() {
	c.t.Helper()
	serving := map[*platformtest.Target]int{}
	for _, engine := range []*platformtest.Target{c.engine1, c.engine2} {
		for _, received := range engine.ReceivedRequests() {
			if strings.HasPrefix(received.Header.Get("Request-Id"), "stream-") && received.Ran {
				serving[engine]++
			}
		}
	}
	busiest := c.engine1
	if serving[c.engine2] > serving[busiest] {
		busiest = c.engine2
	}
	if serving[busiest] < 2 {
		c.t.Fatalf("%d of %d streams run on one engine", serving[busiest], silenceStreams)
	}
	busiest.Pause(silence)
}

// logged returns what the instances logged on a request.
func (c *testCluster) logged(requestID string) string {
	text := ""
	for _, entry := range c.logs.All() {
		fields := entry.ContextMap()
		if fields["request_id"] == requestID {
			text += fmt.Sprintf("%s (code %v, reason %v, trail %v, cause %v) ", entry.Message, fields["code"], fields["reason"], fields["trail"], fields["cause"])
		}
	}
	return text
}

// removeSecondEngine removes the entry of the second engine, and returns when the
// instances know of it.
func (c *testCluster) removeSecondEngine() {
	c.store.Delete("servers", c.engine2.ID)
	time.Sleep(time.Second)
}

// removeEngines removes the entries of both engines.
func (c *testCluster) removeEngines() {
	c.store.Delete("servers", c.engine1.ID)
	c.store.Delete("servers", c.engine2.ID)
}

// TestStreamsOutlastSilentTarget checks that no stream is cut when its target, which
// is healthy, sends nothing for a while: neither when more streams wait than the retry
// budget allows to move, nor without another target, nor if the store drops the
// target meanwhile, nor on a route whose streams must not run twice.
func TestStreamsOutlastSilentTarget(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path       string
		editHeader func(http.Header)
		// before runs before the streams begin, during when the target is silent.
		before, during func(*testCluster)
	}{
		"retry budget too small":        {path: "/stream/", editHeader: withBaseModel},
		"no other target":               {path: "/stream/", editHeader: withBaseModel, before: (*testCluster).removeSecondEngine},
		"target removed":                {path: "/stream/", editHeader: withBaseModel, during: (*testCluster).removeEngines},
		"adapter":                       {path: "/stream/", editHeader: withAdapter("a1")},
		"not resumable":                 {path: "/draft/", editHeader: withBaseModel},
		"not resumable, target removed": {path: "/draft/", editHeader: withBaseModel, during: (*testCluster).removeEngines},
		"not resumable, adapter":        {path: "/draft/", editHeader: withAdapter("a1")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newSilenceCluster(t, smallestBudget)
			if c.before != nil {
				c.before(cluster)
			}
			streams := cluster.openStreams(c.path, c.editHeader)
			cluster.pauseServing()
			if c.during != nil {
				c.during(cluster)
			}
			streams.ended.Wait()
		})
	}
}

// configurationChanges are changes of the configuration after which a stream that has
// begun still goes on at its target.
var configurationChanges = map[string]func(*platformtest.Config){
	"key withdrawn": func(c *platformtest.Config) { c.Keys = map[string]string{"another": "roads"} },
	"route moved to another service": func(c *platformtest.Config) {
		for _, route := range c.Routes {
			route["service"] = platformtest.PlainService
		}
	},
	"route removed": func(c *platformtest.Config) { c.Routes = c.Routes[1:] },
	"service removed": func(c *platformtest.Config) {
		c.Routes = c.Routes[2:]
		c.RemovedServices = []string{platformtest.ModelService}
	},
	"timeout shortened": func(c *platformtest.Config) {
		for _, route := range c.Routes {
			route["timeout-ms"] = 2000
		}
	},
}

// publishChange publishes a changed configuration as the next version.
func (c *testCluster) publishChange(change func(*platformtest.Config)) {
	change(&c.config)
	c.config.Version++
	c.config.Publish(c.store)
}

// TestStreamsOutlastSilenceBesideConfigurationChange checks that no stream is cut when
// a configuration arrives while its target sends nothing, even if that configuration
// would not admit the request or would send it elsewhere.
func TestStreamsOutlastSilenceBesideConfigurationChange(t *testing.T) {
	t.Parallel()
	for name, change := range configurationChanges {
		for _, path := range []string{"/stream/", "/draft/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cluster := newSilenceCluster(t, ampleBudget)
				streams := cluster.openStreams(path, withBaseModel)
				cluster.pauseServing()
				cluster.publishChange(change)
				streams.ended.Wait()
			})
		}
	}
}

// TestStreamsOutlastConfigurationChange checks that no stream is cut when a
// configuration arrives while its target sends events.
func TestStreamsOutlastConfigurationChange(t *testing.T) {
	t.Parallel()
	for name, change := range configurationChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newSilenceCluster(t, smallestBudget)
			for _, engine := range []*platformtest.Target{cluster.engine1, cluster.engine2} {
				engine.Inject(func(e *platformtest.Target) { e.EventGap = 3 * silenceEventGap })
			}
			streams := cluster.openStreams("/stream/", withBaseModel)
			cluster.publishChange(change)
			streams.ended.Wait()
		})
	}
}

// TestBrokenStreamsGoOnAfterServiceIsRemoved checks that a stream that its target
// breaks off goes on at another one of the service that it was admitted to, although a
// newer configuration no longer has that service.
func TestBrokenStreamsGoOnAfterServiceIsRemoved(t *testing.T) {
	t.Parallel()
	cluster := newSilenceCluster(t, ampleBudget)
	engines := []*platformtest.Target{cluster.engine1, cluster.engine2}
	for _, engine := range engines {
		engine.Inject(func(e *platformtest.Target) { e.EventGap = 4 * silenceEventGap })
	}
	streams := cluster.openStreams("/stream/", withBaseModel)
	cluster.publishChange(configurationChanges["service removed"])
	cluster.waitFor("configuration active", func() bool {
		return cluster.send(http.MethodPost, "/stream/", withBaseModel).status == http.StatusNotFound
	})
	for _, engine := range engines {
		engine.Inject(func(e *platformtest.Target) { e.BreakAfter = silenceEvents - 2 })
	}
	streams.ended.Wait()
	for _, engine := range engines {
		engine.Inject(func(e *platformtest.Target) {
			if e.BreakAfter != 0 {
				t.Errorf("%s broke no stream off", e.ID)
			}
		})
	}
}

// TestStreamsOutlastSilenceBesideShutdown checks that no stream is cut when its
// instance begins to shut down while its target sends nothing.
func TestStreamsOutlastSilenceBesideShutdown(t *testing.T) {
	t.Parallel()
	cluster := newSilenceCluster(t, smallestBudget)
	streams := cluster.openStreams("/stream/", withBaseModel)
	cluster.pauseServing()
	cluster.instances[0].stop()
	streams.ended.Wait()
}

// TestStreamBeginsAfterSilence checks that streams whose target sends nothing before
// their first event are answered when it goes on.
func TestStreamBeginsAfterSilence(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/draft/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			cluster := newSilenceCluster(t, smallestBudget)
			cluster.engine1.Pause(silence)
			cluster.engine2.Pause(silence)
			streams := cluster.openStreams(path, withBaseModel)
			streams.ended.Wait()
		})
	}
}

// TestRequestsOutlastSilentTarget checks that requests whose target sends nothing for
// less than their deadline get its answer, without a second run of those that must not
// run twice. The target falls silent before it reads the request, or while it works on
// it. It is the only one of its service, and more requests wait than the retry budget
// allows to send again.
func TestRequestsOutlastSilentTarget(t *testing.T) {
	t.Parallel()
	const requests = 6
	for _, path := range []string{"/post/", "/read/"} {
		for _, working := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s working %t", strings.Trim(path, "/"), working), func(t *testing.T) {
				t.Parallel()
				cluster := newSilenceCluster(t, smallestBudget)
				if working {
					cluster.plain.Inject(func(p *platformtest.Target) { p.AnswerDelay = 200 * time.Millisecond })
				} else {
					cluster.plain.Pause(silence)
				}
				var group sync.WaitGroup
				for i := range requests {
					id := fmt.Sprint("request-", i)
					group.Go(func() {
						got := cluster.send(http.MethodPost, path, func(h http.Header) { h.Set("Request-Id", id) })
						if got.err != nil || got.status != http.StatusOK || got.body != "plain-1 answers "+id {
							t.Errorf("%s: status %d, error %v, body %q; logged: %s", id, got.status, got.err, got.body, cluster.logged(id))
						}
					})
				}
				if working {
					cluster.waitFor("requests at the target", func() bool { return executions(cluster.plain) == requests })
					cluster.plain.Pause(silence)
				}
				group.Wait()
				if n := executions(cluster.plain); n != requests {
					t.Errorf("ran %d times for %d requests", n, requests)
				}
			})
		}
	}
}
