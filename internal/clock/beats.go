package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two beats, suspensionGap that from which on the
	// process was suspended between them.
	beatInterval  = 250 * time.Millisecond
	suspensionGap = 2 * time.Second
)

// Beats notices suspensions of the process by the gaps between regular beats. It is safe for
// concurrent use. Set Now before the first beat.
type Beats struct {
	Now func() time.Time

	mu sync.Mutex
	// lastAt is the time of the last beat, wokeAt that of the first one after a suspension.
	lastAt, wokeAt time.Time
}

// Run beats until ctx ends.
func (b *Beats) Run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for b.Beat(); ctx.Err() == nil; b.Beat() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Beat records that the process runs.
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
