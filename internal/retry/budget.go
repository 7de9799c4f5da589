// Package retry limits how many retries all instances together send to a service.
package retry

import "sync"

// Budget limits the attempts at each service beyond the first of each request.
// The limit applies to all instances together, so each instance spends only its
// part: Ratio for each of its own first attempts, and an equal part of Extra. It
// is safe for concurrent use. Set the exported fields before the first use.
type Budget struct {
	// Ratio is the number of retries that each first attempt earns.
	Ratio float64
	// Extra is the number of retries in a window, over all instances, that need
	// not be earned.
	Extra float64
	// Members returns the number of instances that share the budget.
	Members func() int

	mu       sync.Mutex
	balances map[string]float64
}

// safetyFactor is the part of the budget that is used: the limit applies to time
// windows whose bounds an instance does not know.
const safetyFactor = 0.8

// Deposit credits a service's budget for the first attempt of a request.
func (b *Budget) Deposit(service string) { b.add(service, b.Ratio*safetyFactor) }

// Refund returns a retry that was withdrawn but not sent.
func (b *Budget) Refund(service string) { b.add(service, 1) }

func (b *Budget) add(service string, amount float64) {
	limit := b.limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service, limit)
	b.balances[service] = min(balance+amount, limit)
}

// limit returns the maximum balance: this instance's part of Extra, but at least one
// retry.
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

// TryWithdraw spends one retry at a service. It reports false when none is left.
func (b *Budget) TryWithdraw(service string) bool {
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
