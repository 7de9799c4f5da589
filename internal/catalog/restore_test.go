package catalog_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/platformstore"
	"heatherrelay/platform"
	"heatherrelay/platform/platformtest"
)

// followed is a follower of a fake store and the values that it reported last.
type followed struct {
	*catalog.Follower
	mu     sync.Mutex
	values string
}

// valuesOf joins the values of objects.
func valuesOf(objects []platformstore.Object) string {
	var values []string
	for _, o := range objects {
		values = append(values, o.Name+"="+string(o.Value))
	}
	return strings.Join(values, " ")
}

func (f *followed) reported() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values
}

// follow runs a follower of a store until the test ends.
func follow(t *testing.T, store platformstore.Store) *followed {
	t.Helper()
	f := &followed{}
	f.Follower = &catalog.Follower{
		Store: store, Kind: "things", MaxWatchWait: 300 * time.Millisecond, Now: time.Now, Log: zap.NewNop(),
		OnChange: func(objects []platformstore.Object) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.values = valuesOf(objects)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// await waits until condition holds, for at most two seconds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 2 s: %s", what)
		}
	}
}

func newFakeStore(t *testing.T) (*platformtest.Store, platformstore.Store) {
	t.Helper()
	fake := platformtest.NewStore()
	t.Cleanup(fake.Close)
	return fake, (&platform.StoreClient{Address: fake.Address()}).Store()
}

// TestFollowerFollowsRestoredStore guards against a replica that ignores the store
// after it was restored from a copy, because its revisions are lower, and meanwhile
// calls it without a pause.
func TestFollowerFollowsRestoredStore(t *testing.T) {
	fake, store := newFakeStore(t)
	fake.Put("things", "a", 1)
	snapshot := fake.Snapshot()
	for value := range 5 {
		fake.Put("things", "a", 2+value)
		fake.Put("things", "b", 2+value)
	}
	f := follow(t, store)
	await(t, "first listing", func() bool { return f.reported() == "a=6 b=6" })
	calls := fake.Calls()
	fake.Restore(snapshot)
	await(t, "the copy's state, reported "+f.reported(), func() bool { return f.reported() == "a=1" })
	fake.Put("things", "b", 9)
	await(t, "a change after the restore", func() bool { return f.reported() == "a=1 b=9" })
	if more := fake.Calls() - calls; more > 12 {
		t.Errorf("%d calls to the store around a restore", more)
	}
}

// TestFollowerListsThoughRevisionWasGivenOutAgain guards against a watch from a
// revision that the restored store has given out a second time: it succeeds, and what
// the copy lacks or was written at lower revisions would never be seen.
func TestFollowerListsThoughRevisionWasGivenOutAgain(t *testing.T) {
	fake, store := newFakeStore(t)
	fake.Put("things", "a", 1)
	snapshot := fake.Snapshot()
	fake.Put("things", "a", 2)
	fake.Put("things", "a", 3)
	f := follow(t, store)
	await(t, "first listing", func() bool { return f.reported() == "a=3" })
	fake.Fail(http.StatusServiceUnavailable)
	await(t, "a refusal", func() bool { _, err := store.Get(context.Background(), "things", "a"); return err != nil })
	fake.Restore(snapshot)
	for value := range 4 {
		fake.Put("things", "b", value)
	}
	fake.Fail(0)
	await(t, "the restored state, reported "+f.reported(), func() bool { return f.reported() == "a=1 b=3" })
}

func thing(revision, generation uint64, value string) platformstore.Object {
	return platformstore.Object{Name: "a", Revision: revision, Generation: generation, Value: json.RawMessage(value)}
}

// TestLateAnswersOfOlderGenerationAreIgnored guards against an answer from before a
// restore that arrives after it, from the store or through a peer, with a higher
// revision than the restored store has.
func TestLateAnswersOfOlderGenerationAreIgnored(t *testing.T) {
	list := func(revision, generation uint64, value string) platformstore.Page {
		return platformstore.Page{Revision: revision, Generation: generation, Objects: []platformstore.Object{thing(revision, generation, value)}}
	}
	var r catalog.Replica
	r.ApplyList(list(9, 1, "old"), start)
	if !r.ApplyList(list(5, 2, "new"), start.Add(time.Second)) || r.Revision != 5 {
		t.Fatalf("a listing of a newer generation is not applied: %s at %+v", valuesOf(r.Objects()), r.State)
	}
	r.ApplyList(list(12, 1, "late"), start.Add(2*time.Second))
	r.ApplyWatch(platformstore.Position{Generation: 1, Revision: 4}, list(12, 1, "late"), start.Add(2*time.Second))
	r.ApplyWatch(platformstore.Position{Generation: 1, Revision: 4}, list(6, 2, "mixed"), start.Add(2*time.Second))
	var peer catalog.Replica
	peer.ApplyList(list(12, 1, "late"), start.Add(2*time.Second))
	r.Merge(peer.State, true, peer.Objects())
	if have := valuesOf(r.Objects()); have != "a=new" || r.Revision != 5 || !r.ConfirmedAt.Equal(start.Add(time.Second)) {
		t.Errorf("a late answer was applied: %s at %+v", have, r.State)
	}
}

// TestPeerOfOlderGenerationConfirmsNothing guards against a peer that has not noticed
// a restore and confirms, by the same content, what the restored store may not hold
// any more; and checks that a peer of a newer generation hands its replica on.
func TestPeerOfOlderGenerationConfirmsNothing(t *testing.T) {
	var r, peer catalog.Replica
	page := platformstore.Page{Revision: 5, Generation: 2, Objects: []platformstore.Object{thing(5, 2, "v")}}
	r.ApplyList(page, start)
	page.Revision, page.Generation = 8, 1
	peer.ApplyList(page, start.Add(time.Second))
	r.Merge(peer.State, false, nil)
	if !r.ConfirmedAt.Equal(start) || r.Revision != 5 {
		t.Errorf("an older generation confirmed the replica: %+v", r.State)
	}
	peer.Merge(r.State, false, nil)
	if peer.Generation != 2 || peer.Revision != 5 {
		t.Errorf("the same content of a newer generation was not taken over: %+v", peer.State)
	}
}

// TestChangeAfterSameContentOfNewerGeneration guards against a change that a replica
// ignores because it still holds the object at a revision of an older generation, which
// is higher.
func TestChangeAfterSameContentOfNewerGeneration(t *testing.T) {
	var r, peer catalog.Replica
	r.ApplyList(platformstore.Page{Revision: 9, Generation: 1, Objects: []platformstore.Object{thing(9, 1, "v")}}, start)
	peer.ApplyList(platformstore.Page{Revision: 5, Generation: 2, Objects: []platformstore.Object{thing(5, 2, "v")}}, start)
	r.Merge(peer.State, false, nil)
	change := platformstore.Page{Revision: 6, Generation: 2, Objects: []platformstore.Object{thing(6, 2, "w")}}
	if !r.ApplyWatch(r.Position(), change, start) || valuesOf(r.Objects()) != "a=w" {
		t.Errorf("the change is not applied: %s", valuesOf(r.Objects()))
	}
}

// TestLowerRevisionsDoNotCauseACallStorm guards against a follower that lists and
// watches in turn without a pause when the store's revisions are below its replica's and
// nothing shows a restore.
func TestLowerRevisionsDoNotCauseACallStorm(t *testing.T) {
	fake, store := newFakeStore(t)
	list, watch := store.List, store.Watch
	store.SeenGeneration = nil
	store.List = func(ctx context.Context, kind platformstore.Kind, stale bool) (platformstore.Page, error) {
		page, err := list(ctx, kind, stale)
		page.Generation = 0
		return page, err
	}
	store.Watch = func(ctx context.Context, kind platformstore.Kind, after uint64, wait time.Duration) (platformstore.Page, error) {
		page, err := watch(ctx, kind, after, wait)
		page.Generation = 0
		return page, err
	}
	snapshot := fake.Snapshot()
	fake.Put("things", "a", 1)
	f := follow(t, store)
	await(t, "first listing", func() bool { return f.reported() == "a=1" })
	calls := fake.Calls()
	fake.Restore(snapshot)
	time.Sleep(time.Second)
	if more := fake.Calls() - calls; more > 30 {
		t.Errorf("%d calls in one second", more)
	}
}
