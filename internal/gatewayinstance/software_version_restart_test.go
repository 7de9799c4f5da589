package gatewayinstance_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/platformstore"
	"heatherrelay/platform"
	"heatherrelay/platform/platformtest"
)

// longGap is the time between two events of streams that last while targets and the
// store change.
const longGap = 4 * versionGap

// slowDown has all engines make events that are longGap apart.
func (c *testCluster) slowDown() {
	for _, engine := range c.engines {
		engine.EventGap = longGap
	}
}

// kill kills instances at the same time and waits until they have ended.
func kill(t *testing.T, instances ...*instance) {
	t.Helper()
	for _, i := range instances {
		i.stop()
	}
	for _, i := range instances {
		i.stopAndWait(t)
	}
}

// checkMostGoOn reports streams that are mixed, streams that neither went on nor were
// refused as not run, and that less than half of the streams of a version went on.
func (s clientStreams) checkMostGoOn(failures []error) {
	t := s[0].cluster.t
	t.Helper()
	s.checkNotMixed()
	begun, wentOn := map[string]int{}, map[string]int{}
	for n, err := range failures {
		version := s[n].versions[0]
		begun[version]++
		if err == nil {
			wentOn[version]++
			continue
		}
		s[n].checkRefusedAsNotRun()
	}
	for version, count := range begun {
		if 2*wentOn[version] < count {
			t.Errorf("of %d streams of %s %d went on", count, version, wentOn[version])
		}
	}
}

// TestStreamsGoOnAfterAllInstancesWereKilled guards against streams of a service with
// two software versions that cannot be resumed, or go on at the other version, because
// the record of their version died with the instances.
func TestStreamsGoOnAfterAllInstancesWereKilled(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion, newVersion, newVersion)
	first, second, third := cluster.startKillableInstance(), cluster.startKillableInstance(), cluster.startKillableInstance()
	cluster.waitForPeers()
	streams := newClientStreams(cluster, streamCount)
	streams[:streamCount/2].begin(first, eventsAtBreak, 2)
	streams[streamCount/2:].begin(second, eventsAtBreak, 2)
	kill(t, first, second, third)
	streams.checkMostGoOn(streams.resume(0, cluster.startInstance(), cluster.startInstance()))
}

// TestVersionThatLeftIsRememberedOverRestart guards against streams whose rest comes
// from another software version because all instances were killed right after the last
// target of the version that began them was removed.
func TestVersionThatLeftIsRememberedOverRestart(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, newVersion, newVersion)
	cluster.slowDown()
	killed := cluster.startKillableInstance()
	streams := newClientStreams(cluster, streamCount)
	streams.begin(killed, 1, 2)
	cluster.store.Delete("servers", cluster.engines[0].ID)
	time.Sleep(time.Second)
	kill(t, killed)
	failures := streams.resume(0, cluster.startInstance())
	streams.checkNotMixed()
	for n, err := range failures {
		switch {
		case err != nil:
			streams[n].checkRefusedAsNotRun()
		case streams[n].versions[0] == oldVersion:
			t.Errorf("stream %d went on, but no target of its version is listed", n)
		}
	}
}

// TestStreamsOfTheVersionThatStaysGoOnOverRestart guards against streams of the version
// that serves alone since the other one left, which no instance can take up again after
// all were killed.
func TestStreamsOfTheVersionThatStaysGoOnOverRestart(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, newVersion, newVersion)
	cluster.slowDown()
	killed := cluster.startKillableInstance()
	streams := newClientStreams(cluster, streamCount)
	streams.begin(killed, 1, 2)
	cluster.store.Delete("servers", cluster.engines[0].ID)
	time.Sleep(time.Second)
	kill(t, killed)
	var staying clientStreams
	for _, stream := range streams {
		if stream.versions[0] == newVersion {
			staying = append(staying, stream)
		}
	}
	staying.checkMostGoOn(staying.resume(0, cluster.startInstance()))
}

// TestVersionReplacedAtOnceIsRememberedOverRestart guards against streams that go on at
// a version which replaced theirs while no instance ran, so that none has ever seen two.
func TestVersionReplacedAtOnceIsRememberedOverRestart(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion)
	cluster.slowDown()
	killed := cluster.startKillableInstance()
	streams := newClientStreams(cluster, streamCount/2)
	streams.begin(killed, 1, 1)
	time.Sleep(time.Second)
	kill(t, killed)
	cluster.store.Delete("servers", cluster.engines[0].ID)
	cluster.startEngine(newVersion)
	for n, err := range streams.resume(0, cluster.startInstance()) {
		if err == nil {
			t.Errorf("stream %d went on at another version", n)
			continue
		}
		streams[n].checkRefusedAsNotRun()
	}
	streams.checkNotMixed()
}

// withUnreadableOrigins has an instance fail to read the objects that instances write on
// software versions, while unreadable is set.
func withUnreadableOrigins(unreadable *atomic.Bool) func(*gatewayinstance.Instance) {
	return func(i *gatewayinstance.Instance) {
		fails := func(kind platformstore.Kind) bool {
			return unreadable.Load() && (strings.HasSuffix(string(kind), "-origins") || strings.HasSuffix(string(kind), "-versions"))
		}
		list, get := i.Store.List, i.Store.Get
		i.Store.List = func(ctx context.Context, kind platformstore.Kind, stale bool) (platformstore.Page, error) {
			if fails(kind) {
				return platformstore.Page{}, platformstore.ErrThrottled.New("test")
			}
			return list(ctx, kind, stale)
		}
		i.Store.Get = func(ctx context.Context, kind platformstore.Kind, name string) (platformstore.Object, error) {
			if fails(kind) {
				return platformstore.Object{}, platformstore.ErrThrottled.New("test")
			}
			return get(ctx, kind, name)
		}
	}
}

// TestResumesWaitForAStoreThatCannotBeRead guards against a restarted instance that
// guesses the software version of a stream while it cannot read the records, or does not
// read them later.
func TestResumesWaitForAStoreThatCannotBeRead(t *testing.T) {
	t.Parallel()
	for _, versions := range [][]string{{oldVersion, oldVersion}, {oldVersion, oldVersion, newVersion, newVersion}} {
		t.Run(strings.Join(versions, " "), func(t *testing.T) {
			t.Parallel()
			cluster := newVersionCluster(t, versions...)
			killed := cluster.startKillableInstance()
			streams := newClientStreams(cluster, streamCount)
			streams.begin(killed, eventsAtBreak, len(versions)/2)
			kill(t, killed)
			var unreadable atomic.Bool
			unreadable.Store(true)
			restarted := cluster.startInstanceWith(withUnreadableOrigins(&unreadable))
			for n, err := range streams.resume(0, restarted) {
				if err == nil {
					t.Errorf("stream %d went on at a guess", n)
					continue
				}
				streams[n].checkRefusedAsNotRun()
			}
			unreadable.Store(false)
			time.Sleep(time.Second)
			streams.checkMostGoOn(streams.resume(0, restarted))
		})
	}
}

// TestOriginsAreWrittenAgainAfterARestore guards against records of streams that a store
// lost which was restored from a copy, and that no instance wrote again before all were
// killed.
func TestOriginsAreWrittenAgainAfterARestore(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion, newVersion, newVersion)
	cluster.slowDown()
	killed := cluster.startKillableInstance()
	snapshot := cluster.store.Snapshot()
	streams := newClientStreams(cluster, streamCount)
	streams.begin(killed, 2, 2)
	cluster.store.Restore(snapshot)
	time.Sleep(2500 * time.Millisecond)
	kill(t, killed)
	streams.checkMostGoOn(streams.resume(0, cluster.startInstance()))
}

// TestStreamsGoOnAfterHalfOfTheInstancesWereKilled guards against streams that cannot be
// resumed at the other instances, or at those that were started again, because the
// holders of their records are among the killed ones.
func TestStreamsGoOnAfterHalfOfTheInstancesWereKilled(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion, newVersion, newVersion)
	var killed []*instance
	for range 3 {
		killed = append(killed, cluster.startKillableInstance())
		cluster.startInstance()
	}
	cluster.waitForPeers()
	survivor := cluster.instances[1]
	streams := newClientStreams(cluster, 2*streamCount)
	streams.begin(killed[0], eventsAtBreak, 2)
	kill(t, killed...)
	streams.checkMostGoOn(streams.resume(0, survivor, cluster.startInstance()))
}

// TestResumedStreamsWaitForTheAllowance guards against streams that broke off together
// and whose clients use up their tries on refusals, though the team's allowance holds
// enough for them within a second.
func TestResumedStreamsWaitForTheAllowance(t *testing.T) {
	t.Parallel()
	// Each stream costs 150 tokens.
	const streamsAtOnce, rate = 8, 1500
	cluster := newVersionCluster(t, oldVersion, oldVersion)
	cluster.config.Version++
	cluster.config.Rate, cluster.config.Burst = rate, rate
	cluster.config.Publish(cluster.store)
	i := cluster.startInstance()
	time.Sleep(1500 * time.Millisecond)
	streams := newClientStreams(cluster, streamsAtOnce)
	streams.begin(i, 2, 1)
	streams.disconnect()
	streams.checkResumed(streams.resume(0, i))
}

// TestOddVersionsObjectIsReplaced guards against instances that never store the software
// versions, and read the store again and again, because another writer left an object in
// their place that cannot be decoded, or that holds none.
func TestOddVersionsObjectIsReplaced(t *testing.T) {
	t.Parallel()
	for _, text := range []string{`{"services":7}`, `{"odd":true}`, "null", oddValues["nested"]} {
		t.Run(text[:4], func(t *testing.T) {
			t.Parallel()
			cluster := newVersionCluster(t, oldVersion, newVersion)
			cluster.store.PutText("heatherrelay-versions", "services", text)
			cluster.startInstance()
			client := &platform.StoreClient{Address: cluster.store.Address()}
			cluster.waitFor("the versions are stored", func() bool {
				o, err := client.Get(t.Context(), "heatherrelay-versions", "services")
				if err != nil {
					return false
				}
				stored, err := origin.DecodeVersions(o.Value)
				return err == nil && len(stored.Services[platformtest.ModelService]) == 2
			})
		})
	}
}

// TestFirstInstancesAreNotSureOfVersions guards against streams that go on at another
// software version after all instances of the version in production have ended: these
// store no versions, so the first instances that follow know of no earlier one.
func TestFirstInstancesAreNotSureOfVersions(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion)
	cluster.slowDown()
	killed := cluster.startKillableInstance()
	streams := newClientStreams(cluster, streamCount/2)
	streams.begin(killed, 1, 1)
	time.Sleep(time.Second)
	kill(t, killed)
	cluster.store.Delete("heatherrelay-versions", "services")
	cluster.store.Delete("servers", cluster.engines[0].ID)
	cluster.startEngine(newVersion)
	for n, err := range streams.resume(0, cluster.startInstance()) {
		if err == nil {
			t.Errorf("stream %d went on at another version", n)
			continue
		}
		streams[n].checkRefusedAsNotRun()
	}
	streams.checkNotMixed()
}

// TestStreamWithoutAStoredRecordIsRefused guards against a stream that goes on at a guess,
// or is not refused as not run, where two versions serve and the store, which was read,
// lacks its record.
func TestStreamWithoutAStoredRecordIsRefused(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion, newVersion, newVersion)
	cluster.slowDown()
	killed := cluster.startKillableInstance()
	time.Sleep(time.Second)
	snapshot := cluster.store.Snapshot()
	streams := newClientStreams(cluster, streamCount)
	streams.begin(killed, 2, 2)
	kill(t, killed)
	cluster.store.Restore(snapshot)
	for n, err := range streams.resume(0, cluster.startInstance()) {
		if err == nil {
			t.Errorf("stream %d went on without a record", n)
			continue
		}
		streams[n].checkRefusedAsNotRun()
	}
	streams.checkNotMixed()
	if read := cluster.logs.FilterMessage("origins of streams read from the store").Len(); read == 0 {
		t.Error("the store was not read")
	}
}

// TestStreamsOfATargetThatRestartedAreNotMixed guards against streams of two versions that
// began at a target that started again with another version under its id and address,
// while its entry of before stands.
func TestStreamsOfATargetThatRestartedAreNotMixed(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion, newVersion)
	first, second := cluster.startInstance(), cluster.startInstance()
	cluster.waitForPeers()
	cluster.engines[0].Crash()
	cluster.engines[0].Inject(func(e *platformtest.Target) { e.SoftwareVersion = newVersion })
	time.Sleep(time.Second)
	streams := newClientStreams(cluster, streamCount)
	streams.begin(first, eventsAtBreak, 2)
	streams.disconnect()
	for n, err := range streams.resume(0, second) {
		if err != nil {
			t.Logf("stream %d: %v", n, err)
		}
	}
	streams.checkNotMixed()
}

// TestStreamsOutlastSeveralLossesOfAllInstances guards against streams of a service with several
// software versions that are mixed, or can't be taken up, after all instances were killed more
// than once, also before the first ones that came back had done anything.
func TestStreamsOutlastSeveralLossesOfAllInstances(t *testing.T) {
	t.Parallel()
	for name, k := range map[string]struct {
		instances, losses int
		versions          []string
		between           time.Duration
	}{
		"one instance, twice":                   {instances: 1, losses: 2, versions: []string{oldVersion, oldVersion, newVersion, newVersion}},
		"three instances, twice at once":        {instances: 3, losses: 2, versions: []string{oldVersion, oldVersion, newVersion, newVersion}},
		"three instances, thrice, three apart":  {instances: 3, losses: 3, versions: []string{oldVersion, oldVersion, newVersion, newVersion, "v2", "v2"}, between: 500 * time.Millisecond},
		"two instances, five times, one engine": {instances: 2, losses: 5, versions: []string{oldVersion, newVersion}, between: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newVersionCluster(t, k.versions...)
			start := func() []*instance {
				var started []*instance
				for range k.instances {
					started = append(started, cluster.startKillableInstance())
				}
				return started
			}
			running := start()
			cluster.waitForPeers()
			streams := newClientStreams(cluster, streamCount)
			streams.beginAnywhere(running[0], eventsAtBreak)
			for range k.losses {
				kill(t, running...)
				cluster.instances = nil
				running = start()
				time.Sleep(k.between)
			}
			streams.checkMostGoOn(streams.resume(0, running...))
		})
	}
}
