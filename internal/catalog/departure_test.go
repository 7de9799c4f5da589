package catalog_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
	"heatherrelay/platform"
)

// scriptedStore is a store in virtual time that holds targets. Watches wait for as long as they
// may, unless one is cut.
type scriptedStore struct {
	mu       sync.Mutex
	targets  []string
	revision uint64
	// compactedAt is the revision up to which the history is forgotten.
	compactedAt uint64
	cut         chan struct{}
}

// remove removes a target. Watches that wait do not hear of it.
func (s *scriptedStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = slices.DeleteFunc(s.targets, func(name string) bool { return name == id })
	s.revision++
}

// cutWatches ends the watches that wait, and forgets the history.
func (s *scriptedStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedAt = s.revision
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *scriptedStore) store() platformstore.Store {
	return platformstore.Store{List: s.list, Watch: s.watch}
}

func (s *scriptedStore) list(_ context.Context, kind platformstore.Kind, _ bool) (platformstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platformstore.Page{Revision: s.revision}
	switch kind {
	case "targets":
		for _, id := range s.targets {
			page.Objects = append(page.Objects, platformstore.Object{Name: id, Revision: 1, Value: json.RawMessage(target("ready", 1))})
		}
	case "config":
		page.Objects = []platformstore.Object{{Name: "main", Revision: 1, Value: json.RawMessage(`{"version":1}`)}}
	}
	return page, nil
}

func (s *scriptedStore) watch(_ context.Context, _ platformstore.Kind, after uint64, maxWait time.Duration) (platformstore.Page, error) {
	s.mu.Lock()
	cut, compactedAt := s.cut, s.compactedAt
	s.mu.Unlock()
	if after < compactedAt {
		return platformstore.Page{}, platformstore.ErrCompacted.New("after %d", after)
	}
	select {
	case <-time.After(maxWait):
		return platformstore.Page{Revision: after}, nil
	case <-cut:
		return platformstore.Page{}, platformstore.ErrUnavailable.New("cut")
	}
}

// newTargetsCatalog returns a catalog of a store with two targets, for a test in virtual time.
func newTargetsCatalog(s *scriptedStore, limit time.Duration) *catalog.Catalog {
	s.targets, s.revision, s.cut = []string{"t1", "t2"}, 1, make(chan struct{})
	c := readingCatalog(limit)
	c.Store, c.DecodeTarget = s.store(), platform.DecodeTarget
	return c
}

// runCatalog runs a catalog until the test ends.
func runCatalog(t *testing.T, c *catalog.Catalog) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// targetState is the state of two targets in a store.
func targetState(revision uint64, at time.Time) (catalog.State, []platformstore.Object) {
	var objects []platformstore.Object
	for _, id := range []string{"t1", "t2"} {
		objects = append(objects, platformstore.Object{Name: id, Revision: 1, Value: json.RawMessage(target("ready", 1))})
	}
	return catalog.State{Revision: revision, ConfirmedAt: at}, objects
}

// TestTargetThatLeavesAsWatchesAreCutIsRemoved guards against a target that stays in use beyond
// the limit since a watch was cut (DRAIN): that the next call is answered at once shows that the
// store was not away, so that no entry can have lapsed.
func TestTargetThatLeavesAsWatchesAreCutIsRemoved(t *testing.T) {
	const limit, silence = 3 * time.Second, time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{}
		c := newTargetsCatalog(s, limit)
		runCatalog(t, c)
		time.Sleep(limit)
		s.remove("t2")
		removedAt := time.Now()
		time.Sleep(silence)
		s.cutWatches()
		time.Sleep(time.Until(removedAt.Add(limit)))
		checkRemoved(t, c)
	})
}

// TestTargetThatLeavesAsTheReaderIsCutOffIsRemoved guards against a target that stays in use
// beyond the limit since the instance that reads for this one was cut off from the store (DRAIN):
// the read that this one then makes itself is answered, so the store was not away.
func TestTargetThatLeavesAsTheReaderIsCutOffIsRemoved(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedStore{}
			c := newTargetsCatalog(s, limit)
			c.ReadsForPeers = func() bool { return false }
			state, objects := targetState(1, time.Now())
			c.Followers()["targets"].Merge(state, true, objects)
			runCatalog(t, c)
			s.remove("t2")
			time.Sleep(limit)
			checkRemoved(t, c)
		})
	}
}

func checkRemoved(t *testing.T, c *catalog.Catalog) {
	t.Helper()
	if _, listed := c.Targets()[deployment.TargetID("t2")]; listed {
		t.Error("a target that was removed is in use when the limit is over")
	}
	if _, listed := c.Targets()[deployment.TargetID("t1")]; !listed {
		t.Error("a target that runs is not in use")
	}
}
