package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"heatherrelay/internal/loopback"
	"heatherrelay/internal/relay"
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

// testCluster is a platform of stand-ins with instances in front of it.
type testCluster struct {
	t         *testing.T
	store     *platformtest.Store
	config    platformtest.Config
	engine1   *platformtest.Target
	engine2   *platformtest.Target
	plain     *platformtest.Target
	instances []*instance
	client    *http.Client
}

type instance struct {
	settings relay.Settings
	registry *prometheus.Registry
	stop     context.CancelFunc
	done     chan error
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newTestCluster starts a platform with two engines and a plain target, and instances
// that are ready.
func newTestCluster(t *testing.T, instances int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{}}}
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

func (w *testCluster) startTarget(service, id string) *platformtest.Target {
	target := &platformtest.Target{ID: id, Service: service, Zone: testZone}
	if service == platformtest.ModelService {
		target.Model, target.Places, target.LoadTime = platformtest.Model, platformtest.AdapterPlaces, 50*time.Millisecond
		target.Events, target.EventGap = eventCount, 2*time.Millisecond
	}
	target.Start()
	w.t.Cleanup(target.Close)
	target.Register(w.store, "ready")
	return target
}

func (w *testCluster) startInstance() *instance {
	w.t.Helper()
	i := &instance{done: make(chan error, 1), registry: prometheus.NewRegistry()}
	i.settings = relay.Settings{
		InstanceID: fmt.Sprint("instance-", len(w.instances)+1),
		Zone:       testZone,
		Listen: relay.Listen{
			Clients: freeAddress(w.t), Ready: freeAddress(w.t), Peers: freeAddress(w.t),
		},
		Store:              w.store.Address(),
		ConfigurationLimit: settings.Duration{Duration: 2 * time.Second},
		TargetsLimit:       settings.Duration{Duration: 2 * time.Second},
		KeyLimit:           settings.Duration{Duration: 3 * time.Second},
		OrderQuietTime:     settings.Duration{Duration: 100 * time.Millisecond},
		ShutdownGrace:      settings.Duration{Duration: 5 * time.Second},
		AllowanceWindow:    settings.Duration{Duration: 8 * time.Second},
		Retry:              relay.Retry{Ratio: 0.2, Extra: 50},
	}
	r := &relay.Relay{Settings: i.settings, Log: zap.NewNop(), Registry: i.registry}
	platform.Connect(r)
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go func() { i.done <- r.Run(ctx) }()
	w.instances = append(w.instances, i)
	w.t.Cleanup(func() { i.stopAndWait(w.t) })
	w.waitFor("instance ready", func() bool { return w.isReady(i) })
	return i
}

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

func (w *testCluster) isReady(i *instance) bool {
	response, err := w.client.Get("http://" + i.settings.Listen.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (w *testCluster) waitFor(what string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	w.t.Fatalf("%s: not reached", what)
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request through the first instance.
func (w *testCluster) send(method, path string, editHeader func(http.Header)) reply {
	w.t.Helper()
	return w.sendThrough(w.instances[0], method, path, editHeader)
}

func (w *testCluster) sendThrough(i *instance, method, path string, editHeader func(http.Header)) reply {
	w.t.Helper()
	response, err := w.open(context.Background(), i, method, path, editHeader)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (w *testCluster) open(ctx context.Context, i *instance, method, path string, editHeader func(http.Header)) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.settings.Listen.Clients.String()+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", fmt.Sprintf("request-%d", time.Now().UnixNano()))
	request.Header.Set("Key", testKey)
	request.Header.Set("Deadline-Ms", "3000")
	if editHeader != nil {
		editHeader(request.Header)
	}
	return w.client.Do(request)
}

func withAdapter(name string) func(http.Header) {
	return func(h http.Header) {
		h.Set("Model", platformtest.Model+"/"+name)
		h.Set("Token-Count", "100,50")
		h.Set("Prompt-Prefix", "ab12:80,cd34:20")
	}
}

// streamBody is the body of a stream of so many events.
func streamBody(events int) string {
	text := ""
	for i := range events {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return text
}

func firstLine(r io.Reader) (string, error) { return bufio.NewReader(r).ReadString('\n') }

func executions(target *platformtest.Target) int {
	n := 0
	for _, a := range target.Arrivals() {
		if a.Ran {
			n++
		}
	}
	return n
}
