package team

import "time"

// maxAdjustments is the number of unexpired transfers in each direction that a
// bucket tracks individually.
const maxAdjustments = 16

// Bucket is one instance's slice of an allowance: a token bucket whose burst is
// adjusted for a limited time by transfers. Balance never exceeds the burst,
// less what was granted to other buckets, plus what was received from them.
// Only Settle makes it negative. Over buckets that share a rate and a burst,
// the sum of the balances never exceeds what one bucket with the whole rate and
// burst would hold after the same admissions.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst   float64
	Balance float64
	// Outstanding is the sum of the tokens taken and not settled yet.
	Outstanding float64

	updated  time.Time
	granted  adjustments
	received adjustments
}

// adjustment is an amount by which the burst is lowered (granted) or raised
// (received) until it expires.
type adjustment struct {
	tokens  float64
	expires time.Time
}

// adjustments is a short list of adjustments that needs no allocation.
type adjustments struct {
	entries [maxAdjustments]adjustment
	count   int
	total   float64
}

// add appends an adjustment. If the list is full it is merged into the last
// entry, and mergeExpiry chooses which of the two expiry times applies.
func (a *adjustments) add(entry adjustment, mergeExpiry func(a, b time.Time) time.Time) {
	a.total += entry.tokens
	if a.count < maxAdjustments {
		a.entries[a.count] = entry
		a.count++
		return
	}
	last := &a.entries[maxAdjustments-1]
	last.tokens += entry.tokens
	last.expires = mergeExpiry(last.expires, entry.expires)
}

// earliest returns the index of the adjustment that expires first, or -1.
func (a *adjustments) earliest() int {
	earliest := -1
	for i := range a.count {
		if earliest < 0 || a.entries[i].expires.Before(a.entries[earliest].expires) {
			earliest = i
		}
	}
	return earliest
}

func (a *adjustments) remove(i int) {
	copy(a.entries[i:a.count-1], a.entries[i+1:a.count])
	a.count--
	a.total = 0
	for _, e := range a.entries[:a.count] {
		a.total += e.tokens
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Limit returns the most that the bucket may hold now.
func (b *Bucket) Limit() float64 {
	return max(0, b.Burst-b.granted.total) + b.received.total
}

// Advance refills the bucket up to now and removes expired adjustments.
func (b *Bucket) Advance(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	for {
		list, i := b.nextAdjustment()
		if i < 0 || list.entries[i].expires.After(now) {
			break
		}
		b.refill(list.entries[i].expires)
		list.remove(i)
	}
	b.refill(now)
}

// nextAdjustment returns the list and the index of the adjustment that expires
// first. The index is -1 if there is none.
func (b *Bucket) nextAdjustment() (*adjustments, int) {
	granted, received := b.granted.earliest(), b.received.earliest()
	switch {
	case granted < 0:
		return &b.received, received
	case received < 0:
		return &b.granted, granted
	case b.received.entries[received].expires.Before(b.granted.entries[granted].expires):
		return &b.received, received
	}
	return &b.granted, granted
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.Balance += b.Rate * elapsed.Seconds()
		b.updated = now
	}
	b.Balance = min(b.Balance, b.Limit())
}

// Take deducts tokens, or returns false if the bucket holds fewer.
func (b *Bucket) Take(now time.Time, tokens float64) bool {
	b.Advance(now)
	if b.Balance < tokens {
		return false
	}
	b.Balance -= tokens
	b.Outstanding += tokens
	return true
}

// Settle ends an earlier Take. Unused tokens are returned up to the limit; use
// beyond the reservation is deducted and may make the balance negative.
func (b *Bucket) Settle(now time.Time, reserved, used float64) {
	b.Outstanding = max(0, b.Outstanding-reserved)
	b.Credit(now, reserved-used)
}

// Credit adds tokens up to the limit.
func (b *Bucket) Credit(now time.Time, tokens float64) {
	b.Advance(now)
	b.Balance = min(b.Balance+tokens, b.Limit())
}

// Grant deducts up to tokens for another bucket and returns how many it
// deducted. It does not grant tokens that this bucket received, since the next
// requester could hold them after the original donor's burst has been restored.
func (b *Bucket) Grant(now time.Time, tokens float64) float64 {
	b.Advance(now)
	granted := min(tokens, b.Balance, b.Burst-b.granted.total)
	if granted <= 0 {
		return 0
	}
	b.Balance -= granted
	b.granted.add(adjustment{tokens: granted, expires: now.Add(GrantedTerm)}, later)
	return granted
}

// Receive adds tokens that another bucket granted for a request sent at
// requestedAt, and returns how many were added. It returns zero if ReceivedTerm
// has passed since the request.
func (b *Bucket) Receive(now, requestedAt time.Time, tokens float64) float64 {
	expires := requestedAt.Add(ReceivedTerm)
	if tokens <= 0 || !expires.After(now) {
		return 0
	}
	b.Advance(now)
	b.received.add(adjustment{tokens: tokens, expires: expires}, earlier)
	b.Balance += tokens
	return tokens
}

// Resize changes rate and burst. The balance is lowered to the new limit if it
// exceeds it, and never raised.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.Advance(now)
	b.Rate, b.Burst = rate, burst
	b.Balance = min(b.Balance, b.Limit())
}
