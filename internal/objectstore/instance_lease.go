package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"
)

// InstanceLeasePrefix is the prefix of the keys of instance leases.
const InstanceLeasePrefix = "instance/"

// InstanceLease is the lease object of an instance. Renewing it is the only
// periodic write of the instance.
type InstanceLease struct {
	ID   string         `json:"id"`
	Zone string         `json:"zone"`
	Peer netip.AddrPort `json:"peer"`
	// Metrics is the address at which the instance serves its metrics.
	Metrics netip.AddrPort `json:"metrics"`
	// Incarnation is unique to one run of the process.
	Incarnation string    `json:"incarnation"`
	StartedAt   time.Time `json:"started_at"`
	// Renewals is the number of renewals by this incarnation.
	Renewals uint64 `json:"renewals"`
	// ReleaseInForce is the number of the last release note that the instance
	// applied.
	ReleaseInForce uint64 `json:"release_in_force"`
	// ReleaseConfirmedAgeMS is the time in milliseconds since the instance last
	// confirmed that there was no newer release note; negative if it never has.
	ReleaseConfirmedAgeMS int64    `json:"release_confirmed_age_ms"`
	Leaving               bool     `json:"leaving"`
	Ready                 bool     `json:"ready"`
	Groups                []string `json:"groups,omitempty"`
}

// InstanceLeaseKey returns the key of an instance's lease object.
func InstanceLeaseKey(id string) string { return InstanceLeasePrefix + id }

// Renewer renews one lease object periodically. The object's holder is identified
// by its incarnation: the object of another incarnation is overwritten only after
// its lease has lapsed. Set the exported fields before Run.
type Renewer struct {
	Store Store
	// Key is the lease object's key.
	Key string
	// Lease is the lease as its holder sees it; its Term and Margin must be set.
	Lease HeldLease
	// Interval is the time between renewals; at most a third of the term.
	Interval time.Duration
	// Value returns the object to write, as JSON with the field incarnation. It
	// must differ between renewals, since a changed version shows challengers
	// that the lease is alive.
	Value func(renewals uint64) ([]byte, error)
	// OnError is called with the error of each failed renewal; may be nil.
	OnError func(error)
	// Resync is called when a renewal succeeds after the lease had ended. Other
	// instances may have taken over state that the lease protects in the meantime,
	// so Resync has to read that state again. The lease is not valid until it
	// returns without an error. May be nil.
	Resync func(ctx context.Context) error
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// renewing is held during a renewal, so that two never overlap.
	renewing sync.Mutex
	mu       sync.Mutex
	version  uint64
	renewals uint64
	// otherHolder tracks the object of another incarnation under the same key.
	otherHolder LeaseObservation
}

// Valid reports whether the lease is held now.
func (r *Renewer) Valid() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Lease.Valid(r.now())
}

// Run renews the lease until ctx is done. It does not delete the object; Release
// does.
func (r *Renewer) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		if err := r.Renew(ctx); err != nil && r.OnError != nil && ctx.Err() == nil {
			r.OnError(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Renew writes the object once, after any renewal in flight has finished. If the
// write conflicts or its outcome is unknown, it reads the object back. If another
// incarnation holds the lease, Renew returns ErrConflict, and the lease is not
// valid here until a later renewal succeeds.
func (r *Renewer) Renew(ctx context.Context) error {
	r.renewing.Lock()
	defer r.renewing.Unlock()
	r.mu.Lock()
	version, renewals := r.version, r.renewals+1
	r.renewals = renewals
	r.mu.Unlock()
	value, err := r.Value(renewals)
	if err != nil {
		return err
	}
	sent := r.now()
	newVersion, err := r.Store.Put(ctx, r.Key, value, version)
	if ErrConflict.Has(err) || ErrUnavailable.Has(err) {
		newVersion, err = r.resolveWrite(ctx, value, err)
	}
	if err != nil {
		return err
	}
	if err := r.applyRenewal(ctx, newVersion); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Lease.Extend(sent)
	return nil
}

// applyRenewal records the version of a renewal that took effect. If the lease has
// ended in the meantime, it also calls Resync.
func (r *Renewer) applyRenewal(ctx context.Context, version uint64) error {
	r.mu.Lock()
	r.version = version
	ended := r.Lease.Ended(r.now())
	r.mu.Unlock()
	if !ended || r.Resync == nil {
		return nil
	}
	return r.Resync(ctx)
}

// resolveWrite reads the object back after a write that failed with putErr, and
// returns the object's version if the write took effect after all. Otherwise it
// returns putErr, or ErrConflict if another incarnation holds the lease; once that
// lease has lapsed, the next renewal overwrites it.
func (r *Renewer) resolveWrite(ctx context.Context, value []byte, putErr error) (uint64, error) {
	requested := r.now()
	object, err := r.Store.Get(ctx, r.Key)
	switch {
	case ErrNotFound.Has(err):
		r.setVersion(0)
		return 0, putErr
	case err != nil:
		return 0, putErr
	case bytes.Equal(object.Value, value):
		return object.Version, nil
	}
	if r.sameIncarnation(object.Value, value) {
		r.setVersion(object.Version)
		return 0, putErr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Lease.Invalidate()
	r.otherHolder.Observe(object.Version, requested, r.now())
	if r.otherHolder.Lapsed(r.Lease.Term) {
		r.version = object.Version
	}
	return 0, ErrConflict.New("%s is held by another incarnation", r.Key)
}

// setVersion sets the version that the next renewal expects in the store.
func (r *Renewer) setVersion(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// sameIncarnation reports whether both values were written by the same
// incarnation.
func (r *Renewer) sameIncarnation(stored, written []byte) bool {
	var a, b struct {
		Incarnation string `json:"incarnation"`
	}
	if json.Unmarshal(stored, &a) != nil || json.Unmarshal(written, &b) != nil {
		return false
	}
	return a.Incarnation == b.Incarnation
}

// Release deletes the object, as the last step of a graceful shutdown.
func (r *Renewer) Release(ctx context.Context) error {
	r.mu.Lock()
	version := r.version
	r.Lease.Invalidate()
	r.mu.Unlock()
	return r.Store.Delete(ctx, r.Key, version)
}

func (r *Renewer) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}
