package gatewayinstance_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"heatherrelay/platform"
	"heatherrelay/platform/platformtest"
)

// TestRegistrationIsWrittenAgain guards against an instance that stays missing from the
// store after the store was restored from a copy that is older than the instance's
// object: instances that start later would not find it.
func TestRegistrationIsWrittenAgain(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	store := &platform.StoreClient{Address: cluster.store.Address()}
	isRegistered := func() bool {
		_, err := store.Get(context.Background(), "heatherrelay-instances", "instance-2")
		return err == nil
	}
	snapshot := cluster.store.Snapshot()
	cluster.startInstance()
	cluster.waitFor("first registration", isRegistered)
	cluster.store.Restore(snapshot)
	cluster.waitFor("registration after the restore", isRegistered)
}

// withKey returns an edit of the headers that sets the API key.
func withKey(key string) func(http.Header) {
	return func(h http.Header) { h.Set("Key", key) }
}

// TestServiceContinuesOverRestore guards against requests that fail, a withdrawn key
// that is accepted, and a later configuration that is not applied, after the store was
// restored from a copy that is older than the configuration in force.
func TestServiceContinuesOverRestore(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2)
	publish := func(version int, keys ...string) {
		cluster.config.Version, cluster.config.Keys = version, map[string]string{testKey: "roads"}
		for _, key := range keys {
			cluster.config.Keys[key] = "roads"
		}
		cluster.config.Publish(cluster.store)
	}
	// awaitKey waits until both instances answer requests with a key with a status.
	awaitKey := func(key string, status int) {
		t.Helper()
		cluster.waitFor(key, func() bool {
			for _, i := range cluster.instances {
				if cluster.sendThrough(i, http.MethodGet, "/read/", withKey(key)).status != status {
					return false
				}
			}
			return true
		})
	}
	publish(2, "withdrawn")
	awaitKey("withdrawn", http.StatusOK)
	snapshot := cluster.store.Snapshot()
	publish(4, "added")
	awaitKey("added", http.StatusOK)
	awaitKey("withdrawn", http.StatusUnauthorized)
	calls := cluster.store.Calls()
	cluster.store.Restore(snapshot)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range cluster.instances {
			for key, want := range map[string]int{testKey: http.StatusOK, "added": http.StatusOK, "withdrawn": http.StatusUnauthorized} {
				if got := cluster.sendThrough(i, http.MethodGet, "/read/", withKey(key)); got.status != want {
					t.Fatalf("key %s: status %d, want %d: %s %v", key, got.status, want, got.body, got.err)
				}
			}
		}
	}
	if more := cluster.store.Calls() - calls; more > 60 {
		t.Errorf("%d calls to the store in 1.5 s after a restore", more)
	}
	publish(4, "added")
	publish(5)
	awaitKey("added", http.StatusUnauthorized)
	awaitKey(testKey, http.StatusOK)
}

// TestAdaptersAreLoadedOverRestore guards against a zone whose engines get no orders,
// or orders with a lower fencing number, after the store was restored from a copy that
// is older than the lease.
func TestAdaptersAreLoadedOverRestore(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0)
	snapshot := cluster.store.Snapshot()
	for i := range 20 {
		cluster.store.Put("other", "object", i)
	}
	cluster.startInstance()
	cluster.startInstance()
	serve := func(adapter string) func() bool {
		return func() bool {
			return cluster.send(http.MethodPost, "/stream/", withAdapter(adapter)).status == http.StatusOK
		}
	}
	cluster.waitFor("an adapter before the restore", serve("a1"))
	cluster.store.Restore(snapshot)
	for _, adapter := range []string{"a2", "a3", "a4"} {
		if !serve(adapter)() {
			t.Errorf("adapter %s is not served right after the restore", adapter)
		}
	}
	time.Sleep(8 * time.Second)
	cluster.waitFor("an adapter a term after the restore", serve("a5"))
	last := map[*platformtest.Target]uint64{}
	for _, engine := range []*platformtest.Target{cluster.engine1, cluster.engine2} {
		for _, fencing := range engine.FencingTokens() {
			if fencing < last[engine] {
				t.Errorf("fencing number %d after %d", fencing, last[engine])
			}
			last[engine] = fencing
		}
	}
}

// TestStartedInstanceLearnsRetainedConfiguration guards against an instance that starts
// after a restore, finds only the older configuration of the copy, and accepts a key
// that the other instances know to be withdrawn.
func TestStartedInstanceLearnsRetainedConfiguration(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0)
	cluster.config.Keys = map[string]string{testKey: "roads", "withdrawn": "roads"}
	cluster.config.Publish(cluster.store)
	cluster.startInstance()
	snapshot := cluster.store.Snapshot()
	cluster.config.Version, cluster.config.Keys = 2, map[string]string{testKey: "roads"}
	cluster.config.Publish(cluster.store)
	status := func(i int, key string) int {
		return cluster.sendThrough(cluster.instances[i], http.MethodGet, "/read/", withKey(key)).status
	}
	cluster.waitFor("withdrawal", func() bool { return status(0, "withdrawn") == http.StatusUnauthorized })
	cluster.store.Restore(snapshot)
	cluster.startInstance()
	// It cannot confirm the retained configuration and so answers that keys are stale.
	cluster.waitFor("withdrawal at the new instance", func() bool { return status(1, "withdrawn") == http.StatusServiceUnavailable })
	for range 50 {
		if got := status(1, "withdrawn"); got == http.StatusOK {
			t.Fatal("the withdrawn key is accepted")
		}
		time.Sleep(10 * time.Millisecond)
	}
	cluster.config.Publish(cluster.store)
	cluster.waitFor("key in force at the new instance", func() bool { return status(1, testKey) == http.StatusOK })
	if got := status(1, "withdrawn"); got != http.StatusUnauthorized {
		t.Errorf("status %d for the withdrawn key, want 401", got)
	}
}
