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

	mu       sync.Mutex
	balances map[string]float64
}

// safetyFactor is the part of the budget that is used, since repeats are counted in
// windows that the instance does not know.
const safetyFactor = 0.8

// Sent counts a first request to a service.
func (b *Budget) Sent(service string) { b.add(service, b.Ratio*safetyFactor) }

func (b *Budget) add(service string, amount float64) {
	limit := b.limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service, limit)
	b.balances[service] = min(balance+amount, limit)
}

func (b *Budget) limit() float64 {
	return max(b.Extra*safetyFactor/float64(max(b.Members(), 1)), 1)
}

func (b *Budget) balance(service string, limit float64) float64 {
	if b.balances == nil {
		b.balances = map[string]float64{}
	}
	balance, ok := b.balances[service]
	if !ok {
		return limit
	}
	return balance
}

// Take takes one repeat; it reports false when there is none left.
func (b *Budget) Take(service string) bool {
	limit := b.limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service, limit)
	if balance < 1 {
		b.balances[service] = balance
		return false
	}
	b.balances[service] = balance - 1
	return true
}
