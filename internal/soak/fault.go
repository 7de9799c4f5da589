package soak

import (
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
)

// randomDuration returns a duration between minFaultDuration and maxFaultDuration.
func randomDuration(random *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

func (c *Cluster) randomProcess(random *rand.Rand) *Process {
	return c.Processes[random.IntN(len(c.Processes))]
}

func (c *Cluster) randomTarget(random *rand.Rand) *platformtest.Target {
	return c.targets[random.IntN(len(c.targets))]
}

var faults = []fault{
	{"kill an instance", func(c *Cluster, random *rand.Rand) {
		p := c.randomProcess(random)
		p.Signal(syscall.SIGKILL)
		p.WaitForExit(time.Second)
		time.Sleep(randomDuration(random) / 2)
		c.restart(p)
	}},
	{"stop an instance by SIGTERM", func(c *Cluster, random *rand.Rand) {
		p := c.randomProcess(random)
		p.Signal(syscall.SIGTERM)
		p.WaitForExit(2 * maxFaultDuration)
		c.restart(p)
	}},
	{"pause an instance", func(c *Cluster, random *rand.Rand) {
		p := c.randomProcess(random)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(random))
		p.Signal(syscall.SIGCONT)
	}},
	{"send SIGHUP to an instance", func(c *Cluster, random *rand.Rand) { c.randomProcess(random).Signal(syscall.SIGHUP) }},
	{"network fault between an instance and the store", func(c *Cluster, random *rand.Rand) {
		c.injectProxyFault(c.storeProxies[random.IntN(len(c.storeProxies))], random)
	}},
	{"network fault between instances and a target", func(c *Cluster, random *rand.Rand) {
		c.injectProxyFault(c.targetProxies[random.IntN(len(c.targetProxies))], random)
	}},
	{"the store refuses all calls", func(c *Cluster, random *rand.Rand) {
		c.store.Fail([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)])
		time.Sleep(randomDuration(random))
		c.store.Fail(0)
	}},
	{"responses of the store to writes are lost", func(c *Cluster, random *rand.Rand) { c.store.LoseAnswers(1 + random.IntN(4)) }},
	{"the store compacts its history", func(c *Cluster, _ *rand.Rand) { c.store.Compact() }},
	{"a target refuses requests", func(c *Cluster, random *rand.Rand) {
		c.randomTarget(random).Inject(func(t *platformtest.Target) { t.RefuseNext = 5 })
	}},
	{"responses of a target are lost", func(c *Cluster, random *rand.Rand) {
		c.randomTarget(random).Inject(func(t *platformtest.Target) { t.LoseNext = 4 })
	}},
	{"an engine breaks a stream off", func(c *Cluster, random *rand.Rand) {
		c.targets[random.IntN(engineCount)].Inject(func(t *platformtest.Target) { t.BreakAfter = 1 + random.IntN(eventCount-1) })
	}},
	{"a key is withdrawn", func(c *Cluster, random *rand.Rand) { c.revokeKey(random) }},
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

// injectFaults starts random faults, which may overlap, for FaultDuration, and waits
// until each inject has returned.
func (c *Cluster) injectFaults(random *rand.Rand) {
	var group sync.WaitGroup
	kinds := faults
	if c.Restores {
		kinds = append(slices.Clone(faults), restoreFault)
	}
	for end := time.Now().Add(c.FaultDuration); time.Now().Before(end); {
		f := kinds[random.IntN(len(kinds))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		c.logf("%s", f.name)
		group.Go(func() { f.inject(c, faultRandom) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanFaultInterval))))
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
		t.Inject(func(t *platformtest.Target) { t.RefuseNext, t.LoseNext, t.BreakAfter = 0, 0, 0 })
	}
	for _, p := range c.Processes {
		p.Signal(syscall.SIGCONT)
		c.restart(p)
	}
}
