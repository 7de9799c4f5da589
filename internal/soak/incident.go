package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
)

// The sizes and times of runs with Cluster.Incident.
const (
	// incidentDeadline leaves clients time to take a stream up again several times.
	incidentDeadline = 10 * time.Second
	// incidentEvents and plannedEventGap make streams last long enough for faults to
	// break many of them.
	incidentEvents = 25
	// One in largeSeeds runs has largeInstances and largeClients.
	largeSeeds     = 10
	largeInstances = 40
	largeClients   = 96
	// incidentAttempts is the number of targets to which a request may be sent.
	incidentAttempts = 3
	// enginesPerVersion is the number of engines of each of the first two versions.
	enginesPerVersion = 3
	// releaseGap is the time between the replacements of two engines. servingTime is how
	// long a replaced engine goes on serving; shortNotice is that of one that is taken away.
	releaseGap  = 400 * time.Millisecond
	servingTime = 2500 * time.Millisecond
	shortNotice = time.Second
	// maxDowntime is the longest time for which killed instances or a crashed target are
	// down.
	maxDowntime = 1200 * time.Millisecond
	// maxSeriesGap is the longest time between two signals of a series.
	maxSeriesGap = 600 * time.Millisecond
	// refusals is the number of requests that a target refuses at a time.
	refusals = 4
	// calmTime is how long no other fault disturbs instances or the store after many were
	// killed, in one of two runs, so that streams that are taken up again count.
	calmTime = undisturbedTime + takeUpWindow
	// halfDelay is the time between the halves of an answer, workTime that before it.
	halfDelay = 60 * time.Millisecond
	workTime  = 20 * time.Millisecond
)

// engine is a model engine of a run with Cluster.Incident. It is ready from from to to;
// to is zero while it is.
type engine struct {
	*platformtest.Target
	from, to time.Time
}

// startIncidentTargets starts engines of two versions and the plain targets.
func (c *Cluster) startIncidentTargets() {
	for range enginesPerVersion {
		c.startEngine("v1")
		c.startEngine("v2")
	}
	c.newestVersion = 2
	for i := range plainTargetCount {
		t := &platformtest.Target{ID: fmt.Sprintf("plain-%d", i), Service: platformtest.PlainService, Zone: c.zoneOf(i), AnswerDelay: workTime, HalfDelay: halfDelay, Unframed: i%2 == 0, CrashStore: c.store}
		c.serve(t)
	}
}

func (c *Cluster) zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%engineCount) }

// serve starts a target and registers it.
func (c *Cluster) serve(t *platformtest.Target) {
	t.Start()
	t.Register(c.store, "ready")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
}

// startEngine starts an engine of a version. Every other one ends its streams with their
// connections.
func (c *Cluster) startEngine(version string) {
	c.mu.Lock()
	number := len(c.engines)
	t := &platformtest.Target{
		ID: fmt.Sprintf("engine-%d", number), Service: platformtest.ModelService, Zone: c.zoneOf(number), SoftwareVersion: version,
		Model: platformtest.Model, AdapterSlots: platformtest.AdapterSlots, LoadTime: loadTime,
		Events: incidentEvents, EventGap: plannedEventGap, AnswerDelay: workTime, Unframed: number/2%2 == 0, CrashStore: c.store,
	}
	c.engines = append(c.engines, &engine{Target: t, from: time.Now()})
	c.mu.Unlock()
	c.serve(t)
}

// ready returns the ready engines, the oldest first.
func (c *Cluster) ready() []*engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.engines), func(e *engine) bool { return !e.to.IsZero() })
}

// incidentFaults are the faults of a run with Cluster.Incident.
var incidentFaults = []fault{
	releaseFault, releaseFault, herdKillFault, herdKillFault, signalSeriesFault, repeatFault, repeatFault, repeatFault,
	crashFault, crashFault, oddEntryFault, oddEntryFault, reportFault, strayFault, emptyRestFault, staleFault, silenceFault, silenceFault, breakFault, loseFault, hangupFault, configurationFault, revocationFault, disturbing(storeFault),
}

// calm reports whether the run has quiet times after kills.
func (c *Cluster) calm() bool { return c.Seed%2 == 1 }

// disturbing returns the fault for runs with quiet times, which it leaves alone.
func disturbing(f fault) fault {
	return fault{f.name, func(c *Cluster, random *rand.Rand) {
		if c.calm() {
			if !c.disturbed.TryLock() {
				return
			}
			defer c.disturbed.Unlock()
		}
		f.inject(c, random)
	}}
}

// leaving is how an engine leaves: it drains, or is removed from the list but goes on
// serving, or is taken away at short notice.
type leaving string

const (
	leaveDraining leaving = "drain"
	leaveUnlisted leaving = "are unlisted while they serve"
	leaveAtNotice leaving = "end at short notice"
)

var leavings = []leaving{leaveDraining, leaveUnlisted, leaveUnlisted, leaveAtNotice}

// releaseFault replaces engines of the oldest version one after the other, all of them or
// some, by those of the newest version or of a further one. Many instances may be killed
// while the last of them still serve.
var releaseFault = fault{"engines of a version are replaced", func(c *Cluster, random *rand.Rand) {
	if !c.releasing.TryLock() {
		return
	}
	defer c.releasing.Unlock()
	old := c.ready()
	oldest, newest := old[0].SoftwareVersion, old[len(old)-1].SoftwareVersion
	if oldest == newest || random.IntN(3) == 0 {
		c.newestVersion++
		newest = fmt.Sprint("v", c.newestVersion)
	}
	old = slices.DeleteFunc(old, func(e *engine) bool { return e.SoftwareVersion != oldest })
	if random.IntN(4) == 0 {
		old = old[:(len(old)+1)/2]
	}
	var group sync.WaitGroup
	way := leavings[random.IntN(len(leavings))]
	c.logf("%d engines of %s are replaced by %s; they %s", len(old), oldest, newest, way)
	for _, e := range old {
		c.startEngine(newest)
		group.Go(func() { c.retire(e, way) })
		time.Sleep(releaseGap)
	}
	if way == leaveUnlisted || random.IntN(3) == 0 {
		herdKillFault.inject(c, random)
	}
	group.Wait()
}}

// retire has an engine leave, and ends it.
func (c *Cluster) retire(e *engine, way leaving) {
	c.mu.Lock()
	e.to = time.Now()
	c.mu.Unlock()
	serving := servingTime
	switch way {
	case leaveDraining:
		e.Register(c.store, "draining")
	case leaveUnlisted:
		c.store.Delete("servers", e.ID)
	case leaveAtNotice:
		serving = shortNotice
		e.Inject(func(t *platformtest.Target) { t.Remaining = shortNotice })
		e.Register(c.store, "draining")
	}
	time.Sleep(serving)
	e.End()
	c.store.Delete("servers", e.ID)
}

// herdKillFault kills all instances or half of them at the same moment or shortly after
// each other.
var herdKillFault = disturbing(fault{"many instances are killed", func(c *Cluster, random *rand.Rand) {
	killed := slices.Clone(c.Processes)
	random.Shuffle(len(killed), func(i, j int) { killed[i], killed[j] = killed[j], killed[i] })
	if random.IntN(3) == 0 {
		killed = killed[:len(killed)/2]
	}
	gap := time.Duration(0)
	if random.IntN(3) == 0 {
		gap = maxSeriesGap / time.Duration(len(killed))
	}
	downtime := time.Duration(random.Int64N(int64(maxDowntime)))
	c.logf("%d instances are killed for %s, %s apart", len(killed), downtime, gap)
	var group sync.WaitGroup
	for _, p := range killed {
		group.Go(func() { c.killFor(p, downtime) })
		time.Sleep(gap)
	}
	group.Wait()
	c.mu.Lock()
	c.herdKills = append(c.herdKills, time.Now())
	c.mu.Unlock()
	if c.calm() {
		time.Sleep(calmTime)
	}
}})

// killFor kills an instance and starts it again.
func (c *Cluster) killFor(p *Process, downtime time.Duration) {
	defer c.disturb(p)()
	p.Signal(syscall.SIGKILL)
	p.WaitForExit(time.Second)
	time.Sleep(downtime)
	c.restart(p)
}

// signalSeriesFault sends instances one of several signals, one after the other.
var signalSeriesFault = fault{"a series of signals to instances", func(c *Cluster, random *rand.Rand) {
	var group sync.WaitGroup
	for range 1 + random.IntN(len(c.Processes)) {
		p, pause := c.randomProcess(random), randomDuration(random)/2
		switch random.IntN(4) {
		case 0:
			group.Go(func() { c.stopAndRestart(p) })
		case 1:
			group.Go(func() { c.pauseFor(p, pause) })
		case 2:
			p.Signal(syscall.SIGHUP)
		default:
			group.Go(func() { c.killFor(p, pause) })
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxSeriesGap))))
	}
	group.Wait()
}}

// pauseFor stops an instance for a while, as a machine that freezes.
func (c *Cluster) pauseFor(p *Process, pause time.Duration) {
	defer c.disturb(p)()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	p.Signal(syscall.SIGCONT)
}

// oddEntries are entries of another writer among those of the targets.
var oddEntries = []string{
	deepEntry, deepEntry,
	`{"service":"models","address":"127.0.0.1:70000","zone":"zone-0","version":"v1","slots":8,"state":"ready","born":1}`,
	`{"service":"models","address":"127.0.0.1:7000","zone":"zone-0","version":"v1","slots":1e400,"state":"ready","born":1}`,
	`{"service":"models","address":"127.0.0.1:7000","zone":"zone-0","version":7,"slots":8,"state":"unheard of","born":99999999999999999999}`,
	`[]`, `"text"`, `null`, `-1e999`,
}

var deepEntry = `{"models":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`

// oddNames are the names of such entries: none, the last and the first one of a listing.
var oddNames = []string{"", "zzz", "a"}

// oddEntryFault leaves an odd entry among those of the targets for a while, or for good.
var oddEntryFault = fault{"an odd entry among those of the targets", func(c *Cluster, random *rand.Rand) {
	i, name := random.IntN(len(oddEntries)), oddNames[random.IntN(len(oddNames))]
	c.logf("odd entry %d under %q", i, name)
	c.store.PutText("servers", name, oddEntries[i])
	if random.IntN(3) > 0 {
		time.Sleep(randomDuration(random))
		c.store.Delete("servers", name)
	}
}}

// reportFault has an engine answer report calls with bytes without end.
var reportFault = fault{"an engine's reports have no end", func(c *Cluster, random *rand.Rand) {
	t, head := c.randomEngine(random), endlessHeads[random.IntN(len(endlessHeads))]
	t.Inject(func(t *platformtest.Target) { t.EndlessReport = head })
	time.Sleep(randomDuration(random))
	t.Inject(func(t *platformtest.Target) { t.EndlessReport = "" })
}}

// endlessHeads are the heads of such answers: with a length or a chunk that no body has,
// with neither, and one that has no end itself.
var endlessHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 999999999999999999\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Text: ",
}

// repeatFault has a target refuse requests and send these refusals once more.
var repeatFault = fault{"a target sends refusals once more", func(c *Cluster, random *rand.Rand) {
	t, omit := c.randomTarget(random), random.IntN(2) == 0
	c.logf("%s sends refusals once more, without request ids: %t", t.ID, omit)
	t.Inject(func(t *platformtest.Target) { t.RepeatRefusals, t.OmitRefusedID, t.RefuseNext = true, omit, refusals })
}}

// crashFault ends a target midway; a new process takes its address, at once or later.
var crashFault = fault{"a target ends and starts again", func(c *Cluster, random *rand.Rand) {
	t, downtime := c.randomTarget(random), time.Duration(random.IntN(2))*maxDowntime
	c.logf("%s ends, starts again after %s", t.ID, downtime)
	t.Inject(func(t *platformtest.Target) { t.Downtime = downtime })
	t.Crash()
}}
