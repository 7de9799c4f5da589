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
	"heatherrelay/internal/object"
)

var start = time.Unix(1000, 0)

// modelStore is a store of one kind with its whole history.
type modelStore struct {
	revision uint64
	objects  map[string]object.Object
	history  []object.Object
}

func (s *modelStore) put(name string) {
	s.revision++
	o := object.Object{Name: name, Revision: s.revision, Value: json.RawMessage(strconv.FormatUint(s.revision, 10))}
	s.objects[name] = o
	s.history = append(s.history, o)
}

func (s *modelStore) remove(name string) {
	if _, ok := s.objects[name]; !ok {
		return
	}
	s.revision++
	delete(s.objects, name)
	s.history = append(s.history, object.Object{Name: name, Revision: s.revision, Deleted: true})
}

func (s *modelStore) list() object.Page {
	page := object.Page{Revision: s.revision}
	for o := range maps.Values(s.objects) {
		page.Objects = append(page.Objects, o)
	}
	return page
}

// watch returns the changes after a revision up to another one.
func (s *modelStore) watch(after, upTo uint64) object.Page {
	page := object.Page{Revision: upTo}
	for _, o := range s.history {
		if o.Revision > after && o.Revision <= upTo {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

// at returns the objects of a revision.
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

// answer is an answer of the store that is still on its way.
type answer struct {
	page   object.Page
	from   uint64
	listed bool
	sentAt time.Time
}

// TestReplicaIsAlwaysOneState delivers listings, watches and peers' copies late
// and in any order. A replica must always equal the store at its position, never
// go back, and never claim a confirmation from after the state it holds.
func TestReplicaIsAlwaysOneState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{objects: map[string]object.Object{}}
		replicas := []*catalog.Replica{{}, {}}
		var answers []answer
		now := start
		last := []uint64{0, 0}
		pick := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "replica") }
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
			"ask": func(t *rapid.T) {
				r := replicas[pick(t)]
				if !r.Known() || rapid.Bool().Draw(t, "list") {
					answers = append(answers, answer{page: store.list(), listed: true, sentAt: now})
					return
				}
				upTo := rapid.Uint64Range(r.Position, max(store.revision, r.Position)).Draw(t, "up to")
				answers = append(answers, answer{page: store.watch(r.Position, upTo), from: r.Position, sentAt: now})
			},
			"hear": func(t *rapid.T) {
				if len(answers) == 0 {
					return
				}
				a := answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")]
				if r := replicas[pick(t)]; a.listed {
					r.List(a.page, a.sentAt)
				} else {
					r.Watch(a.from, a.page, a.sentAt)
				}
			},
			"merge": func(t *rapid.T) {
				i := pick(t)
				from, to := replicas[i], replicas[1-i]
				if from.Known() {
					to.Merge(from.State, from.Content != to.Content, from.Objects())
				}
			},
			"": func(t *rapid.T) {
				for i, r := range replicas {
					if !r.Known() {
						continue
					}
					if r.Position < last[i] {
						t.Fatalf("replica %d went back from %d to %d", i, last[i], r.Position)
					}
					last[i] = r.Position
					have := map[string]uint64{}
					for _, o := range r.Objects() {
						have[o.Name] = o.Revision
					}
					if want := store.at(r.Position); !maps.Equal(have, want) {
						t.Fatalf("replica %d at %d holds %v, the store held %v", i, r.Position, have, want)
					}
				}
			},
		})
	})
}
