package instance

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/wait"
)

// Directory keeps the instance leases and the platform's lists of instances and
// targets as last read. While the platform is unavailable it keeps the last
// state: an instance counts as dead only after its lease has been observed
// unchanged for a full term. Set the exported fields before Run.
type Directory struct {
	Store objectstore.Store
	// Term is the lease term.
	Term time.Duration
	// Interval is the time between two refreshes.
	Interval time.Duration
	Log      *zap.Logger

	mu sync.Mutex
	// instances holds every instance observed since the start, by ID.
	instances        map[string]*knownInstance
	listed           map[string]objectstore.InstanceState
	targets          []objectstore.TargetEntry
	refreshStartedAt time.Time
	loaded           bool
}

// knownInstance is the last observed lease of an instance.
type knownInstance struct {
	lease       objectstore.InstanceLease
	observation objectstore.LeaseObservation
	// present is set while the last listing contained the lease.
	present bool
	// released is set when a lease that was present is no longer listed.
	released bool
}

// Run refreshes the directory at each interval until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for {
		if err := d.Refresh(ctx); err != nil && ctx.Err() == nil {
			d.Log.Warn("directory_stale", zap.Error(err))
		}
		if !sleep(ctx, d.Interval) {
			return
		}
	}
}

// Refresh reads the leases and the platform's lists once. If a call fails, the
// data that it would have replaced is kept.
func (d *Directory) Refresh(ctx context.Context) error {
	requestedAt := time.Now()
	listing, err := d.Store.List(ctx, objectstore.InstanceLeasePrefix)
	if err != nil {
		return err
	}
	d.observeLeases(listing, requestedAt, time.Now())
	entries, err := d.Store.Instances(ctx)
	if err != nil {
		return err
	}
	targets, err := d.Store.Targets(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = make(map[string]objectstore.InstanceState, len(entries))
	for _, e := range entries {
		d.listed[e.ID] = e.State
	}
	d.targets = targets
	d.loaded = true
	d.refreshStartedAt = requestedAt
	return nil
}

// observeLeases applies a listing of the lease objects that was requested and
// received at the given times. Leases that cannot be parsed are logged and skipped.
func (d *Directory) observeLeases(listing objectstore.Listing, requestedAt, receivedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil {
		d.instances = map[string]*knownInstance{}
	}
	present := map[string]bool{}
	for _, object := range listing.Objects {
		var lease objectstore.InstanceLease
		if err := json.Unmarshal(object.Value, &lease); err != nil {
			d.Log.Warn("lease_unreadable", zap.String("key", object.Key), zap.Error(err))
			continue
		}
		present[lease.ID] = true
		s, ok := d.instances[lease.ID]
		if !ok {
			s = &knownInstance{}
			d.instances[lease.ID] = s
		}
		s.lease = lease
		s.present = true
		s.released = false
		s.observation.Observe(object.Version, requestedAt, receivedAt)
	}
	for id, s := range d.instances {
		if !present[id] {
			s.released = s.released || s.present
			s.present = false
			s.observation.Observe(0, requestedAt, receivedAt)
		}
	}
}

// Live returns the instances whose lease exists and has not lapsed, sorted by
// ID. An empty zone selects the instances of all zones.
func (d *Directory) Live(zone string) []objectstore.InstanceLease {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []objectstore.InstanceLease
	for _, s := range d.instances {
		if s.present && !s.observation.Lapsed(d.Term) && (zone == "" || s.lease.Zone == zone) {
			live = append(live, s.lease)
		}
	}
	slices.SortFunc(live, func(a, b objectstore.InstanceLease) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Dead reports whether an incarnation of an instance can no longer hold groups:
// its lease has lapsed, was released, or belongs to another incarnation.
func (d *Directory) Dead(id, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.instances[id]
	switch {
	case !ok:
		d.trackUnseen(id, incarnation)
		return false
	case s.lease.Incarnation != incarnation:
		return true
	}
	return s.released || s.observation.Lapsed(d.Term)
}

// trackUnseen starts the lease term of an instance whose lease has never been
// listed. It does not count as dead at once, because its lease may be newer than
// the last listing. The caller holds mu.
func (d *Directory) trackUnseen(id, incarnation string) {
	if !d.loaded {
		return
	}
	s := &knownInstance{lease: objectstore.InstanceLease{ID: id, Incarnation: incarnation}}
	s.observation.Observe(0, d.refreshStartedAt, d.refreshStartedAt)
	d.instances[id] = s
}

// Released reports whether the lease of an instance was listed before and no
// longer is. An instance deletes its lease at the end of its shutdown, when no
// request is left. Other instances delete it once it has lapsed and the platform
// no longer lists the instance.
func (d *Directory) Released(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.instances[id]
	return ok && s.released
}

// Gone reports whether an instance's lease has lapsed and the platform no longer
// lists the instance, neither as live nor as leaving.
func (d *Directory) Gone(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, listed := d.listed[id]; listed || !d.loaded {
		return false
	}
	s, ok := d.instances[id]
	return ok && s.observation.Lapsed(d.Term)
}

// Address returns the address on which an instance serves its peers.
func (d *Directory) Address(id string) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.instances[id]
	if !ok {
		return netip.AddrPort{}, false
	}
	return s.lease.Peer, true
}

// Targets returns the platform's list of targets as last read.
func (d *Directory) Targets() []objectstore.TargetEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets
}

// Loaded reports whether a refresh has succeeded since the start.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool { return wait.Sleep(ctx, d) == nil }
