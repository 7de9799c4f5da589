package admission

import (
	"math"
	"sync"
	"time"

	"heatherrelay/internal/inflight"
)

// Shares are the parts of the ranks in a whole; they add up to 1, or to 0 if nothing is known.
type Shares [inflight.Ranks]float64

// UpTo returns the part of a rank and of all that are more urgent; 1 if nothing is known.
func (s *Shares) UpTo(rank inflight.Rank) float64 {
	sum, total := 0.0, 0.0
	for r, share := range s {
		total += share
		if inflight.Rank(r) <= rank {
			sum += share
		}
	}
	if total == 0 {
		return 1
	}
	return sum
}

// Above returns the part of the ranks that are more urgent than rank.
func (s *Shares) Above(rank inflight.Rank) float64 {
	if rank == 0 {
		return 0
	}
	sum := 0.0
	for _, share := range s[:rank] {
		sum += share
	}
	return sum
}

const (
	// demandHalfLife is the time after which what a caller asked for counts half.
	demandHalfLife = 5 * time.Second
	// initialRunTime is assumed until requests have ended; each further one has
	// runTimeWeight in the mean.
	initialRunTime = time.Second
	runTimeWeight  = 0.05
)

// Demand observes what the callers of an instance ask for, and how long their requests run.
// Since callers are spread over the instances, it stands for the fleet. The zero value is
// ready; it is safe for concurrent use.
type Demand struct {
	mu        sync.Mutex
	tokens    Shares
	updatedAt time.Time
	runTime   time.Duration
}

// Record notes a request of a rank.
func (d *Demand) Record(now time.Time, rank inflight.Rank, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if age := now.Sub(d.updatedAt); age > 0 {
		factor := math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
		for r := range d.tokens {
			d.tokens[r] *= factor
		}
		d.updatedAt = now
	}
	d.tokens[rank] += float64(max(tokens, 1))
}

// RecordRun notes how long a request held its slot.
func (d *Demand) RecordRun(held time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runTime == 0 {
		d.runTime = initialRunTime
	}
	d.runTime += time.Duration(runTimeWeight * float64(held-d.runTime))
}

// RunTime returns how long a request holds its slot.
func (d *Demand) RunTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runTime == 0 {
		return initialRunTime
	}
	return d.runTime
}

// Shares returns the parts of the ranks in what was asked for lately.
func (d *Demand) Shares() Shares {
	d.mu.Lock()
	defer d.mu.Unlock()
	shares, total := d.tokens, 0.0
	for _, tokens := range shares {
		total += tokens
	}
	if total == 0 {
		return Shares{}
	}
	for r := range shares {
		shares[r] /= total
	}
	return shares
}
