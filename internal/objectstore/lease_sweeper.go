package objectstore

import (
	"cmp"
	"context"
	"strings"
	"time"
)

// The defaults of a lease sweeper.
const (
	DefaultSweepInterval = time.Minute
	DefaultSweepAfter    = 2 * time.Minute
)

// LeaseSweeper removes the leases of instances that ended without giving them
// back. A lease goes when it has stood unchanged for long and the platform's
// list does not name its instance; an instance that is merely cut off is still
// named. The deletion is conditional, so a renewal that comes first wins. Set
// the exported fields before Run.
type LeaseSweeper struct {
	Store Store
	// Interval is the time between looks; zero is DefaultSweepInterval.
	Interval time.Duration
	// After is how long a lease must stand unchanged; zero is DefaultSweepAfter.
	// It should be several terms.
	After time.Duration
	// Swept hears of each instance whose lease was removed; may be nil.
	Swept func(id string)
	// Failed hears of calls that failed; may be nil.
	Failed func(error)
	// Now is the clock; nil is time.Now.
	Now func() time.Time

	seen map[string]*Sighting
}

// Run sweeps until ctx is done.
func (w *LeaseSweeper) Run(ctx context.Context) {
	ticker := time.NewTicker(cmp.Or(w.Interval, DefaultSweepInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := w.Sweep(ctx); err != nil && w.Failed != nil && ctx.Err() == nil {
			w.Failed(err)
		}
	}
}

// Sweep looks once and removes what has stood unchanged for long enough.
func (w *LeaseSweeper) Sweep(ctx context.Context) error {
	entries, err := w.Store.Instances(ctx)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
	}
	asked := w.now()
	listing, err := w.Store.List(ctx, InstanceLeasePrefix)
	if err != nil {
		return err
	}
	w.see(listing, asked)
	for _, o := range listing.Objects {
		id := strings.TrimPrefix(o.Key, InstanceLeasePrefix)
		if listed[id] || !w.seen[o.Key].Lapsed(cmp.Or(w.After, DefaultSweepAfter)) {
			continue
		}
		if err := w.remove(ctx, id, o); err != nil {
			return err
		}
	}
	return nil
}

// see notes the versions of a listing and forgets leases that are gone.
func (w *LeaseSweeper) see(listing Listing, asked time.Time) {
	seen := map[string]*Sighting{}
	for _, o := range listing.Objects {
		s := w.seen[o.Key]
		if s == nil {
			s = &Sighting{}
		}
		s.See(o.Version, asked, w.now())
		seen[o.Key] = s
	}
	w.seen = seen
}

// remove deletes a lease unless it was renewed or removed meanwhile.
func (w *LeaseSweeper) remove(ctx context.Context, id string, o Object) error {
	err := w.Store.Delete(ctx, o.Key, o.Version)
	if ErrConflict.Has(err) || ErrNotFound.Has(err) {
		return nil
	}
	if err == nil && w.Swept != nil {
		w.Swept(id)
	}
	return err
}

func (w *LeaseSweeper) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}
