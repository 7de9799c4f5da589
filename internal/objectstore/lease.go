package objectstore

import "time"

// Holding is a holder's own view of its lease. The lease counts from before the
// renewal was sent, and ends a margin before others may take over, so that the
// holder stops first although clocks run at slightly different speeds. Times
// are the holder's own and monotonic. The zero value holds nothing.
type Holding struct {
	// Term is how long a renewal lasts for those who watch it.
	Term time.Duration
	// Margin is how much earlier the holder stops.
	Margin time.Duration

	until time.Time
	// held says that the lease was held once.
	held bool
}

// Renewed notes that a renewal sent at sent took effect.
func (h *Holding) Renewed(sent time.Time) {
	if until := sent.Add(h.Term - h.Margin); until.After(h.until) {
		h.until = until
		h.held = true
	}
}

// Lost notes that the lease is somebody else's or gone.
func (h *Holding) Lost() { h.until = time.Time{} }

// Valid reports whether the lease is held at now.
func (h *Holding) Valid(now time.Time) bool { return now.Before(h.until) }

// Ended reports whether the lease was held once and is not at now.
func (h *Holding) Ended(now time.Time) bool { return h.held && !h.Valid(now) }

// Until returns when the lease ends unless it is renewed.
func (h *Holding) Until() time.Time { return h.until }

// Sighting is a challenger's view of another's lease object. The lease has
// lapsed when two answers show the same version, and the second was asked for a
// whole term after the first had come. The challenger's clock alone counts, so
// a time without answers proves nothing. The zero value has seen nothing.
type Sighting struct {
	version   uint64
	firstSeen time.Time
	lastAsked time.Time
}

// See notes that an answer asked for at asked and received at received shows
// the object at a version; version 0 means that it is absent.
func (s *Sighting) See(version uint64, asked, received time.Time) {
	if s.firstSeen.IsZero() || version != s.version {
		*s = Sighting{version: version, firstSeen: received, lastAsked: asked}
		return
	}
	if asked.After(s.lastAsked) {
		s.lastAsked = asked
	}
}

// Version returns the version last seen; zero is absent or not seen yet.
func (s *Sighting) Version() uint64 { return s.version }

// Lapsed reports whether the object stood unchanged for a whole term.
func (s *Sighting) Lapsed(term time.Duration) bool {
	return !s.firstSeen.IsZero() && s.lastAsked.Sub(s.firstSeen) >= term
}
