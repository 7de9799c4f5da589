package gatewayinstance_test

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/internal/platformstore"
	"heatherrelay/platform/platformtest"
)

const (
	evacuationLimit = 2 * time.Second
	otherZone       = "south"
	evacuationKind  = "evacuations"
)

// newZonesCluster starts a platform with targets in testZone and otherZone, and instances that
// follow evacuations.
func newZonesCluster(t *testing.T, instances int) (*testCluster, []*platformtest.Target) {
	t.Helper()
	c := newTestCluster(t, 0)
	c.evacuationLimit = evacuationLimit
	var others []*platformtest.Target
	for _, id := range []string{"plain-south-1", "plain-south-2"} {
		target := &platformtest.Target{ID: id, Service: platformtest.PlainService, Zone: otherZone}
		target.Start()
		t.Cleanup(target.Close)
		target.Register(c.store, "ready")
		others = append(others, target)
	}
	for range instances {
		c.startInstance()
	}
	return c, others
}

// evacuate writes the evacuation of a zone.
func (c *testCluster) evacuate(zone string) { c.store.Put(evacuationKind, zone, struct{}{}) }

// awaitEvacuated returns once an instance refuses what only targets in the evacuated testZone
// could take.
func (c *testCluster) awaitEvacuated(i *instance) {
	c.t.Helper()
	c.waitFor("evacuation in force", func() bool {
		return c.sendThrough(i, http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusServiceUnavailable
	})
}

// received returns how many requests and calls the targets have got.
func received(targets ...*platformtest.Target) int {
	n := 0
	for _, target := range targets {
		n += len(target.ReceivedRequests()) + target.EngineCalls()
	}
	return n
}

// TestEvacuatedZoneGetsNothing checks that neither requests, orders nor calls for reports
// reach the targets of a zone within the limit after its evacuation, that others take over
// what they can, and that the rest is refused at once with a time to come back, as not run.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	t.Parallel()
	c, others := newZonesCluster(t, 2)
	for _, i := range c.instances {
		c.waitFor("stream before", func() bool {
			return c.sendThrough(i, http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK
		})
	}
	c.evacuate(testZone)
	evacuatedAt := time.Now()
	for _, i := range c.instances {
		c.awaitEvacuated(i)
	}
	if after := time.Since(evacuatedAt); after > evacuationLimit {
		t.Errorf("the evacuation was in force after %s", after)
	}
	before, ran := received(c.engine1, c.engine2, c.plain), executions(others[0])+executions(others[1])
	for n := range 40 {
		i := c.instances[n%len(c.instances)]
		if got := c.sendThrough(i, http.MethodGet, "/read/", nil); got.status != http.StatusOK {
			t.Fatalf("status %d, the other zone has targets: %s %v", got.status, got.body, got.err)
		}
		startedAt := time.Now()
		got := c.sendThrough(i, http.MethodPost, "/stream/", withAdapter("a"+strconv.Itoa(n)))
		if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != http.StatusServiceUnavailable || err != nil || seconds < 0.5 {
			t.Fatalf("status %d, Retry-After %q, want 503 with a time: %s %v", got.status, got.header.Get("Retry-After"), got.body, got.err)
		}
		if took := time.Since(startedAt); took > time.Second {
			t.Errorf("refused after %s", took)
		}
		// Longer, for all requests together, than the time between two reports of an engine.
		time.Sleep(90 * time.Millisecond)
	}
	if got := received(c.engine1, c.engine2, c.plain); got != before {
		t.Errorf("%d requests and calls reached the evacuated zone", got-before)
	}
	if got := executions(others[0]) + executions(others[1]); got != ran+40 {
		t.Errorf("%d requests ran in the other zone, want 40", got-ran)
	}
	c.store.Delete(evacuationKind, testZone)
	c.waitFor("service after the evacuation", func() bool {
		return c.send(http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK
	})
}

// TestAllZonesEvacuated checks that the evacuation of all zones at once, and one that exists
// nowhere, is obeyed: requests are refused until one of them ends.
func TestAllZonesEvacuated(t *testing.T) {
	t.Parallel()
	c, others := newZonesCluster(t, 1)
	for _, zone := range []string{"nowhere", testZone, otherZone} {
		c.evacuate(zone)
	}
	read := func() int { return c.send(http.MethodGet, "/read/", nil).status }
	c.waitFor("refusals", func() bool { return read() == http.StatusServiceUnavailable })
	before := received(append(others, c.plain)...)
	for range 10 {
		if status := read(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d while all zones are evacuated", status)
		}
	}
	if got := received(append(others, c.plain)...); got != before {
		t.Errorf("%d requests reached evacuated zones", got-before)
	}
	c.store.Delete(evacuationKind, otherZone)
	c.waitFor("service in the zone that is back", func() bool { return read() == http.StatusOK })
}

// cutFromStore replaces the store of an instance by one that it does not reach while cut is
// set.
func cutFromStore(cut *atomic.Bool) func(*gatewayinstance.Instance) {
	return func(i *gatewayinstance.Instance) {
		store, errCut := i.Store, platformstore.ErrUnavailable.New("cut off")
		i.Store.List = func(ctx context.Context, kind platformstore.Kind, stale bool) (platformstore.Page, error) {
			if cut.Load() {
				return platformstore.Page{}, errCut
			}
			return store.List(ctx, kind, stale)
		}
		i.Store.Watch = func(ctx context.Context, kind platformstore.Kind, after uint64, wait time.Duration) (platformstore.Page, error) {
			if cut.Load() {
				return platformstore.Page{}, errCut
			}
			page, err := store.Watch(ctx, kind, after, wait)
			if cut.Load() {
				return platformstore.Page{}, errors.Join(errCut, err)
			}
			return page, err
		}
	}
}

// TestEvacuationReachesAnInstanceCutOffFromTheStore guards against a zone that gets requests
// from an instance which the store turns away while its peers know of the evacuation.
func TestEvacuationReachesAnInstanceCutOffFromTheStore(t *testing.T) {
	t.Parallel()
	c, _ := newZonesCluster(t, 1)
	var cut atomic.Bool
	away := c.startInstanceWith(cutFromStore(&cut))
	c.waitForPeers()
	cut.Store(true)
	c.evacuate(testZone)
	evacuatedAt := time.Now()
	c.waitFor("evacuation in force", func() bool { return away.evacuated(t, testZone) })
	if after := time.Since(evacuatedAt); after > evacuationLimit {
		t.Errorf("the evacuation was in force after %s", after)
	}
	before := received(c.plain)
	for range 20 {
		if got := c.sendThrough(away, http.MethodGet, "/read/", nil); got.status != http.StatusOK {
			t.Errorf("status %d, the other zone has targets: %s %v", got.status, got.body, got.err)
		}
	}
	if got := received(c.plain); got != before {
		t.Errorf("%d requests reached the evacuated zone", got-before)
	}
}

// evacuated reports whether an instance shows that a zone is evacuated.
func (i *instance) evacuated(t *testing.T, zone string) bool {
	t.Helper()
	families, err := i.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == "heatherrelay_gateway_evacuated_zone" && m.GetLabel()[0].GetValue() == zone {
				return true
			}
		}
	}
	return false
}

// TestRestartOfAllInstancesDuringAnEvacuation guards against instances that have just started
// and send to an evacuated zone before they know of it. The store turns them away at first.
func TestRestartOfAllInstancesDuringAnEvacuation(t *testing.T) {
	t.Parallel()
	c, others := newZonesCluster(t, 0)
	first := []*instance{c.startKillableInstance(), c.startKillableInstance()}
	c.evacuate(testZone)
	for _, i := range first {
		c.awaitEvacuated(i)
		i.stopAndWait(t)
	}
	before := received(c.engine1, c.engine2, c.plain)
	c.store.Fail(http.StatusServiceUnavailable)
	time.AfterFunc(time.Second, func() { c.store.Fail(0) })
	for range first {
		i := c.startKillableInstance()
		for range 20 {
			if got := c.sendThrough(i, http.MethodGet, "/read/", nil); got.status != http.StatusOK {
				t.Errorf("status %d from a ready instance, the other zone has targets: %s %v", got.status, got.body, got.err)
			}
		}
	}
	if got := received(c.engine1, c.engine2, c.plain); got != before {
		t.Errorf("%d requests and calls reached the evacuated zone", got-before)
	}
	if executions(others[0])+executions(others[1]) == 0 {
		t.Error("nothing ran in the other zone")
	}
}

// TestEvacuationBesideInstancesThatKnowOfNone guards against an instance that relies on peers for
// the evacuations which hold none, such as those of the version before.
func TestEvacuationBesideInstancesThatKnowOfNone(t *testing.T) {
	t.Parallel()
	c, _ := newZonesCluster(t, 0)
	none := func(i *gatewayinstance.Instance) { i.Settings.EvacuationLimit.Duration = 0 }
	c.startInstanceWith(none)
	c.startInstanceWith(none)
	i := c.startInstance()
	c.waitForPeers()
	c.evacuate(testZone)
	evacuatedAt := time.Now()
	c.waitFor("evacuation in force", func() bool { return i.evacuated(t, testZone) })
	if after := time.Since(evacuatedAt); after > evacuationLimit {
		t.Errorf("the evacuation was in force after %s", after)
	}
}

// TestStartedInstanceWaitsForTheEvacuations guards against an instance that knows the
// configuration and the targets, but not yet the evacuations, and already sends.
func TestStartedInstanceWaitsForTheEvacuations(t *testing.T) {
	t.Parallel()
	c, others := newZonesCluster(t, 0)
	var known atomic.Bool
	early := make(chan reply, 1)
	c.startInstanceWith(func(i *gatewayinstance.Instance) {
		list := i.Store.List
		i.Store.List = func(ctx context.Context, kind platformstore.Kind, stale bool) (platformstore.Page, error) {
			if kind == evacuationKind && !known.Load() {
				return platformstore.Page{}, platformstore.ErrUnavailable.New("turned away")
			}
			return list(ctx, kind, stale)
		}
		time.AfterFunc(time.Second, func() {
			early <- c.sendThrough(&instance{settings: i.Settings}, http.MethodGet, "/read/", nil)
			known.Store(true)
		})
	})
	if !known.Load() {
		t.Error("ready before the evacuations are known")
	}
	if got := <-early; got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d before the evacuations are known: %s %v", got.status, got.body, got.err)
	}
	if got := received(append(others, c.plain)...); got != 0 {
		t.Errorf("%d requests were sent before the evacuations were known", got)
	}
}

// TestInstanceThatStoodStillLearnsOfAnEvacuationFirst guards against an instance that stood
// still while a zone was evacuated and sends there when it goes on.
func TestInstanceThatStoodStillLearnsOfAnEvacuationFirst(t *testing.T) {
	t.Parallel()
	c, _ := newZonesCluster(t, 0)
	i := c.startKillableInstance()
	c.waitFor("service", func() bool { return c.sendThrough(i, http.MethodGet, "/read/", nil).status == http.StatusOK })
	c.signal(i, syscall.SIGSTOP)
	c.evacuate(testZone)
	time.Sleep(evacuationLimit + time.Second)
	before := received(c.engine1, c.engine2, c.plain)
	c.signal(i, syscall.SIGCONT)
	for range 30 {
		c.sendThrough(i, http.MethodGet, "/read/", nil)
		c.sendThrough(i, http.MethodPost, "/stream/", withAdapter("a1"))
	}
	if got := received(c.engine1, c.engine2, c.plain); got != before {
		t.Errorf("%d requests and calls reached the evacuated zone", got-before)
	}
}
