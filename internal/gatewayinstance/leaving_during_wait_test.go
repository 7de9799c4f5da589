package gatewayinstance_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/internal/placement"
	"heatherrelay/platform/platformtest"
)

const (
	// leavingLimit is the time within which a target that leaves gets no more requests.
	leavingLimit = 1100 * time.Millisecond
	// slowLoad is how long an order takes from the moment at which its engine leaves. Together
	// with the load itself it is longer than leavingLimit.
	slowLoad = 1200 * time.Millisecond
	// leavingDelay is the time from the order until the engine leaves.
	leavingDelay = 50 * time.Millisecond
)

// departure has the engine leave that gets the first order after armed is set, and delays that
// order.
type departure struct {
	armed  atomic.Bool
	leave  func(deployment.TargetID)
	leftAt atomic.Pointer[time.Time]
	engine atomic.Value
}

// delayOrder is an edit of an instance, for startInstanceWith.
func (d *departure) delayOrder(i *gatewayinstance.Instance) {
	i.Settings.TargetsLimit.Duration = leavingLimit
	order := i.Platform.Holder.Order
	i.Platform.Holder.Order = func(ctx context.Context, target deployment.Target, o placement.Order) (placement.Outcome, error) {
		if d.armed.CompareAndSwap(true, false) {
			time.Sleep(leavingDelay)
			now := time.Now()
			d.engine.Store(target.ID)
			d.leftAt.Store(&now)
			d.leave(target.ID)
			time.Sleep(slowLoad)
		}
		return order(ctx, target, o)
	}
}

// The ways in which an engine leaves.
func drains(c *testCluster, engine *platformtest.Target) { engine.Register(c.store, "draining") }

func isRemoved(c *testCluster, engine *platformtest.Target) { c.store.Delete("servers", engine.ID) }

// isReplaced has another process, which drains, take the engine's place.
func isReplaced(c *testCluster, engine *platformtest.Target) {
	engine.Inject(func(e *platformtest.Target) { e.Generation = 2 })
	drains(c, engine)
}

// TestEngineThatLeavesDuringALoadGetsNoRequest guards against a request that chose its engine,
// waited for the load of its adapter, and is sent there although the engine has left meanwhile
// (DRAIN): at first, as a retry, as the rest of a stream that broke off, and as a hedge.
func TestEngineThatLeavesDuringALoadGetsNoRequest(t *testing.T) {
	t.Parallel()
	refuse := func(e *platformtest.Target) { e.RefuseNext = 1 }
	breakOff := func(e *platformtest.Target) { e.BreakAfter = 2 }
	beSilent := func(e *platformtest.Target) { e.AnswerDelay = 5 * time.Second }
	for name, c := range map[string]struct {
		// fault is what happens at the other engine, which has the adapter; nil if none has.
		fault func(*platformtest.Target)
		leave func(*testCluster, *platformtest.Target)
	}{
		"first attempt, drains":  {nil, drains},
		"first attempt, removed": {nil, isRemoved},
		"first attempt, other":   {nil, isReplaced},
		"retry, drains":          {refuse, drains},
		"retry, removed":         {refuse, isRemoved},
		"resume, drains":         {breakOff, drains},
		"resume, removed":        {breakOff, isRemoved},
		"hedge, drains":          {beSilent, drains},
		"hedge, removed":         {beSilent, isRemoved},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t, 0)
			cluster.config.Routes = patientStreams()
			cluster.config.Publish(cluster.store)
			d := &departure{leave: func(id deployment.TargetID) { c.leave(cluster, cluster.engine(id)) }}
			cluster.startInstanceWith(d.delayOrder)
			if c.fault != nil {
				cluster.waitFor("stream before", func() bool {
					return cluster.send(http.MethodPost, "/stream/", withAdapter("a1")).status == http.StatusOK
				})
				cluster.engineThatRan(1).Inject(c.fault)
			}
			cluster.waitFor("lease", func() bool { return cluster.logs.FilterMessage("placement lease acquired").Len() > 0 })
			d.armed.Store(true)
			got := cluster.send(http.MethodPost, "/stream/", patiently)
			cluster.checkDeparture(d, got)
		})
	}
}

// patientStreams returns the standard routes with a time limit and an objective that outlast
// slowLoad beside a hedge.
func patientStreams() []platformtest.Route {
	routes := platformtest.StandardRoutes()
	for _, r := range routes {
		r["timeout-ms"], r["target-latency-ms"], r["gap-aim-ms"] = 12000, 300, 100
	}
	return routes
}

func patiently(h http.Header) {
	withAdapter("a1")(h)
	h.Set("Deadline-Ms", "12000")
}

// engine returns the engine with an id.
func (c *testCluster) engine(id deployment.TargetID) *platformtest.Target {
	if c.engine1.ID == string(id) {
		return c.engine1
	}
	return c.engine2
}

// engineThatRan returns the engine that has run a number of requests.
func (c *testCluster) engineThatRan(requests int) *platformtest.Target {
	c.t.Helper()
	for _, engine := range []*platformtest.Target{c.engine1, c.engine2} {
		if executions(engine) == requests {
			return engine
		}
	}
	c.t.Fatalf("no engine has run %d requests", requests)
	return nil
}

// checkDeparture checks that no request reached the engine that left later than the limit
// after that.
func (c *testCluster) checkDeparture(d *departure, got reply) {
	c.t.Helper()
	if d.leftAt.Load() == nil {
		c.t.Fatalf("no engine was ordered to load: %+v", got)
	}
	for _, r := range c.engine(d.engine.Load().(deployment.TargetID)).ReceivedRequests() {
		if after := r.At.Sub(*d.leftAt.Load()); after > leavingLimit {
			c.t.Errorf("a request reached the engine %s after it had left, %s are allowed; status %d", after, leavingLimit, got.status)
		}
	}
}
