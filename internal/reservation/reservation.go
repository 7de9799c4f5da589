// Package reservation bounds the time in which room is left to callers that were refused.
package reservation

import "time"

const (
	// Longest is the longest time of a reservation: callers come back sooner than a long
	// Retry-After says.
	Longest = 4 * time.Second
	// Interval is the least time between the beginnings of two reservations: callers that
	// are refused all the time leave new requests their part.
	Interval = 16 * time.Second
)

// Reservation is in force from the refusal of a caller until it is due back, for Longest at
// most, and begins once every Interval. The zero value is not in force.
type Reservation struct{ from, until time.Time }

// Extend has the reservation be in force until a caller that is refused now is back after
// wait, within the bounds.
func (r *Reservation) Extend(now time.Time, wait time.Duration) {
	if r.Over(now) {
		r.from, r.until = now, now
	}
	until := now.Add(wait)
	if latest := r.from.Add(Longest); until.After(latest) {
		until = latest
	}
	if until.After(r.until) {
		r.until = until
	}
}

// InForce reports whether room is to be left.
func (r *Reservation) InForce(now time.Time) bool { return now.Before(r.until) }

// Over reports whether another reservation may begin.
func (r *Reservation) Over(now time.Time) bool { return now.Sub(r.from) >= Interval }
