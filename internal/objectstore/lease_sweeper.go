package objectstore

import (
	"cmp"
	"context"
	"strings"
	"time"
)

// Defaults of a lease sweeper.
const (
	DefaultSweepInterval = time.Minute
	DefaultMinUnchanged  = 2 * time.Minute
)

// LeaseSweeper deletes the leases of instances that ended without releasing them.
// A lease is deleted when it has stayed unchanged for MinUnchanged and its
// instance is missing from the platform's list; an instance that is partitioned
// from the store is still listed. The deletion is conditional on the version, so
// a renewal that comes first wins. Set the exported fields before Run.
type LeaseSweeper struct {
	Store Store
	// Interval is the time between sweeps; zero means DefaultSweepInterval.
	Interval time.Duration
	// MinUnchanged is how long a lease must stay unchanged before it is deleted;
	// zero means DefaultMinUnchanged. It should be several lease terms.
	MinUnchanged time.Duration
	// OnDeleted is called with the id of each instance whose lease was deleted; may
	// be nil.
	OnDeleted func(id string)
	// OnError is called with the error of each failed sweep; may be nil.
	OnError func(error)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	observed map[string]*LeaseObservation
}

// Run sweeps at each interval until ctx is done.
func (w *LeaseSweeper) Run(ctx context.Context) {
	ticker := time.NewTicker(cmp.Or(w.Interval, DefaultSweepInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := w.Sweep(ctx); err != nil && w.OnError != nil && ctx.Err() == nil {
			w.OnError(err)
		}
	}
}

// Sweep lists the leases once and deletes those that have lapsed and whose
// instances are not listed.
func (w *LeaseSweeper) Sweep(ctx context.Context) error {
	entries, err := w.Store.Instances(ctx)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
	}
	requested := w.now()
	listing, err := w.Store.List(ctx, InstanceLeasePrefix)
	if err != nil {
		return err
	}
	w.observe(listing, requested)
	for _, o := range listing.Objects {
		id := strings.TrimPrefix(o.Key, InstanceLeasePrefix)
		if listed[id] || !w.observed[o.Key].Lapsed(cmp.Or(w.MinUnchanged, DefaultMinUnchanged)) {
			continue
		}
		if err := w.remove(ctx, id, o); err != nil {
			return err
		}
	}
	return nil
}

// observe records the versions of a listing and drops the records of leases that
// no longer exist.
func (w *LeaseSweeper) observe(listing Listing, requested time.Time) {
	observed := map[string]*LeaseObservation{}
	for _, o := range listing.Objects {
		observation := w.observed[o.Key]
		if observation == nil {
			observation = &LeaseObservation{}
		}
		observation.Observe(o.Version, requested, w.now())
		observed[o.Key] = observation
	}
	w.observed = observed
}

// remove deletes a lease unless it was renewed or removed in the meantime.
func (w *LeaseSweeper) remove(ctx context.Context, id string, o Object) error {
	err := w.Store.Delete(ctx, o.Key, o.Version)
	if ErrConflict.Has(err) || ErrNotFound.Has(err) {
		return nil
	}
	if err == nil && w.OnDeleted != nil {
		w.OnDeleted(id)
	}
	return err
}

func (w *LeaseSweeper) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}
