package fairqueue

import (
	"slices"

	"heatherrelay/pkg/release"
)

// itemPosition locates an item in the lists of its team.
type itemPosition struct {
	class release.Class
	index int
}

func (t *teamQueue[T]) items(class release.Class) []queuedItem[T] {
	if class == release.Patient {
		return t.patient
	}
	return t.interactive
}

// nextReady returns the position of the team's next item whose adapter is ready.
func (t *teamQueue[T]) nextReady(ready func(Item[T]) bool) (itemPosition, bool) {
	i := indexReady(t.interactive, ready)
	p := indexReady(t.patient, ready)
	switch {
	case i < 0 && p < 0:
		return itemPosition{}, false
	case i < 0, p >= 0 && t.patient[p].effectiveArrival.Before(t.interactive[i].effectiveArrival):
		return itemPosition{class: release.Patient, index: p}, true
	}
	return itemPosition{class: release.Interactive, index: i}, true
}

// indexReady returns the index of the first item whose adapter is ready, or -1.
func indexReady[T any](list []queuedItem[T], ready func(Item[T]) bool) int {
	return slices.IndexFunc(list, func(w queuedItem[T]) bool {
		return ready == nil || ready(w.Item)
	})
}

// removeAt removes and returns the item at a position.
func (q *Queue[T]) removeAt(t *teamQueue[T], p itemPosition) Item[T] {
	list := t.items(p.class)
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

// pruneTeam deletes a team without items, unless it is ahead of the virtual time: its
// later requests must still wait until the other teams have caught up. If the queue is
// empty, it deletes all teams.
func (q *Queue[T]) pruneTeam(t *teamQueue[T]) {
	switch {
	case q.length == 0:
		clear(q.teams)
		q.teamList = q.teamList[:0]
		q.virtualTime = 0
	case t.len() == 0 && t.virtualStart <= q.virtualTime:
		delete(q.teams, t.name)
		q.teamList = slices.DeleteFunc(q.teamList, func(o *teamQueue[T]) bool { return o == t })
	}
}
