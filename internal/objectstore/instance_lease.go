package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"
)

// InstanceLeasePrefix starts the keys of instance leases.
const InstanceLeasePrefix = "instance/"

// InstanceLease is the lease object of an instance and its only periodic write.
type InstanceLease struct {
	ID   string         `json:"id"`
	Zone string         `json:"zone"`
	Peer netip.AddrPort `json:"peer"`
	// Metrics is where the instance serves its metrics.
	Metrics netip.AddrPort `json:"metrics"`
	// Incarnation is unique to one run of the process.
	Incarnation string    `json:"incarnation"`
	StartedAt   time.Time `json:"started_at"`
	// Renewals counts the renewals of this incarnation.
	Renewals uint64 `json:"renewals"`
	// ReleaseInForce is the last release note that the instance applied.
	ReleaseInForce uint64 `json:"release_in_force"`
	// ReleaseConfirmedAgeMS is how long ago the instance last knew that no
	// newer note was accepted; negative when it never did.
	ReleaseConfirmedAgeMS int64    `json:"release_confirmed_age_ms"`
	Leaving               bool     `json:"leaving"`
	Ready                 bool     `json:"ready"`
	Groups                []string `json:"groups,omitempty"`
}

// InstanceLeaseKey returns the key of an instance's lease object.
func InstanceLeaseKey(id string) string { return InstanceLeasePrefix + id }

// Renewer keeps one lease object alive. The object's holder is told apart by
// its incarnation: another's object is overwritten only after it has lapsed.
// Set the exported fields before Run.
type Renewer struct {
	Store Store
	// Key is the lease object's key.
	Key string
	// Holding has the term and margin set.
	Holding Holding
	// Interval is the time between renewals, a third of the term or less.
	Interval time.Duration
	// Value returns the object to write; it must differ from renewal to renewal.
	Value func(renewals uint64) ([]byte, error)
	// Failed hears of renewals that failed; may be nil.
	Failed func(error)
	// Regain is called when a renewal succeeds after the lease had ended, since
	// what hangs on it may be another's by now: it reads that anew. Until it
	// succeeds the lease does not count. May be nil.
	Regain func(ctx context.Context) error
	// Now is the clock; nil is time.Now.
	Now func() time.Time

	// renewing is held for a whole renewal, so that two never overlap.
	renewing sync.Mutex
	mu       sync.Mutex
	version  uint64
	renewals uint64
	// other is what was seen of another incarnation's object under the key.
	other Sighting
}

// Valid reports whether the lease is held now.
func (r *Renewer) Valid() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Holding.Valid(r.now())
}

// Run renews until ctx is done. It leaves the object as it is: see Release.
func (r *Renewer) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		if err := r.Renew(ctx); err != nil && r.Failed != nil && ctx.Err() == nil {
			r.Failed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Renew writes the object once, and waits for a renewal under way. A write whose answer was lost is settled by
// reading back. ErrConflict says that the object is another's: the lease counts
// as lost until a later renewal succeeds.
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
	written, err := r.Store.Put(ctx, r.Key, value, version)
	if ErrConflict.Has(err) || ErrUnavailable.Has(err) {
		written, err = r.settle(ctx, value, err)
	}
	if err != nil {
		return err
	}
	if err := r.regain(ctx, written); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Holding.Renewed(sent)
	return nil
}

// regain notes the version of a renewal that took effect and, if the lease had
// ended before its answer came, has what hangs on it read anew.
func (r *Renewer) regain(ctx context.Context, version uint64) error {
	r.mu.Lock()
	r.version = version
	ended := r.Holding.Ended(r.now())
	r.mu.Unlock()
	if !ended || r.Regain == nil {
		return nil
	}
	return r.Regain(ctx)
}

// settle reads the object back after a write with cause as its outcome, and
// returns the version if the write took effect.
func (r *Renewer) settle(ctx context.Context, value []byte, cause error) (uint64, error) {
	asked := r.now()
	object, err := r.Store.Get(ctx, r.Key)
	switch {
	case ErrNotFound.Has(err):
		r.forget(0)
		return 0, cause
	case err != nil:
		return 0, cause
	case bytes.Equal(object.Value, value):
		return object.Version, nil
	}
	if r.mine(object.Value, value) {
		r.forget(object.Version)
		return 0, cause
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Holding.Lost()
	r.other.See(object.Version, asked, r.now())
	if r.other.Lapsed(r.Holding.Term) {
		r.version = object.Version
	}
	return 0, ErrConflict.New("%s is held by another incarnation", r.Key)
}

// forget sets the version from which the next renewal starts.
func (r *Renewer) forget(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// mine reports whether both values are of the same incarnation.
func (r *Renewer) mine(stored, own []byte) bool {
	var a, b struct {
		Incarnation string `json:"incarnation"`
	}
	if json.Unmarshal(stored, &a) != nil || json.Unmarshal(own, &b) != nil {
		return false
	}
	return a.Incarnation == b.Incarnation
}

// Release deletes the object, as the last act of a graceful shutdown.
func (r *Renewer) Release(ctx context.Context) error {
	r.mu.Lock()
	version := r.version
	r.Holding.Lost()
	r.mu.Unlock()
	return r.Store.Delete(ctx, r.Key, version)
}

func (r *Renewer) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}
