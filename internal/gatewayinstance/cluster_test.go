package gatewayinstance_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/internal/loopback"
	"heatherrelay/internal/settings"
	"heatherrelay/platform"
	"heatherrelay/platform/platformtest"
)

const (
	testKey      = "key-of-roads"
	testZone     = "north"
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	eventCount   = 5
)

// testCluster is a simulated platform with a store, two engines and a plain target,
// and the instances in front of it.
type testCluster struct {
	t       *testing.T
	store   *platformtest.Store
	config  platformtest.Config
	engine1 *platformtest.Target
	engine2 *platformtest.Target
	plain   *platformtest.Target
	// targets are all targets that startTarget started.
	targets []*platformtest.Target
	// engines are the engines of a cluster with several software versions.
	engines   []*platformtest.Target
	instances []*instance
	client    *http.Client
	// retry bounds the retries of the instances that startInstance starts.
	retry gatewayinstance.Retry
	// evacuationLimit is the setting of these instances.
	evacuationLimit time.Duration
	// logs holds the log entries of all instances.
	logs *observer.ObservedLogs
	log  *zap.Logger
}

// instance is a running instance of the gateway.
type instance struct {
	settings gatewayinstance.Settings
	registry *prometheus.Registry
	stop     context.CancelFunc
	done     chan error
	// signal sends a signal to an instance in a process of its own; nil for others.
	signal func(os.Signal) error
}

// usedAddresses holds the addresses that freeAddress returned. Nothing listens on an
// address from its choice until its instance has started.
var usedAddresses sync.Map

// freeAddress returns a loopback address with a free port, each address once.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

// newTestCluster starts a platform and the given number of instances, and returns when
// all instances are ready.
func newTestCluster(t *testing.T, instances int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{}}}
	c.retry = gatewayinstance.Retry{Ratio: 0.2, Extra: 50}
	core, logs := observer.New(zap.InfoLevel)
	c.log, c.logs = zap.New(core), logs
	t.Cleanup(c.store.Close)
	c.config = platformtest.Config{
		Version: 1, Routes: platformtest.StandardRoutes(), Keys: map[string]string{testKey: "roads"}, Rate: 1_000_000, Burst: 1_000_000,
	}
	c.config.Publish(c.store)
	c.engine1 = c.startTarget(platformtest.ModelService, "engine-1")
	c.engine2 = c.startTarget(platformtest.ModelService, "engine-2")
	c.plain = c.startTarget(platformtest.PlainService, "plain-1")
	for range instances {
		c.startInstance()
	}
	return c
}

// startTarget starts a target of a service and registers it in the store.
func (c *testCluster) startTarget(service, id string) *platformtest.Target {
	target := &platformtest.Target{ID: id, Service: service, Zone: testZone}
	if service == platformtest.ModelService {
		target.Model, target.AdapterSlots, target.LoadTime = platformtest.Model, platformtest.AdapterSlots, 50*time.Millisecond
		target.Events, target.EventGap = eventCount, 2*time.Millisecond
	}
	target.Start()
	c.t.Cleanup(target.Close)
	target.Register(c.store, "ready")
	c.targets = append(c.targets, target)
	return target
}

// startInstance starts an instance and returns when it is ready.
func (c *testCluster) startInstance() *instance {
	c.t.Helper()
	return c.startInstanceWith(func(*gatewayinstance.Instance) {})
}

// startInstanceWith is startInstance for an instance that edit changes before it runs.
func (c *testCluster) startInstanceWith(edit func(*gatewayinstance.Instance)) *instance {
	c.t.Helper()
	i := &instance{settings: c.newSettings(), done: make(chan error, 1), registry: prometheus.NewRegistry()}
	gateway := &gatewayinstance.Instance{Settings: i.settings, Log: c.log, Registry: i.registry}
	platform.Connect(gateway)
	edit(gateway)
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go func() { i.done <- gateway.Run(ctx) }()
	c.addInstance(i)
	return i
}

// addInstance adds a started instance to the cluster, stops it at the end of the test, at the
// same time as the others, and returns when it is ready.
func (c *testCluster) addInstance(i *instance) {
	c.t.Helper()
	c.instances = append(c.instances, i)
	c.t.Cleanup(func() {
		for _, other := range c.instances {
			other.stop()
		}
		i.stopAndWait(c.t)
	})
	c.waitFor("instance ready", func() bool { return c.isReady(i) })
}

// newSettings returns the settings of the next instance, with free addresses.
func (c *testCluster) newSettings() gatewayinstance.Settings {
	c.t.Helper()
	return gatewayinstance.Settings{
		InstanceID: fmt.Sprint("instance-", len(c.instances)+1),
		Zone:       testZone,
		Listen: gatewayinstance.Listen{
			Clients: freeAddress(c.t), Ready: freeAddress(c.t), Peers: freeAddress(c.t),
		},
		Store:              c.store.Address(),
		ConfigurationLimit: settings.Duration{Duration: 2 * time.Second},
		TargetsLimit:       settings.Duration{Duration: 2 * time.Second},
		KeyLimit:           settings.Duration{Duration: 5 * time.Second},
		OrderQuietTime:     settings.Duration{Duration: 100 * time.Millisecond},
		ShutdownGrace:      settings.Duration{Duration: 5 * time.Second},
		AllowanceWindow:    settings.Duration{Duration: 8 * time.Second},
		Retry:              c.retry,
		EvacuationLimit:    settings.Duration{Duration: c.evacuationLimit},
	}
}

// stopAndWait shuts the instance down and waits until Run returns. It may be called
// more than once.
func (i *instance) stopAndWait(t *testing.T) {
	t.Helper()
	i.stop()
	select {
	case err := <-i.done:
		if err != nil {
			t.Error(err)
		}
		i.done <- nil
	case <-time.After(waitTimeout):
		t.Error("the instance did not stop")
	}
}

// isReady reports whether the instance answers the readiness probe with 200.
func (c *testCluster) isReady(i *instance) bool {
	response, err := c.client.Get("http://" + i.settings.Listen.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// waitFor polls a condition until it holds, and fails the test after waitTimeout.
func (c *testCluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("%s: condition not met in time", what)
}

// reply is the answer that a client received, with the error of sending the request or
// of reading the body.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request through the first instance. Its headers are the defaults of
// open, as changed by editHeader, which may be nil.
func (c *testCluster) send(method, path string, editHeader func(http.Header)) reply {
	c.t.Helper()
	return c.sendThrough(c.instances[0], method, path, editHeader)
}

// sendThrough is send through a given instance.
func (c *testCluster) sendThrough(i *instance, method, path string, editHeader func(http.Header)) reply {
	c.t.Helper()
	return c.sendBody(i, method, path, newBody(), editHeader)
}

// sendBody is sendThrough with a given body.
func (c *testCluster) sendBody(i *instance, method, path, body string, editHeader func(http.Header)) reply {
	c.t.Helper()
	response, err := c.openWithBody(context.Background(), i, method, path, body, editHeader)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(answer), err: err}
}

// open sends a request with a body of its own, as clients do, and returns the response
// with its body unread. The caller closes the body.
func (c *testCluster) open(ctx context.Context, i *instance, method, path string, editHeader func(http.Header)) (*http.Response, error) {
	return c.openWithBody(ctx, i, method, path, newBody(), editHeader)
}

// bodyNumber counts the bodies of newBody.
var bodyNumber atomic.Uint64

// newBody returns a body that no other request has.
func newBody() string { return fmt.Sprint("body ", bodyNumber.Add(1)) }

// openWithBody is open with a given body; GET and HEAD requests are sent without it.
func (c *testCluster) openWithBody(ctx context.Context, i *instance, method, path, body string, editHeader func(http.Header)) (*http.Response, error) {
	if method == http.MethodGet || method == http.MethodHead {
		body = ""
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.settings.Listen.Clients.String()+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", fmt.Sprintf("request-%d", time.Now().UnixNano()))
	request.Header.Set("Key", testKey)
	request.Header.Set("Deadline-Ms", "3000")
	if editHeader != nil {
		editHeader(request.Header)
	}
	return c.client.Do(request)
}

// withAdapter returns an edit of the headers that selects an adapter of the base model.
func withAdapter(name string) func(http.Header) {
	return func(h http.Header) {
		h.Set("Model", platformtest.Model+"/"+name)
		h.Set("Token-Count", "100,50")
		h.Set("Prompt-Prefix", "ab12:80,cd34:20")
	}
}

// streamBody returns the body of a complete stream with the given number of events.
func streamBody(events int) string {
	text := ""
	for i := range events {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return text
}

func firstLine(r io.Reader) (string, error) { return bufio.NewReader(r).ReadString('\n') }

// executions returns how many requests a target has run.
func executions(target *platformtest.Target) int {
	n := 0
	for _, received := range target.ReceivedRequests() {
		if received.Ran {
			n++
		}
	}
	return n
}

// loggedOnLoads returns what the instances logged on orders, on loads that were not
// ordered and on the lease, with the time since the first line.
func (c *testCluster) loggedOnLoads() string {
	text := ""
	entries := c.logs.All()
	for _, entry := range entries {
		switch entry.Message {
		case "order sent", "adapter not loaded", "placement lease acquired", "placement lease lost", "lease renewal unanswered", "lease renewal failed":
			text += fmt.Sprintf("\n%s %s %v", entry.Time.Sub(entries[0].Time).Round(time.Millisecond), entry.Message, entry.ContextMap())
		}
	}
	return text
}
