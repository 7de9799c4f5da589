package team_test

import (
	"time"

	"heatherrelay/internal/team"
)

// roundingTolerance is the relative error allowed in sums of floating-point
// slices.
const roundingTolerance = 1e-6

// oracle is one exact token bucket for the whole fleet that is charged with all
// admissions in order. While a release is being rolled out, and for GrantedTerm
// after that, the larger of the rates and bursts applies. A team starts with
// the largest burst accepted before the release that added it was in force
// everywhere.
type oracle struct {
	rate, burst, balance float64
	updated              time.Time
	// addedRelease is the release that added the team.
	addedRelease uint64
	// initialBurst is the burst that the team started with.
	initialBurst float64
}

// raiseInitialBurst applies a larger burst that was accepted before the release
// that added the team was in force everywhere.
func (o *oracle) raiseInitialBurst(burst float64) {
	if burst > o.initialBurst {
		o.balance += burst - o.initialBurst
		o.initialBurst = burst
	}
}

func (o *oracle) advance(now time.Time) {
	o.balance = min(o.burst, o.balance+o.rate*now.Sub(o.updated).Seconds())
	o.updated = now
}

func (o *oracle) setLimits(now time.Time, rate, burst float64) {
	o.advance(now)
	o.rate, o.burst = rate, burst
	o.balance = min(o.balance, burst)
}

// take deducts tokens and returns by how many the bucket is overdrawn.
func (o *oracle) take(now time.Time, tokens float64) float64 {
	o.advance(now)
	o.balance -= tokens
	return max(0, -o.balance-roundingTolerance*o.burst)
}

func (o *oracle) refund(now time.Time, tokens float64) {
	o.advance(now)
	o.balance = min(o.burst, o.balance+tokens)
}

// maxRateAndBurst returns the largest rate and burst of an allowance in the
// releases first to last.
func maxRateAndBurst(releases [][]team.Rate, first, last uint64, name string) (rate, burst float64) {
	for _, rates := range releases[first : last+1] {
		for _, r := range rates {
			if r.Name == name {
				rate, burst = max(rate, r.TokensPerSecond), max(burst, r.BurstTokens)
			}
		}
	}
	return rate, burst
}
