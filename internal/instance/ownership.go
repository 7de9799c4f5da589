package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/target"
)

const (
	groupUpdateBuffer = 16
	planInterval      = 250 * time.Millisecond
	// settleTime is the time after a move before a group may be handed over for
	// balance. By then the leases of the members have been read again.
	settleTime = 3 * time.Second
)

// Ownership manages this instance's target groups: it acquires and hands over
// groups by conditional writes, and runs an owner for each target of the groups
// that it holds. Its replica of a group record, received from the platform or
// from a peer, never returns to a lower fencing number. Set the exported fields
// before Run.
type Ownership struct {
	Zone       string
	Self       Member
	GroupCount int
	Store      objectstore.Store
	Directory  *Directory
	// LeaseValid, Leaving and Ready report the state of this instance.
	LeaseValid func() bool
	Leaving    func() bool
	Ready      func() bool
	// PeersQueried reports whether all live peers of the zone have been queried
	// for their targets recently.
	PeersQueried func() bool
	WatchWait    time.Duration
	// NewOwner returns a new owner for a target of group g.
	NewOwner func(entry objectstore.TargetEntry, g Group, authority func(time.Time) target.Authority) *target.Owner
	// PublishClaims reports groups that this instance acquired to the peers; may
	// be nil.
	PublishClaims func(ctx context.Context, claims []*v1.GroupClaim)
	Log           *zap.Logger

	once   sync.Once
	mu     sync.Mutex
	groups map[string]Group
	synced bool
	// unconfirmed holds the groups whose last write has an unknown outcome: if it
	// took effect, another instance may hold the group.
	unconfirmed map[string]bool
	// movedAt is when each group's fencing number last changed in this replica.
	movedAt map[string]time.Time
	// leavingAt is when this instance was first seen to be leaving; zero before.
	leavingAt time.Time
	// owners holds the running owner of each owned target, by target ID.
	owners map[string]*ownedTarget
	// draining holds, by target ID, the owners that only finish their requests.
	draining   map[string][]*ownedTarget
	ownerTasks conc.WaitGroup
	ownerCtx   context.Context
	stopOwners context.CancelFunc
}

// ownedTarget is an owner with the target entry and group it was created for.
type ownedTarget struct {
	*target.Owner
	entry objectstore.TargetEntry
	group Group
}

func (w *Ownership) init() {
	w.once.Do(func() {
		w.groups = map[string]Group{}
		w.owners = map[string]*ownedTarget{}
		w.draining = map[string][]*ownedTarget{}
		w.unconfirmed = map[string]bool{}
		w.movedAt = map[string]time.Time{}
		w.ownerCtx, w.stopOwners = context.WithCancel(context.Background())
	})
}

// Run watches the group records and acquires, hands over and serves groups until
// ctx ends. The owners keep running until Stop.
func (w *Ownership) Run(ctx context.Context) {
	w.init()
	updates := make(chan objectstore.Update, groupUpdateBuffer)
	watcher := &objectstore.Watcher{
		Store:   w.Store,
		Prefix:  groupPrefix + w.Zone + "/",
		Wait:    w.WatchWait,
		Out:     updates,
		OnError: func(err error) { w.Log.Debug("group_watch_failed", zap.Error(err)) },
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { watcher.Run(ctx) })
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			w.applyUpdate(u)
		case <-tick.C:
		}
		w.planAndApply(ctx)
	}
}

// Stop hands over all groups, waits until the owners have finished their
// requests or ctx ends, and stops the owners. Leaving must report true.
func (w *Ownership) Stop(ctx context.Context) {
	w.init()
	w.planAndApply(ctx)
	w.mu.Lock()
	for _, o := range w.owners {
		o.Drain()
	}
	w.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		w.ownerTasks.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	w.stopOwners()
	<-finished
}

// planAndApply writes the planned moves, then starts and drains owners to match
// the groups held.
func (w *Ownership) planAndApply(ctx context.Context) {
	w.confirmWrites(ctx)
	for _, m := range w.plan() {
		w.writeMove(ctx, m)
	}
	w.reconcileOwners()
}

// plan returns the moves to make now. There are none while the lease is not
// valid or before the group records have been read, and none of groups whose last
// write has an unknown outcome: another write would drain their owners again.
func (w *Ownership) plan() []Move {
	if !w.LeaseValid() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return nil
	}
	moves := Plan(PlanInput{
		Self:    w.Self,
		Members: w.eligibleMembers(),
		Groups:  w.zoneGroups(),
		Settled: w.settled,
		Dead:    w.Directory.Dead,
	})
	return slices.DeleteFunc(moves, func(m Move) bool { return w.unconfirmed[m.Group.Name] })
}

// settled reports whether a group has not moved within settleTime, or, while
// this instance is leaving, since it began to leave. The caller holds mu.
func (w *Ownership) settled(group string) bool {
	movedAt := w.movedAt[group]
	if w.Leaving() && w.leavingAt.IsZero() {
		w.leavingAt = time.Now()
	}
	return time.Since(movedAt) >= settleTime || movedAt.Before(w.leavingAt)
}

// eligibleMembers returns the instances of the zone that may hold groups. This
// instance is included according to its current state, because its lease object
// lags behind.
func (w *Ownership) eligibleMembers() []Member {
	var members []Member
	for _, l := range w.Directory.Live(w.Zone) {
		if l.ID != w.Self.ID && l.Ready && !l.Leaving {
			members = append(members, Member{ID: l.ID, Incarnation: l.Incarnation})
		}
	}
	if w.Ready() && !w.Leaving() {
		members = append(members, w.Self)
	}
	return members
}

// zoneGroups returns all groups of the zone, including those without a record.
// The caller holds mu.
func (w *Ownership) zoneGroups() []Group {
	groups := make([]Group, 0, w.GroupCount)
	for i := range w.GroupCount {
		name := groupName(w.Zone, i)
		g, ok := w.groups[name]
		if !ok {
			g = Group{Name: name}
		}
		groups = append(groups, g)
	}
	return groups
}

// authority returns the authority of the holder of a group under a fencing
// number. The lease does not count while the outcome of the group's last write is
// unknown.
func (w *Ownership) authority(name string, fencing uint64) target.Authority {
	w.mu.Lock()
	known, unconfirmed := w.groups[name], w.unconfirmed[name]
	w.mu.Unlock()
	switch {
	case known.FencingNumber > fencing:
		return target.Lost
	case w.LeaseValid() && !unconfirmed:
		return target.Held
	case w.PeersQueried():
		return target.Lapsed
	}
	return target.Unconfirmed
}

// Owner returns the running owner of a target, if this instance owns the target.
func (w *Ownership) Owner(targetID string) (*target.Owner, bool) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.owners[targetID]
	if !ok {
		return nil, false
	}
	return o.Owner, true
}

// Holder returns the ID of the instance that owns a target according to the
// replicated group records.
func (w *Ownership) Holder(targetID string) (string, bool) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	g, ok := w.groups[groupOf(w.Zone, targetID, w.GroupCount)]
	return g.Holder, ok && g.Holder != ""
}

// HeldGroups returns the names of the groups that this instance holds, sorted.
func (w *Ownership) HeldGroups() []string {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	var held []string
	for name, g := range w.groups {
		if g.Holder == w.Self.ID && g.Incarnation == w.Self.Incarnation {
			held = append(held, name)
		}
	}
	slices.Sort(held)
	return held
}
