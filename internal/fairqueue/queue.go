// Package fairqueue holds requests that wait for capacity which teams share.
package fairqueue

import (
	"slices"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// The defaults of a queue.
const (
	// DefaultPatientDelay is added to the arrival time of a patient request when it
	// is ordered against interactive ones.
	DefaultPatientDelay = 5 * time.Second
	// DefaultMaxItems is the queue length from which teams that use up their share
	// are refused.
	DefaultMaxItems = 1024
	// maxCreditTokens bounds the credit, in tokens per weight, that a team collects
	// while all its requests wait for loads.
	maxCreditTokens = 4096
	// OverloadedRetryAfter is the RetryAfter of refusals with CodeOverloaded.
	OverloadedRetryAfter = 2 * time.Second
)

// Item is a queued request.
type Item[T any] struct {
	// ID is unique in the queue.
	ID   string
	Team string
	// Weight is the team's weight in fair queueing; zero or less counts as one.
	Weight  float64
	Class   release.Class
	Adapter adapter.ID
	// Tokens is the maximum cost of the request in tokens.
	Tokens int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	Payload  T
}

// Queue holds the requests that wait for a target, or for several. Teams share these by
// weighted fair queueing over tokens: of the teams with a request that can run,
// the one with the least tokens served per weight goes next. Within a team,
// requests are ordered by arrival. Patient ones are ordered as if they had arrived
// later by PatientDelay, so later interactive requests cannot starve them. Every
// item leaves the queue exactly once, by Pop, Remove or Expire. Queue is not safe
// for concurrent use. Exported fields are set before the first call.
type Queue[T any] struct {
	// MaxItems is the length from which a team is refused once it uses up its share.
	// A team below its share may still add items, so the queue never holds more than
	// twice MaxItems. Zero means DefaultMaxItems.
	MaxItems int
	// PatientDelay replaces DefaultPatientDelay if positive.
	PatientDelay time.Duration

	teams        map[string]*teamQueue[T]
	teamList     []*teamQueue[T]
	virtualTime  float64
	length       int
	queuedTokens int
	pushCount    uint64
}

// teamQueue holds the queued requests of one team, one list in order of arrival for
// each class. virtualStart is the virtual time at which its next request starts.
type teamQueue[T any] struct {
	name         string
	weight       float64
	virtualStart float64
	interactive  []queuedItem[T]
	patient      []queuedItem[T]
}

// queuedItem is an item in the queue of its team.
type queuedItem[T any] struct {
	Item[T]
	// effectiveArrival is the arrival time, plus the delay of patient items.
	effectiveArrival time.Time
	sequence         uint64
}

func (t *teamQueue[T]) len() int { return len(t.interactive) + len(t.patient) }

// Push adds an item that arrived at now. If the queue is full and the item's team has
// used up its share, Push returns a refusal with CodeOverloaded and NotRun.
func (q *Queue[T]) Push(now time.Time, item Item[T]) error {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	if q.full(item.Team, item.Weight) {
		return refusal.NotRun(refusal.CodeOverloaded, "the target's queue is full").WithRetryAfter(OverloadedRetryAfter)
	}
	t := q.team(item.Team)
	t.weight = item.Weight
	q.pushCount++
	w := queuedItem[T]{Item: item, effectiveArrival: now, sequence: q.pushCount}
	if item.Class == release.Patient {
		w.effectiveArrival = now.Add(q.patientDelay())
		t.patient = append(t.patient, w)
	} else {
		t.interactive = append(t.interactive, w)
	}
	q.length++
	q.queuedTokens += item.Tokens
	return nil
}

// Pop removes and returns the item to run next; false if there is none. Items whose
// adapter is not ready are skipped: they keep their position, and their team is not
// charged. A nil ready counts every adapter as ready.
func (q *Queue[T]) Pop(_ time.Time, ready func(adapter.ID) bool) (Item[T], bool) {
	if ready == nil {
		return q.PopFunc(nil)
	}
	return q.PopFunc(func(item Item[T]) bool { return ready(item.Adapter) })
}

// PopFunc is Pop for a condition that depends on the whole item.
func (q *Queue[T]) PopFunc(ready func(Item[T]) bool) (Item[T], bool) {
	var next *teamQueue[T]
	var at itemPosition
	for _, t := range q.teamList {
		if next != nil && next.virtualStart <= t.virtualStart {
			continue
		}
		if p, ok := t.nextReady(ready); ok {
			next, at = t, p
		}
	}
	if next == nil {
		return Item[T]{}, false
	}
	item := q.removeAt(next, at)
	start := max(next.virtualStart, q.virtualTime-maxCreditTokens)
	q.virtualTime = max(q.virtualTime, start)
	next.virtualStart = start + float64(item.Tokens)/next.weight
	q.pruneTeam(next)
	return item, true
}

// Remove removes and returns the item with the given ID; false if it is not queued.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	for _, t := range q.teamList {
		for _, class := range [...]release.Class{release.Interactive, release.Patient} {
			for i, w := range t.items(class) {
				if w.ID == id {
					item := q.removeAt(t, itemPosition{class: class, index: i})
					q.pruneTeam(t)
					return item, true
				}
			}
		}
	}
	return Item[T]{}, false
}

// Expire removes and returns the items whose deadline is not after now.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	var expired []Item[T]
	removeExpired := func(list []queuedItem[T]) []queuedItem[T] {
		kept := list[:0]
		for _, w := range list {
			if w.Deadline.IsZero() || now.Before(w.Deadline) {
				kept = append(kept, w)
				continue
			}
			expired = append(expired, w.Item)
			q.length--
			q.queuedTokens -= w.Tokens
		}
		clear(list[len(kept):])
		return kept
	}
	for _, t := range q.teamList {
		t.interactive = removeExpired(t.interactive)
		t.patient = removeExpired(t.patient)
	}
	for _, t := range slices.Clone(q.teamList) {
		q.pruneTeam(t)
	}
	return expired
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// QueuedTokens returns the sum of the maximum costs of the queued items in tokens.
func (q *Queue[T]) QueuedTokens() int { return q.queuedTokens }

// TeamLen returns the number of queued items of a team.
func (q *Queue[T]) TeamLen(team string) int {
	t, ok := q.teams[team]
	if !ok {
		return 0
	}
	return t.len()
}

// full reports whether a team may not add an item. Beyond MaxItems a team may still
// add items while it has fewer than its weighted share of MaxItems queued.
func (q *Queue[T]) full(team string, weight float64) bool {
	limit := q.MaxItems
	if limit <= 0 {
		limit = DefaultMaxItems
	}
	if q.length < limit {
		return false
	}
	weights := 0.0
	for _, t := range q.teamList {
		if t.name != team && t.len() > 0 {
			weights += t.weight
		}
	}
	share := float64(limit) * weight / (weights + weight)
	return q.length >= 2*limit || float64(q.TeamLen(team)) >= share
}

// team returns the queue of a team and creates it if necessary. A team that was idle
// starts at the current virtual time, so it gains no credit while idle.
func (q *Queue[T]) team(name string) *teamQueue[T] {
	if t, ok := q.teams[name]; ok {
		if t.len() == 0 {
			t.virtualStart = max(t.virtualStart, q.virtualTime)
		}
		return t
	}
	if q.teams == nil {
		q.teams = map[string]*teamQueue[T]{}
	}
	t := &teamQueue[T]{name: name, virtualStart: q.virtualTime}
	q.teams[name] = t
	q.teamList = append(q.teamList, t)
	return t
}

func (q *Queue[T]) patientDelay() time.Duration {
	if q.PatientDelay > 0 {
		return q.PatientDelay
	}
	return DefaultPatientDelay
}
