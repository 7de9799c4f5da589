package team_test

import (
	"time"

	"heatherrelay/internal/team"
)

// rounding is the relative error that sums of floating-point slices may have.
const rounding = 1e-6

// oracle is one exact token bucket for the whole fleet, fed with all admissions
// in their real order. While a release is on its way, and for LentTerm after,
// the larger of the rates and bursts counts. A team starts with the largest
// burst that was accepted before the release that added it was in force
// everywhere.
type oracle struct {
	rate, burst, balance float64
	updated              time.Time
	added                uint64
	first                float64
}

// raise takes a burst that was accepted while the team is still new.
func (o *oracle) raise(burst float64) {
	if burst > o.first {
		o.balance += burst - o.first
		o.first = burst
	}
}

func (o *oracle) advance(now time.Time) {
	o.balance = min(o.burst, o.balance+o.rate*now.Sub(o.updated).Seconds())
	o.updated = now
}

func (o *oracle) set(now time.Time, rate, burst float64) {
	o.advance(now)
	o.rate, o.burst = rate, burst
	o.balance = min(o.balance, burst)
}

// take deducts tokens and returns by how many the bucket is overdrawn.
func (o *oracle) take(now time.Time, tokens float64) float64 {
	o.advance(now)
	o.balance -= tokens
	return max(0, -o.balance-rounding*o.burst)
}

func (o *oracle) refund(now time.Time, tokens float64) {
	o.advance(now)
	o.balance = min(o.burst, o.balance+tokens)
}

// envelope returns the largest rate and burst that releases first to last give
// an allowance.
func envelope(releases [][]team.Rate, first, last uint64, name string) (rate, burst float64) {
	for _, rates := range releases[first : last+1] {
		for _, r := range rates {
			if r.Name == name {
				rate, burst = max(rate, r.TokensPerSecond), max(burst, r.BurstTokens)
			}
		}
	}
	return rate, burst
}
