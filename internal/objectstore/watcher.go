package objectstore

import (
	"context"
	"math/rand/v2"
	"time"
)

// The defaults of a watcher.
const (
	DefaultWatchWait = 20 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 3 * time.Second
)

// Update is what a watcher tells: either all objects, or what changed since the
// update before.
type Update struct {
	// Full says that Objects replaces all that was known.
	Full    bool
	Objects []Object
	Events  []Event
	// Version is the store's version that the update leads to.
	Version uint64
	// Asked is when the answer was asked for: the update is at least as fresh.
	Asked time.Time
	// Received is when the answer came.
	Received time.Time
}

// Watcher follows the objects below a prefix: a full listing, then the changes
// without a gap. After a compaction or a platform that lost versions it starts
// over with a full listing. Updates without events are passed on too, as proof
// of freshness. Set the exported fields before Run.
type Watcher struct {
	Store  Store
	Prefix string
	// Wait is how long one watch call waits; zero is DefaultWatchWait.
	Wait time.Duration
	// Out receives the updates; a full ring holds the watcher back.
	Out chan<- Update
	// Failed hears of calls that failed; may be nil.
	Failed func(error)
}

// Run follows until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	if w.Wait == 0 {
		w.Wait = DefaultWatchWait
	}
	var backoff Backoff
	version, synced := uint64(0), false
	for ctx.Err() == nil {
		update, err := w.next(ctx, version, synced)
		if err != nil {
			synced = synced && !ErrCompacted.Has(err)
			w.fail(ctx, err)
			backoff.Sleep(ctx)
			continue
		}
		backoff.Reset()
		if synced && update.Version < version {
			synced = false
			continue
		}
		version, synced = update.Version, true
		select {
		case w.Out <- update:
		case <-ctx.Done():
		}
	}
}

func (w *Watcher) next(ctx context.Context, version uint64, synced bool) (Update, error) {
	asked := time.Now()
	if !synced {
		listing, err := w.Store.List(ctx, w.Prefix)
		return Update{Full: true, Objects: listing.Objects, Version: listing.Version, Asked: asked, Received: time.Now()}, err
	}
	changes, err := w.Store.Watch(ctx, w.Prefix, version, w.Wait)
	return Update{Events: changes.Events, Version: changes.Version, Asked: asked, Received: time.Now()}, err
}

func (w *Watcher) fail(ctx context.Context, err error) {
	if w.Failed != nil && ctx.Err() == nil {
		w.Failed(err)
	}
}

// Backoff is the pause between failed tries: it doubles up to a bound, with
// random jitter. The zero value is ready for use.
type Backoff struct {
	last time.Duration
}

// Next returns the next pause.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + rand.N(b.last/2)
}

// Reset starts over with short pauses.
func (b *Backoff) Reset() { b.last = 0 }

// Sleep pauses for the next pause or until ctx is done.
func (b *Backoff) Sleep(ctx context.Context) {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
