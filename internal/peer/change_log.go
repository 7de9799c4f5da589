package peer

import (
	"container/list"
	"iter"
	"maps"
	"sync"
)

// changeLog keeps the latest state under each name, with the number of the
// change that set it, so that a relay can send a requester only the states that
// it does not have yet. It is safe for concurrent use; the zero value is ready
// for use.
type changeLog[T any] struct {
	mu      sync.Mutex
	last    uint64
	entries map[string]changeEntry[T]
}

// changeEntry is a state and the number of its last change.
type changeEntry[T any] struct {
	state  T
	number uint64
}

// apply stores a state if it is newer than the current one of that name, and
// reports whether it differs from it. A newer state that is the same replaces
// the current one under the old number.
func (c *changeLog[T]) apply(name string, state T, newer, same func(known, next T) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]changeEntry[T]{}
	}
	current, ok := c.entries[name]
	if ok && !newer(current.state, state) {
		return false
	}
	changed := !ok || !same(current.state, state)
	if changed {
		c.last++
		current.number = c.last
	}
	c.entries[name] = changeEntry[T]{state: state, number: current.number}
	return changed
}

// since returns the states that satisfy include and whose change number is
// higher than number, and the number of the last change.
func (c *changeLog[T]) since(number uint64, include func(T) bool) ([]T, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []T
	for _, e := range c.entries {
		if e.number > number && include(e.state) {
			changed = append(changed, e.state)
		}
	}
	return changed, c.last
}

// removeFunc deletes the states that satisfy match.
func (c *changeLog[T]) removeFunc(match func(T) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.entries, func(_ string, e changeEntry[T]) bool { return match(e.state) })
}

// changeOrder keeps keys in the order of their last changes, so that listing the
// latest changes costs as much as there are of them, not as many as there are keys.
// It is not safe for concurrent use; the zero value is ready for use.
type changeOrder[K comparable] struct {
	order    list.List
	elements map[K]*list.Element
}

// orderedChange is a key and the number of its last change.
type orderedChange[K comparable] struct {
	key    K
	number uint64
}

// touch records that a key changed with a number, which is the highest so far.
func (c *changeOrder[K]) touch(key K, number uint64) {
	if c.elements == nil {
		c.elements = map[K]*list.Element{}
	}
	if e, ok := c.elements[key]; ok {
		e.Value = orderedChange[K]{key: key, number: number}
		c.order.MoveToBack(e)
		return
	}
	c.elements[key] = c.order.PushBack(orderedChange[K]{key: key, number: number})
}

// remove forgets a key.
func (c *changeOrder[K]) remove(key K) {
	if e, ok := c.elements[key]; ok {
		c.order.Remove(e)
		delete(c.elements, key)
	}
}

// since returns the keys whose last change has a higher number, the latest first.
func (c *changeOrder[K]) since(number uint64) iter.Seq[K] {
	return func(yield func(K) bool) {
		for e := c.order.Back(); e != nil; e = e.Prev() {
			change := e.Value.(orderedChange[K])
			if change.number <= number || !yield(change.key) {
				return
			}
		}
	}
}
