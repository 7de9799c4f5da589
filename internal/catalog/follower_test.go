package catalog_test

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/object"
)

// TestChangesAreToldInOrder answers the pattern of a configuration that comes from
// the store and from a peer at the same moment: whoever is told of the changes
// must hear the newest one last. Found by soak seed 111: an instance went back
// from version 4 to version 3 and served a withdrawn key.
func TestChangesAreToldInOrder(t *testing.T) {
	var mu sync.Mutex
	var told []uint64
	first := make(chan struct{})
	f := &catalog.Follower{Now: time.Now, Log: zap.NewNop(), Changed: func(objects []object.Object) {
		revision := objects[0].Revision
		if revision == 3 {
			close(first)
			// Long enough for the next change to overtake this one.
			time.Sleep(50 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		told = append(told, revision)
	}}
	merge := func(revision uint64) {
		state := catalog.State{Position: revision, Changed: revision, ConfirmedAt: time.Now()}
		f.Merge(state, true, []object.Object{{Name: "main", Revision: revision}})
	}
	var group sync.WaitGroup
	group.Go(func() { merge(3) })
	group.Go(func() { <-first; merge(4) })
	group.Wait()
	if len(told) != 2 || told[1] != 4 {
		t.Errorf("told %v", told)
	}
}
