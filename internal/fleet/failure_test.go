package fleet_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherrelay/internal/key"
	"heatherrelay/internal/settings"
	"heatherrelay/internal/standin"
	"heatherrelay/pkg/release"
)

// Flags for longer runs and other seeds of TestFailures; see docs/TESTING.md.
var (
	faultPairs = flag.Int("fleet.pairs", 7, "pairs of faults that the failure test injects")
	faultSeed  = flag.Uint64("fleet.seed", 1, "seed of the failure test")
)

// Parameters of TestFailures.
const (
	callerCount            = 8
	limitedCallerCount     = 6
	teamLimited            = "limited"
	limitedRate            = 100.0
	limitedBurst           = 300.0
	adapterCount           = 8
	maxAnswerTokens        = 60
	maxLimitedAnswerTokens = 20
	minFaultDuration       = time.Second
	maxFaultDuration       = 2 * time.Second
	pauseAfterFault        = 500 * time.Millisecond
	leaseTerm              = 3 * time.Second
	leaseRenewal           = 800 * time.Millisecond
	leaseMargin            = 500 * time.Millisecond
	silenceLimit           = 2 * time.Second
	engineSlots            = "4"
	engineStep             = "2ms"
	lostAnswers            = 5
	droppedAnswers         = 3
	slowPlatformMS         = 150
	slowServiceMS          = 300
	instancesPerZone       = 3
	enginesPerZone         = 2
)

// TestFailures runs nine instances in three zones under load and injects pairs
// of faults one after another. It then checks the results that callers saw and
// the counts of the targets.
func TestFailures(t *testing.T) {
	f := &fleet{adjustSettings: shortLeases}
	startFleet(t, f, instancesPerZone, enginesPerZone, "--slots", engineSlots, "--step-time", engineStep)
	models := f.publishAdapters(t)
	live := &liveFleet{fleet: f}
	observed := &results{refused: map[string]int{}}
	ctx, stop := context.WithCancel(t.Context())
	var workers conc.WaitGroup
	for n := range callerCount + limitedCallerCount {
		w := &worker{number: n, team: teamCrews, models: models, maxTokens: maxAnswerTokens, fleet: live, results: observed, random: rand.New(rand.NewPCG(*faultSeed, uint64(n)))}
		if n < callerCount {
			workers.Go(func() { w.run(ctx) })
			continue
		}
		w.team, w.maxTokens = teamLimited, maxLimitedAnswerTokens
		workers.Go(func() { w.runModels(ctx) })
	}
	random := rand.New(rand.NewPCG(*faultSeed, callerCount+limitedCallerCount))
	injectFaults(t, live, random, *faultPairs)
	f.checkWithdrawal(t)
	stop()
	workers.Wait()
	f.checkRecovery(t, models)
	checkResults(t, observed)
	checkPostCalls(t, observed.postCalls, getJSON[standin.ServiceCounts](t, f.service, "/admin/counts"))
	checkRate(t, observed.answers, teamLimited, limitedRate, limitedBurst)
	f.checkTargets(t)
	weights := getJSON[standin.PlatformStats](t, f.platform, "/admin/stats").Weights
	t.Logf("weight store: %+v", weights)
	if weights.MaxInFlight > settings.Defaults().Loads.InFlight {
		t.Errorf("%d concurrent fetches exceed the limit on loads in flight", weights.MaxInFlight)
	}
}

// publishAdapters publishes a team with a low rate and enough adapters that,
// with those of the first release, there are more than a zone has adapter
// slots. It returns the IDs of the new adapters.
func (f *fleet) publishAdapters(t *testing.T) []string {
	t.Helper()
	f.keys[teamLimited] = key.Generate()
	note := release.Note{
		Title: "More adapters, and a team with a low rate",
		Teams: []release.Team{{Name: teamLimited, TokensPerSecond: limitedRate, BurstTokens: limitedBurst}},
		Keys:  []release.Key{{ID: f.keys[teamLimited].ID, Hash: f.keys[teamLimited].Hash(), Team: teamLimited}},
	}
	var models []string
	for n := range adapterCount {
		a := release.Adapter{Name: fmt.Sprintf("season-%d", n), Version: "1", BaseModel: "base"}
		note.Adapters = append(note.Adapters, a)
		models = append(models, a.ID())
	}
	f.awaitRelease(t, f.publish(t, note))
	return models
}

// fault is a failure that can be started and ended.
type fault struct {
	name       string
	begin, end func()
}

// injectFaults injects pairs of concurrent faults. Each round contains every
// kind of fault once, and each new round starts with zone cuts.
func injectFaults(t *testing.T, f *liveFleet, random *rand.Rand, pairs int) {
	t.Helper()
	var pending []fault
	for range pairs {
		if len(pending) < 2 {
			pending = append(pending, newFaultRound(t, f, random)...)
			cutZones(t, f, random)
		}
		pair := pending[:2]
		pending = pending[2:]
		length := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		t.Logf("%s: %s and %s for %s", time.Now().Format(time.TimeOnly), pair[0].name, pair[1].name, length)
		for _, fault := range pair {
			fault.begin()
		}
		time.Sleep(length)
		for _, fault := range pair {
			fault.end()
		}
		time.Sleep(pauseAfterFault)
	}
}

// newFaultRound returns one fault of each kind in random order. Each fault of a
// single instance or engine affects a different one; the platform cut of a zone
// affects all its instances.
func newFaultRound(t *testing.T, f *liveFleet, random *rand.Rand) []fault {
	t.Helper()
	var round []fault
	order := random.Perm(len(f.instances))
	instances := make([]*instance, len(order))
	for n, index := range order {
		instances[n] = f.instances[index]
	}
	engines := slices.Sorted(maps.Keys(f.engines))
	random.Shuffle(len(engines), func(a, b int) { engines[a], engines[b] = engines[b], engines[a] })
	round = append(round, processFaults(t, f, instances)...)
	round = append(round, linkFaults(f, instances)...)
	round = append(round, targetFaults(t, f, engines)...)
	round = append(round, platformFaults(t, f)...)
	random.Shuffle(len(round), func(a, b int) { round[a], round[b] = round[b], round[a] })
	return round
}

// processFaults returns faults that kill or freeze instances, one of them for
// longer than its lease.
func processFaults(t *testing.T, f *liveFleet, instances []*instance) []fault {
	t.Helper()
	killed, frozen, frozenPastLease := instances[0], instances[1], instances[2]
	return []fault{
		{"kill " + killed.id, func() { killed.process.signal(syscall.SIGKILL) }, func() { f.replace(t, killed) }},
		{"freeze " + frozen.id, func() { frozen.process.signal(syscall.SIGSTOP) }, func() { frozen.process.signal(syscall.SIGCONT) }},
		{"freeze past lease term " + frozenPastLease.id, func() {
			frozenPastLease.process.signal(syscall.SIGSTOP)
			time.Sleep(leaseTerm + leaseRenewal)
		}, func() { frozenPastLease.process.signal(syscall.SIGCONT) }},
	}
}

// linkFaults returns faults that cut or silence connections of instances.
func linkFaults(f *liveFleet, instances []*instance) []fault {
	link := func(name string, set func(linkState), state linkState) fault {
		return fault{name, func() { set(state) }, func() { set(linkUp) }}
	}
	zone := instances[7].zone
	return []fault{
		link("cut platform from "+instances[3].id, instances[3].platform.setState, linkCut),
		link("silent platform for "+instances[4].id, instances[4].platform.setState, linkSilent),
		link("cut peers of "+instances[5].id, instances[5].peers.setState, linkCut),
		link("silent peers of "+instances[6].id, instances[6].peers.setState, linkSilent),
		link("cut platform from zone "+zone, func(s linkState) { f.setPlatformLinks(zone, s) }, linkCut),
	}
}

// targetFaults returns faults of engines and of the service.
func targetFaults(t *testing.T, f *liveFleet, engines []string) []fault {
	t.Helper()
	engine := func(name, id string, faults standin.EngineFaults) fault {
		return fault{
			name + " of " + id,
			func() { putJSON(t, f.engines[id], "/admin/faults", faults) },
			func() { putJSON(t, f.engines[id], "/admin/faults", standin.EngineFaults{}) },
		}
	}
	return []fault{
		engine("cold restart", engines[0], standin.EngineFaults{ColdRestart: true}),
		engine("silent connections", engines[1], standin.EngineFaults{Silent: true}),
		engine("failing loads", engines[2], standin.EngineFaults{FailLoads: true}),
		{
			"service drops answers and is slow",
			func() {
				putJSON(t, f.service, "/admin/faults", standin.ServiceFaults{DropAfterRun: droppedAnswers, DelayMS: slowServiceMS})
			},
			func() { putJSON(t, f.service, "/admin/faults", standin.ServiceFaults{}) },
		},
	}
}

// platformFaults returns faults of the platform.
func platformFaults(t *testing.T, f *liveFleet) []fault {
	t.Helper()
	platform := func(name string, faults standin.PlatformFaults) fault {
		return fault{
			name,
			func() { f.putPlatform(t, "/admin/faults", faults) },
			func() { f.putPlatform(t, "/admin/faults", standin.PlatformFaults{}) },
		}
	}
	return []fault{
		platform("platform outage", standin.PlatformFaults{Outage: true}),
		platform("platform loses answers and is slow", standin.PlatformFaults{LoseAnswers: lostAnswers, DelayMS: slowPlatformMS}),
	}
}

// setPlatformLinks sets the state of the connections between a zone's instances
// and the platform.
func (f *liveFleet) setPlatformLinks(zone string, state linkState) {
	for _, i := range f.instances {
		if i.zone == zone {
			i.platform.setState(state)
		}
	}
}

// checkWithdrawal withdraws a key and checks that every instance refuses it.
func (f *fleet) checkWithdrawal(t *testing.T) {
	t.Helper()
	number := f.publish(t, release.Note{Title: "Withdraw a key", Withdraw: release.Withdraw{Keys: []string{f.keys[teamDesk].ID}}})
	f.awaitRelease(t, number)
	for _, i := range f.instances {
		reply, err := f.caller(i, teamDesk).Complete(t.Context(), request(deskAdapter, "still there?", 1))
		if err != nil || reply.Status != http.StatusUnauthorized || reply.Refusal == nil || !reply.Refusal.NotRun {
			t.Errorf("%s, withdrawn key: %v, %+v", i.id, err, reply)
		}
	}
}

// checkRecovery checks that every instance answers requests for every model
// again.
func (f *fleet) checkRecovery(t *testing.T, models []string) {
	t.Helper()
	for _, i := range f.instances {
		for _, model := range models {
			eventually(t, i.id+" serves "+model+" again", func() bool {
				r := request(model, "after the failures", 8)
				reply, err := f.caller(i, teamCrews).Complete(t.Context(), r)
				return err == nil && reply.IsComplete(r)
			})
		}
	}
}
