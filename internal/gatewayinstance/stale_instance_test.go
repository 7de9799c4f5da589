package gatewayinstance_test

import (
	"context"
	"errors"
	"fmt"
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

// newVersionJoins starts two engines of a second software version, and returns when an
// instance sends streams there.
func (c *testCluster) newVersionJoins(i *instance) {
	c.t.Helper()
	c.startEngine(newVersion)
	c.startEngine(newVersion)
	c.waitFor("new version listed", func() bool {
		probe := newClientStreams(c, 1)
		probe.begin(i, 1, 1)
		probe.disconnect()
		return probe[0].versions[0] == newVersion
	})
}

// beginMixed begins streams through an instance, some of them at the new version.
func (c *testCluster) beginMixed(i *instance) clientStreams {
	c.t.Helper()
	streams := newClientStreams(c, streamCount)
	if begun := streams.beginAnywhere(i, 2); begun[newVersion] == 0 {
		c.t.Fatalf("the streams began at the versions %v", begun)
	}
	streams.disconnect()
	return streams
}

// startInformed starts an instance with start after the store knows of the versions that the
// services have, so that it is sure of these from its start on.
func (c *testCluster) startInformed(start func() *instance) *instance {
	c.t.Helper()
	versions := "http://" + c.store.Address().String() + "/objects/heatherrelay-versions/services"
	c.waitFor("versions stored", func() bool {
		response, err := c.client.Get(versions)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
	return start()
}

// TestStreamsAreNotMixedAtAnInstanceThatStoodStill guards against an instance that stood still
// while targets of a new version joined, and then has streams that began at these go on at the
// only version that it knows (ORDER), or refuses them all (LOST).
func TestStreamsAreNotMixedAtAnInstanceThatStoodStill(t *testing.T) {
	t.Parallel()
	for _, others := range []int{1, 3} {
		for _, pause := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d others, %s", others, pause), func(t *testing.T) {
				t.Parallel()
				cluster := newVersionCluster(t, oldVersion, oldVersion)
				cluster.slowDown()
				first := cluster.startInstance()
				for range others - 1 {
					cluster.startInstance()
				}
				stopped := cluster.startInformed(cluster.startKillableInstance)
				cluster.waitForPeers()
				cluster.signal(stopped, syscall.SIGSTOP)
				stoppedAt := time.Now()
				cluster.newVersionJoins(first)
				streams := cluster.beginMixed(first)
				time.AfterFunc(time.Until(stoppedAt.Add(pause)), func() { cluster.signal(stopped, syscall.SIGCONT) })
				failures := streams.resumeTwice(stopped)
				streams.checkMostGoOn(failures)
				if t.Failed() {
					t.Log(errors.Join(failures...))
				}
			})
		}
	}
}

// resumeTwice has each client resume its stream at an instance, once more after a refusal, when
// it was told to come back, and receive it to its end.
func (s clientStreams) resumeTwice(i *instance) []error {
	return s.each(func(_ int, stream *clientStream) error {
		err := stream.request(i)
		if err != nil && stream.status == http.StatusServiceUnavailable {
			seconds, _ := strconv.ParseFloat(stream.retryAfter, 64)
			time.Sleep(time.Duration(seconds * float64(time.Second)))
			err = stream.request(i)
		}
		if err != nil {
			return err
		}
		return stream.receiveAll()
	})
}

// signal sends a signal to an instance in a process of its own.
func (c *testCluster) signal(i *instance, s syscall.Signal) {
	if err := i.signal(s); err != nil {
		c.t.Error(err)
	}
}

// startCutInstance starts an instance whose calls to the store fail while cut is set.
func (c *testCluster) startCutInstance(cut *atomic.Bool) *instance {
	return c.startInstanceWith(func(i *gatewayinstance.Instance) {
		list, watch, get := i.Store.List, i.Store.Watch, i.Store.Get
		fail := func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return platformstore.ErrUnavailable.Wrap(ctx.Err())
			case <-time.After(100 * time.Millisecond):
				return platformstore.ErrUnavailable.New("cut off")
			}
		}
		i.Store.List = func(ctx context.Context, kind platformstore.Kind, stale bool) (platformstore.Page, error) {
			if cut.Load() {
				return platformstore.Page{}, fail(ctx)
			}
			return list(ctx, kind, stale)
		}
		i.Store.Watch = func(ctx context.Context, kind platformstore.Kind, after uint64, wait time.Duration) (platformstore.Page, error) {
			if cut.Load() {
				return platformstore.Page{}, fail(ctx)
			}
			page, err := watch(ctx, kind, after, wait)
			if cut.Load() {
				return platformstore.Page{}, fail(ctx)
			}
			return page, err
		}
		i.Store.Get = func(ctx context.Context, kind platformstore.Kind, name string) (platformstore.Object, error) {
			if cut.Load() {
				return platformstore.Object{}, fail(ctx)
			}
			return get(ctx, kind, name)
		}
	})
}

// begunElsewhere returns streams that began at a software version through instances whose
// records nobody has.
func (c *testCluster) begunElsewhere(version string) clientStreams {
	streams := newClientStreams(c, streamCount)
	for n, stream := range streams {
		stream.firstRequest, stream.versions = fmt.Sprint("elsewhere-", n), []string{version, version}
	}
	return streams
}

// TestStreamsAreNotMixedAtAnInstanceThatIsCutOff guards against an instance that is cut off
// from the store and from all others while targets of a new version join, and has streams that
// began at these go on at the only version that it knows (ORDER).
func TestStreamsAreNotMixedAtAnInstanceThatIsCutOff(t *testing.T) {
	t.Parallel()
	for _, others := range []int{0, 2} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			t.Parallel()
			cluster := newVersionCluster(t, oldVersion, oldVersion)
			var isCut atomic.Bool
			for range others {
				cluster.startKillableInstance()
			}
			cluster.startInstance()
			alone := cluster.startInformed(func() *instance { return cluster.startCutInstance(&isCut) })
			cluster.waitForPeers()
			isCut.Store(true)
			for _, other := range cluster.instances {
				switch {
				case other == alone:
				case other.signal == nil:
					other.stopAndWait(t)
				default:
					cluster.signal(other, syscall.SIGSTOP)
				}
			}
			cluster.startEngine(newVersion)
			cluster.startEngine(newVersion)
			for _, silence := range []time.Duration{0, 2 * time.Second} {
				time.Sleep(silence)
				streams := cluster.begunElsewhere(newVersion)
				for n, err := range streams.resume(0, alone) {
					if err == nil {
						t.Errorf("stream %d went on by a guess", n)
						continue
					}
					streams[n].checkRefusedAsNotRun()
				}
				streams.checkNotMixed()
			}
		})
	}
}

// TestOddVersionsObjectStarvesNoResume guards against an instance that, reached again after a
// cut, refuses all streams that began elsewhere since another writer has left odd text in the
// place of the versions (LOST).
func TestOddVersionsObjectStarvesNoResume(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion)
	first := cluster.startInstance()
	var isCut atomic.Bool
	alone := cluster.startInformed(func() *instance { return cluster.startCutInstance(&isCut) })
	cluster.waitForPeers()
	first.stopAndWait(t)
	isCut.Store(true)
	time.Sleep(4 * time.Second)
	cluster.store.PutText("heatherrelay-versions", "services", `{"services":7}`)
	isCut.Store(false)
	cluster.waitFor("a stream that began elsewhere goes on", func() bool {
		stream := cluster.begunElsewhere(oldVersion)[:1]
		return stream.resume(0, alone)[0] == nil
	})
}

// TestResumesGoOnWithoutTheStoreWhileAllAgree guards against refusing all streams that are
// resumed at another instance, in a service with one version, while the store answers nobody
// (LOST): no instance has learned of another version, so none has begun a stream there.
func TestResumesGoOnWithoutTheStoreWhileAllAgree(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion)
	first := cluster.startInstance()
	second := cluster.startInformed(cluster.startInstance)
	cluster.startInformed(cluster.startKillableInstance)
	cluster.waitForPeers()
	cluster.store.Fail(http.StatusServiceUnavailable)
	streams := newClientStreams(cluster, streamCount)
	streams.begin(first, 2, 1)
	streams.disconnect()
	streams.checkResumed(streams.resume(0, second))
}

// TestResumesWaitForAnInstanceThatSaysNothing guards against streams that go on by a guess while
// the store answers nobody, and an instance that may know of another version is silent (ORDER).
func TestResumesWaitForAnInstanceThatSaysNothing(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion)
	cluster.startInstance()
	second, third := cluster.startInformed(cluster.startInstance), cluster.startInformed(cluster.startKillableInstance)
	cluster.waitForPeers()
	cluster.store.Fail(http.StatusServiceUnavailable)
	cluster.signal(third, syscall.SIGSTOP)
	streams := cluster.begunElsewhere(newVersion)
	for n, err := range streams.resume(0, second) {
		if err == nil {
			t.Errorf("stream %d went on, though an instance says nothing", n)
			continue
		}
		streams[n].checkRefusedAsNotRun()
	}
	streams.checkNotMixed()
}

// TestResumesOfOneVersionReadTheStoreTogether guards against a call to the store for each
// stream that is resumed.
func TestResumesOfOneVersionReadTheStoreTogether(t *testing.T) {
	t.Parallel()
	cluster := newVersionCluster(t, oldVersion, oldVersion)
	for _, engine := range cluster.engines {
		engine.Inject(func(e *platformtest.Target) { e.EventGap = time.Millisecond })
	}
	first, second := cluster.startInstance(), cluster.startInstance()
	cluster.waitForPeers()
	streams := newClientStreams(cluster, 2*streamCount)
	streams.begin(first, 2, 1)
	streams.disconnect()
	calls, start := cluster.store.Calls(), time.Now()
	streams.checkResumed(streams.resume(0, second))
	// Both instances watch four kinds, each about once a second, and keep leases and members.
	const otherCallsPerSecond, readsPerSecond = 30, 10
	allowed := int(time.Since(start).Seconds()*(otherCallsPerSecond+readsPerSecond)) + readsPerSecond
	if made := cluster.store.Calls() - calls; made > allowed {
		t.Errorf("%d calls to the store for %d resumes, allowed are %d", made, len(streams), allowed)
	}
}
