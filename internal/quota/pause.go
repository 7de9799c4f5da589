package quota

import "time"

const (
	// pauseLimit is the longest time between two calls of Tick in which the instance counts
	// as running.
	pauseLimit = time.Second
	// settleTime is how long after a time in which an instance heard of no other the reports
	// about that time arrive.
	settleTime = 2 * time.Second
)

// Tick keeps the meter informed that the instance runs, and of the instances that it hears
// of. It is to be called at intervals well below pauseLimit.
func (m *Meter) Tick() {
	fraction, members := m.ReachableFraction(), m.members()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, b := range m.buckets {
		m.refill(b, now, fraction, members)
	}
	m.lastTickAt = now
}

// now returns the time, after it has accounted for a time in which the instance stood still.
// The others may have used the allowance since each bucket was last refilled, of which they
// report later; until then as little of it is available as to an instance that has just started.
// The caller holds the lock.
func (m *Meter) now() time.Time {
	now := m.Now()
	pause := now.Sub(m.lastTickAt)
	if m.lastTickAt.IsZero() || pause <= pauseLimit {
		return now
	}
	for _, b := range m.buckets {
		b.forgo(max(now.Sub(b.refilledAt).Seconds(), 0)*b.rate, now)
		b.level, b.refilledAt = min(b.level, b.depth*initialFraction), now
	}
	m.lastTickAt = now
	return now
}

// refill refills a bucket. While this instance hears of no other, it leaves them their part.
// The caller holds the lock.
func (m *Meter) refill(b *bucket, now time.Time, fraction float64, members int) {
	if members == 1 && fraction < 1 {
		b.forgo(max(now.Sub(b.refilledAt).Seconds(), 0)*b.rate*(1-fraction), now)
	}
	b.refill(now, fraction, members)
}

// forgo records an allowance that this instance left to others until now.
func (b *bucket) forgo(amount float64, now time.Time) {
	b.forgone, b.settledAt = b.forgone+amount, now.Add(settleTime)
}

// charge deducts what others report to have admitted: first from what was left to them.
func (b *bucket) charge(amount float64, now time.Time) {
	if !now.Before(b.settledAt) {
		b.forgone = 0
	}
	covered := min(max(amount, 0), b.forgone)
	b.forgone -= covered
	b.level -= amount - covered
}
