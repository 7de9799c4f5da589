package catalog_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/platformstore"
)

var start = time.Unix(1000, 0)

// modelStore models a store with one kind of objects and its complete history.
type modelStore struct {
	revision uint64
	objects  map[string]platformstore.Object
	history  []platformstore.Object
}

func (s *modelStore) put(name string) {
	s.revision++
	o := platformstore.Object{Name: name, Revision: s.revision, Value: json.RawMessage(strconv.FormatUint(s.revision, 10))}
	s.objects[name] = o
	s.history = append(s.history, o)
}

func (s *modelStore) remove(name string) {
	if _, ok := s.objects[name]; !ok {
		return
	}
	s.revision++
	delete(s.objects, name)
	s.history = append(s.history, platformstore.Object{Name: name, Revision: s.revision, Deleted: true})
}

func (s *modelStore) list() platformstore.Page {
	page := platformstore.Page{Revision: s.revision}
	for o := range maps.Values(s.objects) {
		page.Objects = append(page.Objects, o)
	}
	return page
}

// watch returns the changes after one revision, up to and including another.
func (s *modelStore) watch(after, upTo uint64) platformstore.Page {
	page := platformstore.Page{Revision: upTo}
	for _, o := range s.history {
		if o.Revision > after && o.Revision <= upTo {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

// at returns the objects that existed at a revision, by name, with their revisions.
func (s *modelStore) at(revision uint64) map[string]uint64 {
	state := map[string]uint64{}
	for _, o := range s.history {
		switch {
		case o.Revision > revision:
		case o.Deleted:
			delete(state, o.Name)
		default:
			state[o.Name] = o.Revision
		}
	}
	return state
}

// response is a response of the store that has not been delivered yet.
type response struct {
	page   platformstore.Page
	from   uint64
	listed bool
	sentAt time.Time
}

// TestReplicaMatchesStoreAtItsRevision delivers the results of lists and watches,
// and the replicas of peers, late and in any order. A replica must always equal the
// store at its revision and never go back. ConfirmedAt, which must not be later
// than the state that the replica holds, is not checked.
func TestReplicaMatchesStoreAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{objects: map[string]platformstore.Object{}}
		replicas := []*catalog.Replica{{}, {}}
		var responses []response
		now := start
		lastRevision := []uint64{0, 0}
		drawIndex := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "name"))
				if rapid.Bool().Draw(t, "remove") {
					store.remove(name)
				} else {
					store.put(name)
				}
				now = now.Add(time.Second)
			},
			"call": func(t *rapid.T) {
				r := replicas[drawIndex(t)]
				if !r.Known() || rapid.Bool().Draw(t, "list") {
					responses = append(responses, response{page: store.list(), listed: true, sentAt: now})
					return
				}
				upTo := rapid.Uint64Range(r.Revision, max(store.revision, r.Revision)).Draw(t, "up to")
				responses = append(responses, response{page: store.watch(r.Revision, upTo), from: r.Revision, sentAt: now})
			},
			"deliver": func(t *rapid.T) {
				if len(responses) == 0 {
					return
				}
				next := responses[rapid.IntRange(0, len(responses)-1).Draw(t, "response")]
				if r := replicas[drawIndex(t)]; next.listed {
					r.ApplyList(next.page, next.sentAt)
				} else {
					r.ApplyWatch(next.from, next.page, next.sentAt)
				}
			},
			"merge": func(t *rapid.T) {
				i := drawIndex(t)
				from, to := replicas[i], replicas[1-i]
				if from.Known() {
					to.Merge(from.State, from.ContentHash != to.ContentHash, from.Objects())
				}
			},
			"": func(t *rapid.T) {
				for i, r := range replicas {
					if !r.Known() {
						continue
					}
					if r.Revision < lastRevision[i] {
						t.Fatalf("replica %d went back from %d to %d", i, lastRevision[i], r.Revision)
					}
					lastRevision[i] = r.Revision
					have := map[string]uint64{}
					for _, o := range r.Objects() {
						have[o.Name] = o.Revision
					}
					if want := store.at(r.Revision); !maps.Equal(have, want) {
						t.Fatalf("replica %d at %d holds %v, the store held %v", i, r.Revision, have, want)
					}
				}
			},
		})
	})
}
