// Package retry bounds how often requests are sent once more, over all instances.
package retry

import "sync"

// Budget bounds the arrivals at each service beyond the first of each request.
// Every instance spends its part of what the fleet may: a part of its own
// requests, and an equal part of what is free. It is safe for concurrent use.
// Set the exported fields before the first use.
type Budget struct {
	// Ratio is the number of repeats that each first request earns.
	Ratio float64
	// Extra is the fleet's repeats within a window beyond those.
	Extra float64
	// Members returns the number of instances that share the budget.
	Members func() int

	mu     sync.Mutex
	levels map[string]float64
}

// safety is the part of the budget that is used, since repeats are counted in
// windows that the instance does not know.
const safety = 0.8

// Sent counts a first request to a service.
func (b *Budget) Sent(service string) { b.add(service, b.Ratio*safety) }

func (b *Budget) add(service string, amount float64) {
	limit := b.limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.level(service, limit)
	b.levels[service] = min(level+amount, limit)
}

func (b *Budget) limit() float64 {
	return max(b.Extra*safety/float64(max(b.Members(), 1)), 1)
}

func (b *Budget) level(service string, limit float64) float64 {
	if b.levels == nil {
		b.levels = map[string]float64{}
	}
	level, ok := b.levels[service]
	if !ok {
		return limit
	}
	return level
}

// Take takes one repeat; it reports false when there is none left.
func (b *Budget) Take(service string) bool {
	limit := b.limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.level(service, limit)
	if level < 1 {
		b.levels[service] = level
		return false
	}
	b.levels[service] = level - 1
	return true
}
