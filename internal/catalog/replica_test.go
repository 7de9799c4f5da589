package catalog_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/platformstore"
)

var start = time.Unix(1000, 0)

// modelStore models a store with one kind of objects and its complete history, and
// keeps the histories that it had before each restore.
type modelStore struct {
	revision  uint64
	objects   map[string]platformstore.Object
	history   []platformstore.Object
	histories [][]platformstore.Object
}

func (s *modelStore) generation() uint64 { return uint64(len(s.histories)) }

// restore brings the store back to an earlier revision. Later revisions are given out
// again.
func (s *modelStore) restore(revision uint64) {
	s.histories = append(s.histories, s.history)
	kept := slices.IndexFunc(s.history, func(o platformstore.Object) bool { return o.Revision > revision })
	if kept < 0 {
		kept = len(s.history)
	}
	s.history = slices.Clone(s.history[:kept])
	s.revision, s.objects = revision, map[string]platformstore.Object{}
	for _, o := range s.history {
		if s.objects[o.Name] = o; o.Deleted {
			delete(s.objects, o.Name)
		}
	}
}

// put writes an object with a value that is different from all others, or one that is
// written often.
func (s *modelStore) put(name string, different bool) {
	s.revision++
	o := platformstore.Object{Name: name, Revision: s.revision, Value: json.RawMessage("common")}
	if different {
		o.Value = json.RawMessage(fmt.Sprintf("%d/%d", s.generation(), s.revision))
	}
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
	page := platformstore.Page{Revision: s.revision, Generation: s.generation()}
	for o := range maps.Values(s.objects) {
		page.Objects = append(page.Objects, o)
	}
	return page
}

// watch returns the changes after one revision, up to and including another.
func (s *modelStore) watch(after, upTo uint64) platformstore.Page {
	page := platformstore.Page{Revision: upTo, Generation: s.generation()}
	for _, o := range s.history {
		if o.Revision > after && o.Revision <= upTo {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

// at returns the objects that existed at a position, by name, with their values.
func (s *modelStore) at(position platformstore.Position) map[string]string {
	state, history := map[string]string{}, s.history
	if position.Generation < s.generation() {
		history = s.histories[position.Generation]
	}
	for _, o := range history {
		switch {
		case o.Revision > position.Revision:
		case o.Deleted:
			delete(state, o.Name)
		default:
			state[o.Name] = string(o.Value)
		}
	}
	return state
}

// response is a response of the store that has not been delivered yet.
type response struct {
	page   platformstore.Page
	from   platformstore.Position
	listed bool
	sentAt time.Time
}

// TestReplicaMatchesStoreAtItsPosition delivers the results of lists and watches,
// and the replicas of peers, late and in any order, while the store is at times
// restored from an older copy. A replica must always equal the store at its position
// and never go back. ConfirmedAt, which must not be later
// than the state that the replica holds, is not checked.
func TestReplicaMatchesStoreAtItsPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{objects: map[string]platformstore.Object{}}
		replicas := []*catalog.Replica{{}, {}}
		var responses []response
		now := start
		lastPosition := make([]platformstore.Position, 2)
		drawIndex := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "name"))
				if rapid.Bool().Draw(t, "remove") {
					store.remove(name)
				} else {
					store.put(name, rapid.Bool().Draw(t, "different"))
				}
				now = now.Add(time.Second)
			},
			"restore": func(t *rapid.T) {
				store.restore(rapid.Uint64Range(0, store.revision).Draw(t, "copy"))
			},
			"call": func(t *rapid.T) {
				r := replicas[drawIndex(t)]
				if !r.Known() || rapid.Bool().Draw(t, "list") {
					responses = append(responses, response{page: store.list(), listed: true, sentAt: now})
					return
				}
				if r.Revision > store.revision {
					return // the store refuses the watch
				}
				upTo := rapid.Uint64Range(r.Revision, store.revision).Draw(t, "up to")
				responses = append(responses, response{page: store.watch(r.Revision, upTo), from: r.Position(), sentAt: now})
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
					if r.Position().Compare(lastPosition[i]) < 0 {
						t.Fatalf("replica %d went back from %+v to %+v", i, lastPosition[i], r.Position())
					}
					lastPosition[i] = r.Position()
					have := map[string]string{}
					for _, o := range r.Objects() {
						have[o.Name] = string(o.Value)
					}
					if want := store.at(r.Position()); !maps.Equal(have, want) {
						t.Fatalf("replica %d at %+v holds %v, the store held %v", i, r.Position(), have, want)
					}
				}
			},
		})
	})
}
