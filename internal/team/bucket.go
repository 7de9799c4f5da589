package team

import "time"

// maxHolds bounds the transfers that a bucket remembers one by one.
const maxHolds = 16

// Bucket is one instance's slice of an allowance: a token bucket whose burst
// moves with transfers. Balance never exceeds the burst less what was lent and
// more what was borrowed, and only Settle takes it below zero. Over buckets that
// share a rate and a burst, the sum of the balances never exceeds what one
// bucket with the whole rate and burst would hold after the same admissions.
type Bucket struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst   float64
	Balance float64
	// Outstanding is what was taken and is not settled yet.
	Outstanding float64

	updated  time.Time
	lent     holds
	borrowed holds
}

// hold is a part of the burst that is elsewhere until a time.
type hold struct {
	tokens float64
	until  time.Time
}

// holds is a short list of holds without allocation.
type holds struct {
	entries [maxHolds]hold
	count   int
	total   float64
}

// add appends a hold. A full list merges it into its last entry, at the time
// that pick chooses.
func (h *holds) add(e hold, pick func(a, b time.Time) time.Time) {
	h.total += e.tokens
	if h.count < maxHolds {
		h.entries[h.count] = e
		h.count++
		return
	}
	last := &h.entries[maxHolds-1]
	last.tokens += e.tokens
	last.until = pick(last.until, e.until)
}

// next returns the index of the earliest hold, or -1.
func (h *holds) next() int {
	first := -1
	for i := range h.count {
		if first < 0 || h.entries[i].until.Before(h.entries[first].until) {
			first = i
		}
	}
	return first
}

func (h *holds) remove(i int) {
	copy(h.entries[i:h.count-1], h.entries[i+1:h.count])
	h.count--
	h.total = 0
	for _, e := range h.entries[:h.count] {
		h.total += e.tokens
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
	return max(0, b.Burst-b.lent.total) + b.borrowed.total
}

// Advance refills the bucket up to now and ends the holds that are over.
func (b *Bucket) Advance(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	for {
		list, i := b.nextHold()
		if i < 0 || list.entries[i].until.After(now) {
			break
		}
		b.refill(list.entries[i].until)
		list.remove(i)
	}
	b.refill(now)
}

// nextHold returns the earliest hold of either list.
func (b *Bucket) nextHold() (*holds, int) {
	i, j := b.lent.next(), b.borrowed.next()
	switch {
	case i < 0:
		return &b.borrowed, j
	case j < 0:
		return &b.lent, i
	case b.borrowed.entries[j].until.Before(b.lent.entries[i].until):
		return &b.borrowed, j
	}
	return &b.lent, i
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.Balance += b.Rate * elapsed.Seconds()
		b.updated = now
	}
	b.Balance = min(b.Balance, b.Limit())
}

// Take deducts tokens if the bucket holds them.
func (b *Bucket) Take(now time.Time, tokens float64) bool {
	b.Advance(now)
	if b.Balance < tokens {
		return false
	}
	b.Balance -= tokens
	b.Outstanding += tokens
	return true
}

// Settle corrects an earlier Take: what was not used comes back up to the
// limit, and what was used beyond it becomes debt.
func (b *Bucket) Settle(now time.Time, reserved, used float64) {
	b.Outstanding = max(0, b.Outstanding-reserved)
	b.Credit(now, reserved-used)
}

// Credit adds tokens up to the limit.
func (b *Bucket) Credit(now time.Time, tokens float64) {
	b.Advance(now)
	b.Balance = min(b.Balance+tokens, b.Limit())
}

// Lend deducts up to tokens for another bucket and returns what it deducted. It
// lends no burst that is itself borrowed, which would be back too late.
func (b *Bucket) Lend(now time.Time, tokens float64) float64 {
	b.Advance(now)
	given := min(tokens, b.Balance, b.Burst-b.lent.total)
	if given <= 0 {
		return 0
	}
	b.Balance -= given
	b.lent.add(hold{tokens: given, until: now.Add(LentTerm)}, later)
	return given
}

// Borrow adds tokens that another bucket lent on a request of askedAt. They are
// dropped when BorrowedTerm has passed since.
func (b *Bucket) Borrow(now, askedAt time.Time, tokens float64) float64 {
	until := askedAt.Add(BorrowedTerm)
	if tokens <= 0 || !until.After(now) {
		return 0
	}
	b.Advance(now)
	b.borrowed.add(hold{tokens: tokens, until: until}, earlier)
	b.Balance += tokens
	return tokens
}

// Resize changes rate and burst. The balance is cut to the new limit and is
// never raised.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.Advance(now)
	b.Rate, b.Burst = rate, burst
	b.Balance = min(b.Balance, b.Limit())
}
