package admission

import (
	"time"

	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/inflight"
)

const (
	// maxWaiting is the number of waiting requests of a rank from which teams that use up
	// their share are refused.
	maxWaiting = 64
	// sharedTurns is how many turns the most urgent ranks have before the others have one.
	sharedTurns = 8
)

// Line holds the requests that wait at an instance for room at the engines of a service. The
// most urgent go first, and every sharedTurns-th turn is one of the least urgent. Within a
// rank, teams share by weighted fair queueing over tokens. Line is not safe for concurrent
// use; the zero value is ready.
type Line[T any] struct {
	ranks [inflight.Ranks]fairqueue.Queue[T]
	turns int
}

// Push adds a request that arrived at now. It fails if too many of its team wait.
func (l *Line[T]) Push(now time.Time, rank inflight.Rank, item fairqueue.Item[T]) error {
	q := &l.ranks[rank]
	q.MaxItems = maxWaiting
	return q.Push(now, item)
}

// Pop removes and returns the request whose turn it is of those for which ready holds.
func (l *Line[T]) Pop(ready func(fairqueue.Item[T]) bool) (fairqueue.Item[T], bool) {
	shared := l.turns%sharedTurns == sharedTurns-1
	for n := range l.ranks {
		if shared {
			n = len(l.ranks) - 1 - n
		}
		if item, ok := l.ranks[n].PopFunc(ready); ok {
			l.turns++
			return item, true
		}
	}
	return fairqueue.Item[T]{}, false
}

// Remove removes a request; it reports false if it does not wait.
func (l *Line[T]) Remove(rank inflight.Rank, id string) bool {
	_, ok := l.ranks[rank].Remove(id)
	return ok
}

// Len returns the number of requests that wait.
func (l *Line[T]) Len() int { return l.UpTo(inflight.Ranks - 1) }

// UpTo returns the number of requests of a rank and of more urgent ones that wait.
func (l *Line[T]) UpTo(rank inflight.Rank) int {
	count := 0
	for r := range rank + 1 {
		count += l.ranks[r].Len()
	}
	return count
}
