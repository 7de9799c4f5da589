package adapter

import (
	"math"
	"time"
)

// decayed is a sum whose past contributions halve with each half-life.
type decayed struct {
	value float64
	since time.Time
}

func (d *decayed) add(amount float64, now time.Time, halfLife time.Duration) {
	d.value = d.at(now, halfLife) + amount
	if now.After(d.since) {
		d.since = now
	}
}

// at returns the sum as of now; a time before the last change counts as that change's.
func (d *decayed) at(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(d.since)
	if d.value == 0 || elapsed <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-float64(elapsed)/float64(halfLife))
}

// rank orders sums as at does for any one time: all decay alike, so the order
// of two sums never changes between additions.
func (d *decayed) rank(base time.Time, halfLife time.Duration) float64 {
	return math.Log2(d.value) + float64(d.since.Sub(base))/float64(halfLife)
}
