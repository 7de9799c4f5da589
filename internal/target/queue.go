package target

import (
	"slices"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// The defaults of a queue.
const (
	// PatientDelay is how much later than an interactive request of the same
	// arrival a patient one goes.
	PatientDelay = 5 * time.Second
	// QueueItems is how many requests wait before teams over their share are refused.
	QueueItems = 1024
	// maxCreditTokens bounds the lead, per weight, that a team builds up while all
	// its requests wait for loads.
	maxCreditTokens = 4096
	// overloadedRetryAfter tells a refused caller when to come back.
	overloadedRetryAfter = 2 * time.Second
)

// Item is one waiting request.
type Item[T any] struct {
	// ID is unique in the queue.
	ID   string
	Team string
	// Weight is the team's share; zero or less counts as one.
	Weight  float64
	Class   release.Class
	Adapter adapter.ID
	// Tokens is what the request can cost at most.
	Tokens int
	// Deadline is when its caller stops waiting; zero means never.
	Deadline time.Time
	Payload  T
}

// Queue holds the requests that wait for one target. Teams share the target by
// weighted fair queueing over tokens: of the teams with a request that can run,
// the one with the least tokens served per weight goes next. Within a team,
// requests go in order of arrival, patient ones as if they had arrived later by
// PatientDelay, so that they age into their turn. It always holds that an item
// leaves the queue exactly once, by Pop, Remove or Expire; nothing else drops it.
// It is not safe for concurrent use. Exported fields are set before the first call.
type Queue[T any] struct {
	// MaxItems is the length above which a team over its share is refused. A
	// team below its share may still add, so the queue never holds more than
	// twice MaxItems. Zero takes QueueItems.
	MaxItems int
	// PatientDelay replaces the default when above zero.
	PatientDelay time.Duration

	teams        map[string]*teamQueue[T]
	order        []*teamQueue[T]
	virtualTime  float64
	length       int
	queuedTokens int
	pushed       uint64
}

// teamQueue is the waiting requests of one team, by class in order of arrival.
type teamQueue[T any] struct {
	name        string
	weight      float64
	start       float64
	interactive []waiting[T]
	patient     []waiting[T]
}

type waiting[T any] struct {
	Item[T]
	due    time.Time
	number uint64
}

func (t *teamQueue[T]) len() int { return len(t.interactive) + len(t.patient) }

// Push adds an item that arrives at now. It refuses with overloaded, not run,
// when the queue is full and the item's team has its share of it or more.
func (q *Queue[T]) Push(now time.Time, item Item[T]) error {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	if q.full(item.Team, item.Weight) {
		return refusal.NotRun(refusal.CodeOverloaded, "the target's queue is full").After(overloadedRetryAfter)
	}
	t := q.team(item.Team)
	t.weight = item.Weight
	q.pushed++
	w := waiting[T]{Item: item, due: now, number: q.pushed}
	if item.Class == release.Patient {
		w.due = now.Add(q.patientDelay())
		t.patient = append(t.patient, w)
	} else {
		t.interactive = append(t.interactive, w)
	}
	q.length++
	q.queuedTokens += item.Tokens
	return nil
}

// Pop removes and returns the item to run next. Items whose adapter is not
// ready are passed over and keep their place, and their team keeps its turn.
func (q *Queue[T]) Pop(_ time.Time, ready func(adapter.ID) bool) (Item[T], bool) {
	var from *teamQueue[T]
	var found place
	for _, t := range q.order {
		if from != nil && from.start <= t.start {
			continue
		}
		if p, ok := t.first(ready); ok {
			from, found = t, p
		}
	}
	if from == nil {
		return Item[T]{}, false
	}
	item := q.take(from, found)
	start := max(from.start, q.virtualTime-maxCreditTokens)
	q.virtualTime = max(q.virtualTime, start)
	from.start = start + float64(item.Tokens)/from.weight
	q.dropIfEmpty(from)
	return item, true
}

// Remove takes an item out, when its caller is gone.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	for _, t := range q.order {
		for _, class := range [...]release.Class{release.Interactive, release.Patient} {
			for i, w := range t.list(class) {
				if w.ID == id {
					item := q.take(t, place{class: class, index: i})
					q.dropIfEmpty(t)
					return item, true
				}
			}
		}
	}
	return Item[T]{}, false
}

// Expire removes and returns the items whose deadline has come.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	var overdue []Item[T]
	keep := func(list []waiting[T]) []waiting[T] {
		kept := list[:0]
		for _, w := range list {
			if w.Deadline.IsZero() || now.Before(w.Deadline) {
				kept = append(kept, w)
				continue
			}
			overdue = append(overdue, w.Item)
			q.length--
			q.queuedTokens -= w.Tokens
		}
		clear(list[len(kept):])
		return kept
	}
	for _, t := range q.order {
		t.interactive = keep(t.interactive)
		t.patient = keep(t.patient)
	}
	for _, t := range slices.Clone(q.order) {
		q.dropIfEmpty(t)
	}
	return overdue
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// QueuedTokens returns what the waiting items can cost at most.
func (q *Queue[T]) QueuedTokens() int { return q.queuedTokens }

// TeamLen returns the number of waiting items of a team.
func (q *Queue[T]) TeamLen(team string) int {
	t, ok := q.teams[team]
	if !ok {
		return 0
	}
	return t.len()
}

// full reports whether a team may not add an item. Beyond the limit each team
// still has its share of a second limit's worth of places.
func (q *Queue[T]) full(team string, weight float64) bool {
	limit := q.MaxItems
	if limit <= 0 {
		limit = QueueItems
	}
	if q.length < limit {
		return false
	}
	weights := 0.0
	for _, t := range q.order {
		if t.name != team && t.len() > 0 {
			weights += t.weight
		}
	}
	share := float64(limit) * weight / (weights + weight)
	return q.length >= 2*limit || float64(q.TeamLen(team)) >= share
}

func (q *Queue[T]) team(name string) *teamQueue[T] {
	if t, ok := q.teams[name]; ok {
		if t.len() == 0 {
			t.start = max(t.start, q.virtualTime)
		}
		return t
	}
	if q.teams == nil {
		q.teams = map[string]*teamQueue[T]{}
	}
	t := &teamQueue[T]{name: name, start: q.virtualTime}
	q.teams[name] = t
	q.order = append(q.order, t)
	return t
}

func (q *Queue[T]) patientDelay() time.Duration {
	if q.PatientDelay > 0 {
		return q.PatientDelay
	}
	return PatientDelay
}
