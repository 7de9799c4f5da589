package target

import (
	"slices"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// place is where an item stands in its team's lists.
type place struct {
	class release.Class
	index int
}

func (t *teamQueue[T]) list(class release.Class) []waiting[T] {
	if class == release.Patient {
		return t.patient
	}
	return t.interactive
}

// first returns the team's next item whose adapter is ready.
func (t *teamQueue[T]) first(ready func(adapter.ID) bool) (place, bool) {
	i := firstReady(t.interactive, ready)
	p := firstReady(t.patient, ready)
	switch {
	case i < 0 && p < 0:
		return place{}, false
	case i < 0, p >= 0 && t.patient[p].due.Before(t.interactive[i].due):
		return place{class: release.Patient, index: p}, true
	}
	return place{class: release.Interactive, index: i}, true
}

func firstReady[T any](list []waiting[T], ready func(adapter.ID) bool) int {
	return slices.IndexFunc(list, func(w waiting[T]) bool {
		return ready == nil || ready(w.Adapter)
	})
}

// take removes the item at a place from the queue.
func (q *Queue[T]) take(t *teamQueue[T], p place) Item[T] {
	list := t.list(p.class)
	item := list[p.index].Item
	list = slices.Delete(list, p.index, p.index+1)
	if p.class == release.Patient {
		t.patient = list
	} else {
		t.interactive = list
	}
	q.length--
	q.queuedTokens -= item.Tokens
	return item
}

// dropIfEmpty forgets a team without items, unless it is ahead of the virtual
// time: then it has to wait for its turn when it comes back. An empty queue
// forgets all teams.
func (q *Queue[T]) dropIfEmpty(t *teamQueue[T]) {
	switch {
	case q.length == 0:
		clear(q.teams)
		q.order = q.order[:0]
		q.virtualTime = 0
	case t.len() == 0 && t.start <= q.virtualTime:
		delete(q.teams, t.name)
		q.order = slices.DeleteFunc(q.order, func(o *teamQueue[T]) bool { return o == t })
	}
}
