package peer

import (
	"maps"
	"sync"
)

// changes numbers the changes of named states, so that a relay passes on only
// those that the asker does not have. It is safe for concurrent use; the zero
// value is ready for use.
type changes[T any] struct {
	mu      sync.Mutex
	last    uint64
	entries map[string]change[T]
}

type change[T any] struct {
	state  T
	number uint64
}

// take keeps a state that is newer than the one known, and reports whether it
// changes anything. One that is the same but for its age gets no new number.
func (c *changes[T]) take(name string, state T, newer, same func(known, next T) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]change[T]{}
	}
	known, ok := c.entries[name]
	if ok && !newer(known.state, state) {
		return false
	}
	changed := !ok || !same(known.state, state)
	if changed {
		c.last++
		known.number = c.last
	}
	c.entries[name] = change[T]{state: state, number: known.number}
	return changed
}

// after returns the states that changed after a number and that a filter keeps,
// and the last number.
func (c *changes[T]) after(number uint64, keep func(T) bool) ([]T, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []T
	for _, e := range c.entries {
		if e.number > number && keep(e.state) {
			changed = append(changed, e.state)
		}
	}
	return changed, c.last
}

// drop forgets the states that a filter picks.
func (c *changes[T]) drop(picked func(T) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.entries, func(_ string, e change[T]) bool { return picked(e.state) })
}
