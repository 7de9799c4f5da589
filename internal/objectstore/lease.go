package objectstore

import "time"

// HeldLease tracks the validity of a lease on the side of its holder. A renewal
// counts from the time it was sent, and the holder treats the lease as ended a
// margin before other instances may take over, so that it stops first even if
// their clocks run slightly faster. All times come from the holder's own
// monotonic clock. The zero value is a lease that is not held.
type HeldLease struct {
	// Term is how long a challenger must see the lease object unchanged before it
	// may take over.
	Term time.Duration
	// Margin is how much earlier than Term the holder stops relying on the lease.
	Margin time.Duration

	expiry time.Time
	// everHeld is set once the lease has been held.
	everHeld bool
}

// Extend records that a renewal sent at sent took effect.
func (h *HeldLease) Extend(sent time.Time) {
	if expiry := sent.Add(h.Term - h.Margin); expiry.After(h.expiry) {
		h.expiry = expiry
		h.everHeld = true
	}
}

// Invalidate records that the lease has passed to another holder or was deleted.
func (h *HeldLease) Invalidate() { h.expiry = time.Time{} }

// Valid reports whether the lease is held at now.
func (h *HeldLease) Valid(now time.Time) bool { return now.Before(h.expiry) }

// Ended reports whether the lease was held before and is not held at now.
func (h *HeldLease) Ended(now time.Time) bool { return h.everHeld && !h.Valid(now) }

// Expiry returns the time at which the lease ends unless it is renewed.
func (h *HeldLease) Expiry() time.Time { return h.expiry }

// LeaseObservation is a challenger's record of a lease object held by another
// instance. The lease has lapsed when two reads return the same version and the
// second was requested at least a full term after the first was received. All
// times come from the challenger's clock, and a period without successful reads is
// no evidence of a lapse. The zero value has seen no read.
type LeaseObservation struct {
	version       uint64
	firstSeen     time.Time
	lastRequested time.Time
}

// Observe records a read that was requested and received at the given times and
// returned the object at version. Version 0 means that the object is absent.
func (o *LeaseObservation) Observe(version uint64, requested, received time.Time) {
	if o.firstSeen.IsZero() || version != o.version {
		*o = LeaseObservation{version: version, firstSeen: received, lastRequested: requested}
		return
	}
	if requested.After(o.lastRequested) {
		o.lastRequested = requested
	}
}

// Version returns the version of the last read; zero if the object was absent or
// has not been read yet.
func (o *LeaseObservation) Version() uint64 { return o.version }

// Lapsed reports whether the object has stayed unchanged for a full term.
func (o *LeaseObservation) Lapsed(term time.Duration) bool {
	return !o.firstSeen.IsZero() && o.lastRequested.Sub(o.firstSeen) >= term
}
