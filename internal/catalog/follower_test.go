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
		state := catalog.State{Position: revision, ConfirmedAt: time.Now()}
		f.Merge(state, true, []object.Object{{Name: "main", Revision: revision, Value: []byte{byte(revision)}}})
	}
	var group sync.WaitGroup
	group.Go(func() { merge(3) })
	group.Go(func() { <-first; merge(4) })
	group.Wait()
	if len(told) != 2 || told[1] != 4 {
		t.Errorf("told %v", told)
	}
}

// TestOutageIsSeenThroughPeers checks that an instance that takes the word of
// others for what the store holds notices that the store was away: targets whose
// entries lapsed meanwhile must not be taken as gone at once.
func TestOutageIsSeenThroughPeers(t *testing.T) {
	now := start
	f := &catalog.Follower{Now: func() time.Time { return now }, Log: zap.NewNop(), Changed: func([]object.Object) {}}
	position := uint64(0)
	confirm := func(after time.Duration) {
		now = now.Add(after)
		position++
		f.Merge(catalog.State{Position: position, ConfirmedAt: now}, true, nil)
	}
	confirm(0)
	for range 5 {
		confirm(1500 * time.Millisecond)
	}
	if regained := f.Regained(); !regained.IsZero() {
		t.Errorf("an outage at %s, there was none", regained.Sub(start))
	}
	now = now.Add(3 * time.Second)
	if regained := f.Regained(); !regained.Equal(now) {
		t.Errorf("the store counts as back %s ago while nobody reaches it", now.Sub(regained))
	}
	confirm(time.Second)
	back := now
	confirm(time.Second)
	if regained := f.Regained(); !regained.Equal(back) {
		t.Errorf("the store counts as back at %s, it was at %s", regained.Sub(start), back.Sub(start))
	}
}

// TestSameContentIsNoChange checks that an entry that is written again with the
// same value changes nothing, and that copies that came about in different ways
// are seen to be the same.
func TestSameContentIsNoChange(t *testing.T) {
	object1 := func(revision uint64, value string) object.Object {
		return object.Object{Name: "t1", Revision: revision, Value: []byte(value)}
	}
	var watched, listed catalog.Replica
	watched.List(object.Page{Revision: 1, Objects: []object.Object{object1(1, "a")}}, start)
	if !watched.Watch(1, object.Page{Revision: 2, Objects: []object.Object{object1(2, "b")}}, start) {
		t.Error("a new value is no change")
	}
	if watched.Watch(2, object.Page{Revision: 5, Objects: []object.Object{object1(4, "b")}}, start) {
		t.Error("the same value is a change")
	}
	listed.List(object.Page{Revision: 6, Objects: []object.Object{object1(4, "b")}}, start.Add(time.Second))
	if watched.Content != listed.Content {
		t.Error("two copies of the same objects differ")
	}
	watched.Merge(listed.State, false, nil)
	if watched.Position != 6 || !watched.ConfirmedAt.Equal(listed.ConfirmedAt) {
		t.Errorf("a peer's confirmation of the same objects does not count: %+v", watched.State)
	}
}
