package adapter

import (
	"math"
	"time"
)

// decayingSum is an exponentially decaying sum: each past contribution halves
// with every half-life.
type decayingSum struct {
	// value is the sum as of updatedAt.
	value     float64
	updatedAt time.Time
}

// add adds amount to the sum as of now.
func (d *decayingSum) add(amount float64, now time.Time, halfLife time.Duration) {
	d.value = d.valueAt(now, halfLife) + amount
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
}

// valueAt returns the sum as of now. For a time before the last addition it
// returns the undecayed value.
func (d *decayingSum) valueAt(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(d.updatedAt)
	if d.value == 0 || elapsed <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-float64(elapsed)/float64(halfLife))
}

// logValueAt returns the base-2 logarithm of the sum extrapolated to base. All
// sums decay at the same rate, so for a fixed base it orders them as valueAt does
// at any time, and the order of two sums changes only by additions.
func (d *decayingSum) logValueAt(base time.Time, halfLife time.Duration) float64 {
	return math.Log2(d.value) + float64(d.updatedAt.Sub(base))/float64(halfLife)
}
