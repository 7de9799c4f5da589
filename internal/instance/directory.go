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

// Directory knows the other instances by their lease objects, and the
// platform's lists of instances and targets. While the platform is away it
// keeps what it knew: an instance counts as dead only after its lease was seen
// unchanged for a whole term. Exported fields are set before Run.
type Directory struct {
	Store objectstore.Store
	// Term is the lease term.
	Term time.Duration
	// Every is the time between two listings.
	Every time.Duration
	Log   *zap.Logger

	mu        sync.Mutex
	instances map[string]*sighted
	listed    map[string]objectstore.InstanceState
	targets   []objectstore.TargetEntry
	heardAt   time.Time
	loaded    bool
}

type sighted struct {
	lease    objectstore.InstanceLease
	sighting objectstore.Sighting
	present  bool
	// released says that the lease was seen and then given back.
	released bool
}

// Run lists until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for {
		if err := d.Refresh(ctx); err != nil && ctx.Err() == nil {
			d.Log.Warn("directory_stale", zap.Error(err))
		}
		if !sleep(ctx, d.Every) {
			return
		}
	}
}

// Refresh lists once. On an error what was known stays.
func (d *Directory) Refresh(ctx context.Context) error {
	asked := time.Now()
	listing, err := d.Store.List(ctx, objectstore.InstanceLeasePrefix)
	if err != nil {
		return err
	}
	d.see(listing, asked, time.Now())
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
	d.heardAt = asked
	return nil
}

func (d *Directory) see(listing objectstore.Listing, asked, received time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil {
		d.instances = map[string]*sighted{}
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
			s = &sighted{}
			d.instances[lease.ID] = s
		}
		s.lease = lease
		s.present = true
		s.released = false
		s.sighting.See(object.Version, asked, received)
	}
	for id, s := range d.instances {
		if !present[id] {
			s.released = s.released || s.present
			s.present = false
			s.sighting.See(0, asked, received)
		}
	}
}

// Live returns the instances that hold their lease, of one zone or of all when
// zone is empty, sorted by id.
func (d *Directory) Live(zone string) []objectstore.InstanceLease {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []objectstore.InstanceLease
	for _, s := range d.instances {
		if s.present && !s.sighting.Lapsed(d.Term) && (zone == "" || s.lease.Zone == zone) {
			live = append(live, s.lease)
		}
	}
	slices.SortFunc(live, func(a, b objectstore.InstanceLease) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Dead reports whether an incarnation of an instance can hold nothing any more:
// its lease has lapsed, was given back, or belongs to a later incarnation.
func (d *Directory) Dead(id, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.instances[id]
	switch {
	case !ok:
		d.expect(id, incarnation)
		return false
	case s.lease.Incarnation != incarnation:
		return true
	}
	return s.released || s.sighting.Lapsed(d.Term)
}

// expect starts the term of an instance whose lease was never seen: the listing
// may be older than its lease. The caller holds mu.
func (d *Directory) expect(id, incarnation string) {
	if !d.loaded {
		return
	}
	s := &sighted{lease: objectstore.InstanceLease{ID: id, Incarnation: incarnation}}
	s.sighting.See(0, d.heardAt, d.heardAt)
	d.instances[id] = s
}

// Released reports whether an instance gave its lease back, which it does only
// when all its requests are finished.
func (d *Directory) Released(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.instances[id]
	return ok && s.released
}

// Gone reports whether an instance's lease has lapsed and the platform's list
// does not name it any more, as live or as leaving.
func (d *Directory) Gone(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, listed := d.listed[id]; listed || !d.loaded {
		return false
	}
	s, ok := d.instances[id]
	return ok && s.sighting.Lapsed(d.Term)
}

// Address returns where an instance's peers reach it.
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

// Loaded reports whether the platform has answered since the start.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// sleep waits and reports whether ctx still goes on.
func sleep(ctx context.Context, d time.Duration) bool { return wait.Sleep(ctx, d) == nil }
