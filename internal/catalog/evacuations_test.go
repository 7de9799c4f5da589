package catalog_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/platform/platformtest"
)

// evacuated is the evacuated zones that a catalog reported last.
type evacuated struct {
	mu    sync.Mutex
	zones map[string]bool
}

func (e *evacuated) set(zones map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones = zones
}

func (e *evacuated) is(zones string) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.zones != nil && strings.Join(slices.Sorted(maps.Keys(e.zones)), " ") == zones
	}
}

// followEvacuations runs a catalog that follows a fake store until the test ends.
func followEvacuations(t *testing.T) (*platformtest.Store, *evacuated) {
	t.Helper()
	fake, store := newFakeStore(t)
	zones := &evacuated{}
	c := &catalog.Catalog{
		Kinds: catalog.Kinds{Configuration: "config", Targets: "servers", Versions: "versions", Evacuations: "evacuations"},
		Store: store, ConfigurationLimit: time.Second, TargetsLimit: time.Second, EvacuationLimit: time.Second,
		OnEvacuationsChange: zones.set, Now: time.Now, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return fake, zones
}

// TestEvacuationIsFollowed checks that evacuations come and go with their objects, whatever
// another writer has put into one: it is the name that evacuates a zone.
func TestEvacuationIsFollowed(t *testing.T) {
	fake, zones := followEvacuations(t)
	await(t, "no evacuation", zones.is(""))
	fake.Put("evacuations", "north", struct{}{})
	await(t, "first evacuation", zones.is("north"))
	fake.PutText("evacuations", "south", `{"until": nonsense}`)
	await(t, "evacuation that cannot be read", zones.is("north south"))
	fake.PutText("evacuations", strings.Repeat("z", 600), "{}")
	fake.Put("evacuations", "nowhere", strings.Repeat("large", 1000))
	await(t, "name that is no zone left out", zones.is("north nowhere south"))
	fake.Delete("evacuations", "north")
	fake.Delete("evacuations", "nowhere")
	await(t, "end of an evacuation", zones.is("south"))
}

// TestEvacuationOutlastsRestore guards against a zone that gets requests again because the
// store came back from a copy that is older than its evacuation, before the operator has
// written that again; and one that stays evacuated though the operator does not.
func TestEvacuationOutlastsRestore(t *testing.T) {
	fake, zones := followEvacuations(t)
	fake.Put("evacuations", "south", struct{}{})
	snapshot := fake.Snapshot()
	fake.Put("evacuations", "north", struct{}{})
	await(t, "evacuations", zones.is("north south"))
	fake.Restore(snapshot)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !zones.is("north south")() {
			t.Fatal("an evacuation ended with the restore")
		}
	}
	await(t, "the copy's evacuations", zones.is("south"))
}

// TestEvacuationRemovedInAnOutageEndsAfterIt checks that an evacuation of which the end could
// not be read lasts until the store answers again.
func TestEvacuationRemovedInAnOutageEndsAfterIt(t *testing.T) {
	fake, zones := followEvacuations(t)
	fake.Put("evacuations", "north", struct{}{})
	await(t, "evacuation", zones.is("north"))
	fake.Fail(503)
	// A watch that waits since before the outage is still answered.
	time.Sleep(500 * time.Millisecond)
	fake.Delete("evacuations", "north")
	time.Sleep(300 * time.Millisecond)
	if !zones.is("north")() {
		t.Error("the evacuation ended in the outage")
	}
	fake.Fail(0)
	await(t, "end after the outage", zones.is(""))
}
