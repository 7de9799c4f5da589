package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
)

// The sizes and times of a run.
const (
	engineCount      = 3
	plainTargetCount = 2
	// eventCount is the number of events of a stream, eventGap the time between them.
	eventCount = 6
	eventGap   = 15 * time.Millisecond
	// loadTime is how long an engine takes to load an adapter.
	loadTime = 100 * time.Millisecond
	// readyTimeout bounds the start of all instances, whose readiness is read every
	// readyInterval.
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	// keyLimit is the instances' setting key_limit: a withdrawn key must stop working
	// within it.
	keyLimit = 4 * time.Second
	// shutdownGrace is the instances' setting shutdown_grace. plannedShutdownGrace
	// leaves time for requests with plannedDeadline.
	shutdownGrace        = 5 * time.Second
	plannedShutdownGrace = 12 * time.Second
	// plannedEventGap makes streams last longer, so that more of them are under way
	// at a fault.
	plannedEventGap = 60 * time.Millisecond
	// recoveryTime is the time between the end of the faults and the measurement of
	// the success rate, which lasts measurementTime.
	recoveryTime    = 10 * time.Second
	measurementTime = 3 * time.Second
	// minSuccessRate is the least fraction of the measured requests that must succeed.
	minSuccessRate = 0.7
)

// Cluster runs a fake platform, instances in front of it, and clients. Set the
// exported fields down to Log before Run.
type Cluster struct {
	// Seed seeds the random choices of routes, instances, faults and times.
	Seed uint64
	// Binary is the path of the heatherrelay binary; Dir is the directory for
	// settings files and logs.
	Binary, Dir string
	// PreviousBinary is that of an earlier version; optional. Instances begin with it, and
	// each restart replaces it by Binary or that by it, so that both run side by side.
	PreviousBinary string
	// Instances and Clients are the numbers of instances and clients.
	Instances, Clients int
	// Planned limits the faults to planned work, such as new configurations and
	// SIGTERM, and to targets that are silent for a while. None of these is a reason
	// to lose a request, so each request must then get a whole response.
	Planned bool
	// FaultDuration is how long new faults are injected.
	FaultDuration time.Duration
	// Restores adds restores of the store from older copies to the faults.
	Restores bool
	// Crashes adds requests whose prompts have a part that crashes engines and targets
	// that state limits, beside fewer other faults.
	Crashes bool
	// Incident has engines of two software versions beside each other, releases, kills of
	// many instances, targets that repeat refusals or end their answers with their
	// connections, and clients that take streams up again.
	Incident bool
	// Evacuations has zones be evacuated, and targets be cold, beside fewer other faults.
	Evacuations bool
	// Log receives a line for each fault and for the result; optional.
	Log func(string)

	// Processes holds the instances.
	Processes []*Process
	store     *platformtest.Store
	// storeProxies has one proxy per instance, targetProxies one per target.
	storeProxies  []*Proxy
	targets       []*platformtest.Target
	targetProxies []*Proxy
	requests      requestLog

	// restoring is held during a restore, since copies must not overlap.
	restoring sync.Mutex
	// disturbed is held while instances or the store are disturbed, in runs with quiet times.
	disturbed sync.Mutex
	// releasing is held during a release. newestVersion is the number of the newest version.
	releasing     sync.Mutex
	newestVersion int
	// limitedNow holds the targets that state a limit at present.
	limitedNow sync.Map
	// evacuatedNow holds the zones that are evacuated, or have cold targets, at present.
	evacuatedNow sync.Map

	mu     sync.Mutex
	config platformtest.Config
	// revokedAt holds the time of withdrawal of each withdrawn key.
	revokedAt map[string]time.Time
	// stops holds the times for which each instance was stopped by SIGTERM.
	stops map[*Process][]stop
	// disturbances holds the times for which each instance, and under nil the store, was
	// disturbed by a fault. limits holds the times in which targets stated limits.
	disturbances map[*Process][]stop
	limits       []limited
	evacuations  []evacuation
	colds        []coldTimes
	// brittleNow is held while the plain targets are brittle; brittleTimes holds when they
	// were.
	brittleNow   sync.Mutex
	brittleTimes []brittleTime
	// engines holds the engines of runs with Incident, herdKills when many instances had
	// been killed and started again.
	engines   []*engine
	herdKills []time.Time
}

func (c *Cluster) logf(format string, args ...any) {
	if c.Log != nil {
		c.Log(time.Now().Format(timeFormat) + " " + fmt.Sprintf(format, args...))
	}
}

// deadline returns the deadline that clients state in their requests.
func (c *Cluster) deadline() time.Duration {
	switch {
	case c.Incident:
		return incidentDeadline
	case c.Planned:
		return plannedDeadline
	}
	return requestDeadline
}

func (c *Cluster) shutdownGrace() time.Duration {
	if c.Planned || c.Incident {
		return plannedShutdownGrace
	}
	return shutdownGrace
}

func (c *Cluster) eventGap() time.Duration {
	if c.Planned {
		return plannedEventGap
	}
	return eventGap
}

// extraSettings returns settings that only runs of some kinds have.
func (c *Cluster) extraSettings() string {
	if c.Evacuations {
		return evacuationSettings
	}
	return ""
}

// binaries returns the programs that the starts of an instance use in turn.
func (c *Cluster) binaries() []string {
	if c.PreviousBinary == "" {
		return []string{c.Binary}
	}
	return []string{c.PreviousBinary, c.Binary}
}

// Run starts the platform and the instances, sends requests while it injects faults
// and for some time after them, and returns the violations. It fails if the
// instances do not start.
func (c *Cluster) Run() ([]string, error) {
	defer c.shutdown()
	if err := c.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range c.Clients {
		loadClient := &client{cluster: c, random: rand.New(rand.NewPCG(c.Seed, uint64(2+i))), http: c.newHTTPClient()}
		clients.Go(func() { loadClient.run(stop) })
	}
	c.injectAllFaults()
	c.clearFaults()
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(measurementTime)
	close(stop)
	clients.Wait()
	violations := c.check(recovered)
	if len(violations) == 0 {
		return nil, nil
	}
	return violations, c.requests.write(filepath.Join(c.Dir, "requests.log"))
}

func (c *Cluster) newHTTPClient() *http.Client {
	return &http.Client{Timeout: 2 * c.deadline(), Transport: &http.Transport{}}
}

// start starts the fake platform and the instances, and waits until all instances
// are ready.
func (c *Cluster) start() error {
	c.store = platformtest.NewStore()
	if c.Incident && c.Seed%largeSeeds == 0 {
		c.Instances, c.Clients = largeInstances, largeClients
	}
	c.revokedAt, c.stops = map[string]time.Time{}, map[*Process][]stop{}
	c.disturbances = map[*Process][]stop{}
	c.config = platformtest.Config{Version: 1, Routes: c.routes(2 * c.deadline()), Rate: 10_000_000, Burst: 10_000_000, Keys: map[string]string{}}
	if c.Evacuations {
		c.config.ColdStartS, c.config.ColdPerS = coldTime.Seconds(), coldRate
	}
	for i := range 6 {
		c.config.Keys[fmt.Sprintf("key-%d", i)] = fmt.Sprintf("team-%d", i%2)
	}
	c.config.Publish(c.store)
	if err := c.startTargets(); err != nil {
		return err
	}
	for i := range c.Instances {
		proxy, err := NewProxy(c.store.Address())
		if err != nil {
			return err
		}
		c.storeProxies = append(c.storeProxies, proxy)
		p, err := newProcess(c.binaries(), c.Dir, fmt.Sprintf("instance-%d", i), fmt.Sprintf("zone-%d", i%engineCount), proxy.Address(), keyLimit, c.shutdownGrace(), c.extraSettings())
		if err != nil {
			return err
		}
		c.Processes = append(c.Processes, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		if c.allReady() {
			return nil
		}
	}
	return fmt.Errorf("the instances did not become ready within %s", readyTimeout)
}

func (c *Cluster) allReady() bool {
	for _, p := range c.Processes {
		if !p.IsReady() {
			return false
		}
	}
	return true
}

// startTargets starts the targets of the run.
func (c *Cluster) startTargets() error {
	if c.Incident {
		c.startIncidentTargets()
		return nil
	}
	for i := range engineCount + plainTargetCount {
		if err := c.startTarget(i); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts target number i, with a proxy in front of it, and registers the
// proxy's address. The first engineCount targets are engines.
func (c *Cluster) startTarget(i int) error {
	t := &platformtest.Target{ID: fmt.Sprintf("target-%d", i), Zone: fmt.Sprintf("zone-%d", i%engineCount), Service: platformtest.PlainService}
	if i < engineCount {
		t.Service, t.Model, t.AdapterSlots, t.LoadTime = platformtest.ModelService, platformtest.Model, platformtest.AdapterSlots, loadTime
		t.Events, t.EventGap = eventCount, c.eventGap()
		if c.Crashes {
			t.CrashPart, t.CrashBody, t.Downtime, t.CrashStore, t.AnswerDelay = crashingPart, repeatedBody, crashDowntime, c.store, crashAnswerDelay
		}
	}
	t.Start()
	proxy, err := NewProxy(t.Address())
	if err != nil {
		return err
	}
	t.AdvertisedAddress = proxy.Address()
	t.Register(c.store, "ready")
	c.targets, c.targetProxies = append(c.targets, t), append(c.targetProxies, proxy)
	return nil
}

// shutdown stops the processes, proxies and fakes that this run started.
func (c *Cluster) shutdown() {
	for _, p := range c.Processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		p.WaitForExit(time.Second)
	}
	for _, p := range append(c.storeProxies, c.targetProxies...) {
		p.Close()
	}
	for _, t := range c.targets {
		t.Close()
	}
	if c.store != nil {
		c.store.Close()
	}
}

// pickKey returns a valid key or, once keys have been withdrawn, a withdrawn one for
// one in six requests.
func (c *Cluster) pickKey(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.revokedAt) > 0 && random.IntN(6) == 0 {
		for key := range c.revokedAt {
			return key
		}
	}
	for key := range c.config.Keys {
		return key
	}
	return ""
}
