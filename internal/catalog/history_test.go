package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/platformstore"
)

// TestChangesLeadPeersToTheSameContent applies random changes to one replica and brings
// another one up to date with it at random moments, by what changed alone. Both must hold
// the same objects afterwards, also across listings and restores of the store, and a
// replica that cannot be brought up to date by changes must say so.
func TestChangesLeadPeersToTheSameContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var reader, follower catalog.Replica
		revision, generation := uint64(1), uint64(1)
		stored := map[string]platformstore.Object{}
		list := func() platformstore.Page {
			page := platformstore.Page{Revision: revision, Generation: generation}
			for _, o := range stored {
				page.Objects = append(page.Objects, o)
			}
			return page
		}
		reader.ApplyList(list(), now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "change", "change", "delete", "list", "restore", "sync"}).Draw(t, "step") {
			case "change", "delete":
				from := reader.Position()
				revision++
				o := platformstore.Object{Name: fmt.Sprint("o", rapid.IntRange(0, 5).Draw(t, "name")), Revision: revision, Value: json.RawMessage(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "value")))}
				if last, ok := stored[o.Name]; ok && rapid.Bool().Draw(t, "deleted") {
					o.Deleted = true
					if rapid.Bool().Draw(t, "revision_of_last_write") {
						o.Revision = last.Revision
					}
					delete(stored, o.Name)
				} else {
					stored[o.Name] = o
				}
				reader.ApplyWatch(from, platformstore.Page{Objects: []platformstore.Object{o}, Revision: revision, Generation: generation}, now)
			case "list":
				revision++
				reader.ApplyList(list(), now)
			case "restore":
				generation++
				reader.ApplyList(list(), now)
			case "sync":
				syncReplicas(t, &reader, &follower)
			}
		}
		syncReplicas(t, &reader, &follower)
	})
}

// syncReplicas brings follower up to date with reader: by changes if reader remembers
// them, else by all objects.
func syncReplicas(t *rapid.T, reader, follower *catalog.Replica) {
	changes, ok := reader.ChangesAfter(follower.Position())
	if ok && follower.Known() {
		follower.MergeChanges(reader.State, follower.Revision, changes)
		if follower.NeedsComplete() {
			t.Fatalf("the changes %v do not lead to the reader's content", changes)
		}
	} else {
		follower.Merge(reader.State, true, reader.Objects())
	}
	if follower.ContentHash != reader.ContentHash || len(follower.Objects()) != len(reader.Objects()) {
		t.Fatalf("after %d changes: follower holds %v, reader %v", len(changes), follower.Objects(), reader.Objects())
	}
}

// TestChangesThatLeadElsewhereAreNotKept checks that a replica stays as it was when a
// peer's changes do not lead to the content that the peer states, and then asks for all
// objects.
func TestChangesThatLeadElsewhereAreNotKept(t *testing.T) {
	var r catalog.Replica
	r.ApplyList(platformstore.Page{Objects: []platformstore.Object{{Name: "a", Revision: 1, Value: json.RawMessage("1")}}, Revision: 1, Generation: 1}, time.Unix(1, 0))
	peer := catalog.State{Revision: 5, Generation: 1, ContentHash: 42}
	if r.MergeChanges(peer, 1, []platformstore.Object{{Name: "b", Revision: 4, Value: json.RawMessage("2")}}) || len(r.Objects()) != 1 || r.Revision != 1 {
		t.Errorf("changes that lead to another content were kept: %v at %d", r.Objects(), r.Revision)
	}
	if !r.NeedsComplete() {
		t.Error("the replica does not ask for all objects")
	}
}
