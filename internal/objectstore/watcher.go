package objectstore

import (
	"context"
	"math/rand/v2"
	"time"
)

// Defaults and limits of a watcher.
const (
	DefaultWatchWait = 20 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 3 * time.Second
)

// Update is sent by a Watcher: either all objects, or the changes since the
// previous update.
type Update struct {
	// Full is set when Objects replaces the whole known state. Otherwise Events
	// holds the changes.
	Full    bool
	Objects []Object
	Events  []Event
	// Version is the store's version after the update.
	Version uint64
	// RequestedAt is the time at which the call was sent; the update is at least
	// this fresh.
	RequestedAt time.Time
	// ReceivedAt is the time at which the response arrived.
	ReceivedAt time.Time
}

// Watcher follows the objects under a prefix: it sends a full listing, then all
// changes without a gap. It starts over with a full listing when the watch history
// was compacted or the platform's version went backwards. Updates without events
// are sent too, as proof of freshness. Set the exported fields before Run.
type Watcher struct {
	Store  Store
	Prefix string
	// Wait is how long one watch call waits; zero means DefaultWatchWait.
	Wait time.Duration
	// Out receives the updates; while it is full, the watcher blocks.
	Out chan<- Update
	// OnError is called with the error of each failed call; may be nil.
	OnError func(error)
}

// Run sends updates until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	if w.Wait == 0 {
		w.Wait = DefaultWatchWait
	}
	var backoff Backoff
	version, synced := uint64(0), false
	for ctx.Err() == nil {
		update, err := w.fetch(ctx, version, synced)
		if err != nil {
			synced = synced && !ErrCompacted.Has(err)
			w.reportError(ctx, err)
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

// fetch returns the next update: a full listing until the watcher is synced, else
// the changes after version.
func (w *Watcher) fetch(ctx context.Context, version uint64, synced bool) (Update, error) {
	requested := time.Now()
	if !synced {
		listing, err := w.Store.List(ctx, w.Prefix)
		return Update{Full: true, Objects: listing.Objects, Version: listing.Version, RequestedAt: requested, ReceivedAt: time.Now()}, err
	}
	changes, err := w.Store.Watch(ctx, w.Prefix, version, w.Wait)
	return Update{Events: changes.Events, Version: changes.Version, RequestedAt: requested, ReceivedAt: time.Now()}, err
}

func (w *Watcher) reportError(ctx context.Context, err error) {
	if w.OnError != nil && ctx.Err() == nil {
		w.OnError(err)
	}
}

// Backoff computes the delay between retries: it doubles from 100 ms up to 3 s,
// and a random jitter shortens each delay by up to half. The zero value is ready
// for use.
type Backoff struct {
	last time.Duration
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + rand.N(b.last/2)
}

// Reset starts over from the shortest delay.
func (b *Backoff) Reset() { b.last = 0 }

// Sleep waits for the next delay or until ctx is done.
func (b *Backoff) Sleep(ctx context.Context) {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
