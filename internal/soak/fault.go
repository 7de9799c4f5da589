package soak

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
)

// fault is a kind of fault. inject starts the fault and returns when it has ended.
// For a fault that ends by itself, such as after a number of requests, it returns at
// once.
type fault struct {
	name   string
	inject func(c *Cluster, random *rand.Rand)
}

const (
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. It is
	// shorter than most faults, so they overlap.
	meanFaultInterval = 350 * time.Millisecond
	// maxSilence is the longest time for which a healthy target sends nothing.
	maxSilence = 1800 * time.Millisecond
	// exitTime is how long after its shutdown grace a process may take to exit, and
	// startTime how long a started one may take until it accepts connections.
	exitTime  = 3 * time.Second
	startTime = 2 * time.Second
)

// randomDuration returns a duration between minFaultDuration and maxFaultDuration.
func randomDuration(random *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

func (c *Cluster) randomProcess(random *rand.Rand) *Process {
	return c.Processes[random.IntN(len(c.Processes))]
}

func (c *Cluster) randomTarget(random *rand.Rand) *platformtest.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[random.IntN(len(c.targets))]
}

func (c *Cluster) randomEngine(random *rand.Rand) *platformtest.Target {
	if !c.Incident {
		return c.targets[random.IntN(engineCount)]
	}
	ready := c.ready()
	return ready[random.IntN(len(ready))].Target
}

var faults = []fault{
	killFault,
	stopFault,
	{"pause an instance", func(c *Cluster, random *rand.Rand) { c.pauseFor(c.randomProcess(random), randomDuration(random)) }},
	hangupFault,
	{"network fault between an instance and the store", func(c *Cluster, random *rand.Rand) {
		c.injectProxyFault(c.storeProxies[random.IntN(len(c.storeProxies))], random)
	}},
	{"network fault between instances and a target", func(c *Cluster, random *rand.Rand) {
		c.injectProxyFault(c.targetProxies[random.IntN(len(c.targetProxies))], random)
	}},
	storeFault,
	{"responses of the store to writes are lost", func(c *Cluster, random *rand.Rand) { c.store.LoseAnswers(1 + random.IntN(4)) }},
	{"the store compacts its history", func(c *Cluster, _ *rand.Rand) { c.store.Compact() }},
	{"a target refuses requests", func(c *Cluster, random *rand.Rand) {
		c.randomTarget(random).Inject(func(t *platformtest.Target) { t.RefuseNext = 5 })
	}},
	loseFault, breakFault, revocationFault,
}

// The faults that runs of several kinds share.
var (
	killFault  = fault{"kill an instance", func(c *Cluster, random *rand.Rand) { c.killFor(c.randomProcess(random), randomDuration(random)/2) }}
	storeFault = fault{"the store refuses all calls", func(c *Cluster, random *rand.Rand) {
		defer c.disturb(nil)()
		c.store.Fail([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)])
		time.Sleep(randomDuration(random))
		c.store.Fail(0)
	}}
	loseFault = fault{"responses of a target are lost", func(c *Cluster, random *rand.Rand) {
		c.randomTarget(random).Inject(func(t *platformtest.Target) { t.LoseNext = 4 })
	}}
	breakFault = fault{"an engine breaks a stream off", func(c *Cluster, random *rand.Rand) {
		c.randomEngine(random).Inject(func(t *platformtest.Target) { t.BreakAfter = 1 + random.IntN(eventCount-1) })
	}}
)

// The faults that are no reason to lose a request.
var (
	stopFault   = fault{"stop an instance by SIGTERM", func(c *Cluster, random *rand.Rand) { c.stopAndRestart(c.randomProcess(random)) }}
	hangupFault = fault{"send SIGHUP to an instance", func(c *Cluster, random *rand.Rand) {
		c.randomProcess(random).Signal(syscall.SIGHUP)
	}}
	revocationFault = fault{"a key is withdrawn", func(c *Cluster, random *rand.Rand) { c.revokeKey(random) }}
	silenceFault    = fault{"a target falls silent for a while", func(c *Cluster, random *rand.Rand) {
		c.randomTarget(random).Pause(time.Duration(random.Int64N(int64(maxSilence))))
	}}
	configurationFault = fault{"a new configuration is published", func(c *Cluster, random *rand.Rand) { c.changeRoutes(random) }}
)

// overlaidFaults are injected beside faults, in a series of their own, so that a seed
// keeps its order of faults when kinds are added here.
var overlaidFaults = []fault{silenceFault, configurationFault}

// strangeFaults are injected among them, unless an earlier version runs too: some of those
// do not withstand them.
var strangeFaults = []fault{repeatFault, oddEntryFault, strayFault, emptyRestFault}

// plannedFaults are the faults of a run with planned work. Silences are as frequent as
// all others together, since most faults matter only beside them.
var plannedFaults = []fault{
	stopFault, hangupFault, revocationFault, configurationFault, configurationFault,
	silenceFault, silenceFault, silenceFault, silenceFault, silenceFault,
}

// restoreFault is a fault of runs with Cluster.Restores. It is not one of faults, so
// that the seeds of other runs inject what they did before it was added.
var restoreFault = fault{"the store comes back from an older copy", func(c *Cluster, random *rand.Rand) { c.restoreStore(random) }}

// maxRewriteDelay is the longest time between a restore and the operator's next write.
const maxRewriteDelay = 800 * time.Millisecond

// restoreStore has the store refuse all calls for a moment and brings it back from a
// copy of some seconds before. The operator and the targets then write again.
func (c *Cluster) restoreStore(random *rand.Rand) {
	if !c.restoring.TryLock() {
		return
	}
	defer c.restoring.Unlock()
	snapshot := c.store.Snapshot()
	time.Sleep(randomDuration(random))
	c.store.Fail(http.StatusServiceUnavailable)
	time.Sleep(randomDuration(random) / 8)
	c.store.Restore(snapshot)
	c.store.Fail(0)
	time.Sleep(time.Duration(random.Int64N(int64(maxRewriteDelay))))
	c.mu.Lock()
	c.config.Publish(c.store)
	c.mu.Unlock()
	for _, t := range c.targets {
		t.Register(c.store, "ready")
	}
}

// restart starts a process that has exited. If it cannot be started, the requests to
// it fail and count against minSuccessRate.
func (c *Cluster) restart(p *Process) {
	if err := p.Start(); err != nil {
		c.logf("%s did not start: %v", p.ID, err)
	}
}

// injectProxyFault gives a proxy a random fault for a random duration.
func (c *Cluster) injectProxyFault(p *Proxy, random *rand.Rand) {
	p.SetFault([]ProxyFault{Delayed, Blackhole, OneWay, Resetting}[random.IntN(4)])
	time.Sleep(randomDuration(random))
	p.SetFault(Healthy)
}

// revokeKey withdraws a random key by publishing a configuration without it, unless
// fewer than three are left. The time of withdrawal is taken just before the store
// has the new configuration.
func (c *Cluster) revokeKey(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.config.Keys) < 3 {
		return
	}
	remaining := map[string]string{}
	revokedIndex := random.IntN(len(c.config.Keys))
	for key, team := range c.config.Keys {
		if revokedIndex == 0 {
			c.revokedAt[key] = time.Now()
		} else {
			remaining[key] = team
		}
		revokedIndex--
	}
	c.config.Keys = remaining
	c.config.Version++
	c.config.Publish(c.store)
}

// routes returns the standard routes with timeouts that are longer than the clients'
// deadline.
func (c *Cluster) routes(timeout time.Duration) []platformtest.Route {
	routes := platformtest.StandardRoutes()
	for _, route := range routes {
		route["timeout-ms"] = timeout.Milliseconds()
		if c.Incident {
			route["max-attempts"] = incidentAttempts
		}
	}
	return routes
}

// changeRoutes publishes a configuration with other timeouts, none of them shorter
// than the clients' deadline, and with a route that no client uses. All requests
// remain allowed.
func (c *Cluster) changeRoutes(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Version++
	c.config.Routes = c.routes(2*c.deadline() + time.Duration(random.Int64N(int64(time.Second))))
	unused := maps.Clone(c.config.Routes[0])
	unused["name"], unused["path-prefix"] = "unused", fmt.Sprintf("/unused-%d/", c.config.Version)
	c.config.Routes = append(c.config.Routes, unused)
	c.config.Publish(c.store)
}

// stop is a time in which an instance may accept no connections and close those that
// it has: from a SIGTERM until the instance has started again.
type stop struct{ from, to time.Time }

// stopAndRestart stops an instance by SIGTERM and starts it again.
func (c *Cluster) stopAndRestart(p *Process) {
	from := time.Now()
	defer c.disturb(p)()
	p.Signal(syscall.SIGTERM)
	p.WaitForExit(c.shutdownGrace() + exitTime)
	c.restart(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[p] = append(c.stops[p], stop{from: from, to: time.Now().Add(startTime)})
}

// injectAllFaults injects the faults of the run.
func (c *Cluster) injectAllFaults() {
	random := rand.New(rand.NewPCG(c.Seed, 1))
	switch {
	case c.Planned:
		c.injectFaults(plannedFaults, random)
		return
	case c.Incident:
		c.injectFaults(incidentFaults, random)
		return
	case c.Crashes:
		c.injectFaults(crashFaults, random)
		return
	case c.Evacuations:
		c.injectFaults(evacuationFaults, random)
		return
	}
	overlaidRandom := rand.New(rand.NewPCG(c.Seed, math.MaxUint64))
	var group sync.WaitGroup
	overlaid := slices.Clone(overlaidFaults)
	if c.PreviousBinary == "" {
		overlaid = append(overlaid, strangeFaults...)
	}
	if c.Restores {
		overlaid = append(overlaid, restoreFault)
	}
	group.Go(func() { c.injectFaults(overlaid, overlaidRandom) })
	group.Go(func() { c.injectFaults(faults, random) })
	group.Wait()
}

// injectFaults starts random faults of the given kinds, which may overlap, for
// FaultDuration, and waits until each inject has returned.
func (c *Cluster) injectFaults(kinds []fault, random *rand.Rand) {
	var group sync.WaitGroup
	for end := time.Now().Add(c.FaultDuration); time.Now().Before(end); {
		f := kinds[random.IntN(len(kinds))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		c.logf("%s", f.name)
		group.Go(func() { f.inject(c, faultRandom) })
		pause := time.Duration(random.Int64N(int64(2 * meanFaultInterval)))
		if c.Crashes || c.Evacuations {
			pause += crashFaultPause
		}
		time.Sleep(pause)
	}
	group.Wait()
}

// clearFaults ends the faults that are still in effect, resumes paused instances and
// restarts exited ones.
func (c *Cluster) clearFaults() {
	c.store.Fail(0)
	c.store.LoseAnswers(0)
	for _, p := range append(append([]*Proxy{}, c.storeProxies...), c.targetProxies...) {
		p.SetFault(Healthy)
	}
	for _, t := range c.targets {
		t.Inject(func(t *platformtest.Target) {
			t.RefuseNext, t.LoseNext, t.BreakAfter, t.RepeatRefusals, t.StrayAfter, t.EmptyRests = 0, 0, 0, false, 0, 0
		})
	}
	for _, p := range c.Processes {
		p.Signal(syscall.SIGCONT)
		c.restart(p)
	}
}
