package clock

import (
	"sync"
	"time"
)

// suspensionGap is the time between two beats from which on the process was suspended.
const suspensionGap = 2 * time.Second

// Beats notices suspensions of the process by the gaps between regular beats. It is safe for
// concurrent use. Set Now before the first beat, which is that of the start.
type Beats struct {
	Now func() time.Time

	mu sync.Mutex
	// lastAt is the time of the last beat, wokeAt that of the first one after a suspension.
	lastAt, wokeAt time.Time
}

// Beat is called at the start and regularly while the process runs.
func (b *Beats) Beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	if b.gap(now) {
		b.wokeAt = now
	}
	b.lastAt = now
}

// WokeWithin reports whether the process was suspended until less than d ago.
func (b *Beats) WokeWithin(d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	return b.gap(now) || !b.wokeAt.IsZero() && now.Sub(b.wokeAt) < d
}

// gap reports whether the process was suspended since the last beat. The caller holds the lock.
func (b *Beats) gap(now time.Time) bool {
	return !b.lastAt.IsZero() && now.Sub(b.lastAt) > suspensionGap
}
