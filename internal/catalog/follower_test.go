package catalog_test

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/platformstore"
)

// TestChangesAreReportedInOrder guards against OnChange seeing an older state after
// a newer one when two changes, such as one from the store and one from a peer,
// arrive at the same moment. In soak seed 111 an instance thus went back from
// version 4 of the configuration to version 3 and accepted a withdrawn key.
func TestChangesAreReportedInOrder(t *testing.T) {
	var mu sync.Mutex
	var reported []uint64
	firstReported := make(chan struct{})
	f := &catalog.Follower{Now: time.Now, Log: zap.NewNop(), OnChange: func(objects []platformstore.Object) {
		revision := objects[0].Revision
		if revision == 3 {
			close(firstReported)
			// Gives the next change time to overtake this one.
			time.Sleep(50 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		reported = append(reported, revision)
	}}
	merge := func(revision uint64) {
		state := catalog.State{Revision: revision, ConfirmedAt: time.Now()}
		f.Merge(state, true, []platformstore.Object{{Name: "main", Revision: revision, Value: []byte{byte(revision)}}})
	}
	var group sync.WaitGroup
	group.Go(func() { merge(3) })
	group.Go(func() { <-firstReported; merge(4) })
	group.Wait()
	if len(reported) != 2 || reported[1] != 4 {
		t.Errorf("revisions reported: %v, want two, 4 last", reported)
	}
}

// TestOutageIsDetectedFromPeerConfirmations checks that an instance that does not
// read the store, but merges its peers' replicas, notices an outage of the store.
// Otherwise it would at once drop targets whose entries lapsed during the outage.
func TestOutageIsDetectedFromPeerConfirmations(t *testing.T) {
	now := start
	f := &catalog.Follower{Now: func() time.Time { return now }, Log: zap.NewNop(), OnChange: func([]platformstore.Object) {}}
	revision := uint64(0)
	confirm := func(after time.Duration) {
		now = now.Add(after)
		revision++
		f.Merge(catalog.State{Revision: revision, ConfirmedAt: now}, true, nil)
	}
	confirm(0)
	for range 5 {
		confirm(1500 * time.Millisecond)
	}
	if regained := f.RegainedAt(); !regained.IsZero() {
		t.Errorf("an outage that ended at %s is reported, there was none", regained.Sub(start))
	}
	now = now.Add(3 * time.Second)
	if regained := f.RegainedAt(); !regained.Equal(now) {
		t.Errorf("the outage counts as over since %s, no instance reaches the store yet", now.Sub(regained))
	}
	confirm(time.Second)
	regainedAt := now
	confirm(time.Second)
	if regained := f.RegainedAt(); !regained.Equal(regainedAt) {
		t.Errorf("the outage counts as over at %s, want %s", regained.Sub(start), regainedAt.Sub(start))
	}
}

// TestSameContentIsNotAChange checks that rewriting an object with the same value
// is not reported as a change, and that replicas with the same objects compare as
// equal whether they were listed or watched.
func TestSameContentIsNotAChange(t *testing.T) {
	object1 := func(revision uint64, value string) platformstore.Object {
		return platformstore.Object{Name: "t1", Revision: revision, Value: []byte(value)}
	}
	var watched, listed catalog.Replica
	watched.ApplyList(platformstore.Page{Revision: 1, Objects: []platformstore.Object{object1(1, "a")}}, start)
	if !watched.ApplyWatch(platformstore.Position{Revision: 1}, platformstore.Page{Revision: 2, Objects: []platformstore.Object{object1(2, "b")}}, start) {
		t.Error("a new value is not reported as a change")
	}
	if watched.ApplyWatch(platformstore.Position{Revision: 2}, platformstore.Page{Revision: 5, Objects: []platformstore.Object{object1(4, "b")}}, start) {
		t.Error("the same value is reported as a change")
	}
	listed.ApplyList(platformstore.Page{Revision: 6, Objects: []platformstore.Object{object1(4, "b")}}, start.Add(time.Second))
	if watched.ContentHash != listed.ContentHash {
		t.Error("two replicas of the same objects have different hashes")
	}
	watched.Merge(listed.State, false, nil)
	if watched.Revision != 6 || !watched.ConfirmedAt.Equal(listed.ConfirmedAt) {
		t.Errorf("a peer's confirmation of the same objects was not applied: %+v", watched.State)
	}
}
