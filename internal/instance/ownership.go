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
	groupUpdateRing = 16
	planEvery       = 250 * time.Millisecond
	// settleTime is how long a group stays before it moves for balance: by then
	// the members' leases were read again.
	settleTime = 3 * time.Second
)

// Ownership holds this instance's target groups: it takes and hands over
// groups by conditional writes, and runs an owner for each target of a group
// that it holds. What it has heard of a group, from the platform or from a
// peer, never goes back to a lower fencing number. Exported fields are set
// before Run.
type Ownership struct {
	Zone       string
	Self       Member
	GroupCount int
	Store      objectstore.Store
	Directory  *Directory
	// LeaseValid, Leaving and Ready tell of this instance.
	LeaseValid func() bool
	Leaving    func() bool
	Ready      func() bool
	// AskedPeers reports whether all instances of the zone have been asked just now.
	AskedPeers func() bool
	WatchWait  time.Duration
	// NewOwner makes the owner of a target of a group.
	NewOwner func(entry objectstore.TargetEntry, g Group, authority func(time.Time) target.Authority) *target.Owner
	// Tell spreads word of groups that this instance took.
	Tell func(ctx context.Context, claims []*v1.GroupClaim)
	Log  *zap.Logger

	once   sync.Once
	mu     sync.Mutex
	groups map[string]Group
	synced bool
	// unsettled are the groups whose last write had no answer: another instance
	// may hold them by it.
	unsettled  map[string]bool
	movedAt    map[string]time.Time
	leavingAt  time.Time
	owners     map[string]*ownedTarget
	former     map[string][]*ownedTarget
	ownerTasks conc.WaitGroup
	ownerCtx   context.Context
	stopOwners context.CancelFunc
}

// ownedTarget is an owner with the entry and group that it was made for.
type ownedTarget struct {
	*target.Owner
	entry objectstore.TargetEntry
	group Group
}

func (w *Ownership) init() {
	w.once.Do(func() {
		w.groups = map[string]Group{}
		w.owners = map[string]*ownedTarget{}
		w.former = map[string][]*ownedTarget{}
		w.unsettled = map[string]bool{}
		w.movedAt = map[string]time.Time{}
		w.ownerCtx, w.stopOwners = context.WithCancel(context.Background())
	})
}

// Run follows the groups and acts on them until ctx ends. Owners run on: see Stop.
func (w *Ownership) Run(ctx context.Context) {
	w.init()
	updates := make(chan objectstore.Update, groupUpdateRing)
	watcher := &objectstore.Watcher{
		Store:  w.Store,
		Prefix: groupPrefix + w.Zone + "/",
		Wait:   w.WatchWait,
		Out:    updates,
		Failed: func(err error) { w.Log.Debug("group_watch_failed", zap.Error(err)) },
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { watcher.Run(ctx) })
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			w.observe(u)
		case <-tick.C:
		}
		w.act(ctx)
	}
}

// Stop hands all groups over, waits until the owners have finished what runs,
// or until ctx ends, and stops them.
func (w *Ownership) Stop(ctx context.Context) {
	w.init()
	w.act(ctx)
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

// act plans, writes and starts or drains owners.
func (w *Ownership) act(ctx context.Context) {
	w.settle(ctx)
	for _, m := range w.plan() {
		w.move(ctx, m)
	}
	w.reconcile()
}

func (w *Ownership) plan() []Move {
	if !w.LeaseValid() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return nil
	}
	return Plan(PlanInput{
		Self:    w.Self,
		Members: w.members(),
		Groups:  w.allGroups(),
		Settled: w.settled,
		Dead:    w.Directory.Dead,
	})
}

// settled reports whether a group has not moved within settleTime, or, when this
// instance leaves, since then. The caller holds mu.
func (w *Ownership) settled(group string) bool {
	moved := w.movedAt[group]
	if w.Leaving() && w.leavingAt.IsZero() {
		w.leavingAt = time.Now()
	}
	return time.Since(moved) >= settleTime || moved.Before(w.leavingAt)
}

// members returns the instances that may hold groups; this one by its own
// state, since its lease object lags.
func (w *Ownership) members() []Member {
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

func (w *Ownership) allGroups() []Group {
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

// authority tells how far the holder of a group under a fencing number may go.
func (w *Ownership) authority(name string, fencing uint64) target.Authority {
	w.mu.Lock()
	known, unsettled := w.groups[name], w.unsettled[name]
	w.mu.Unlock()
	switch {
	case known.FencingNumber > fencing:
		return target.Lost
	case w.LeaseValid() && !unsettled:
		return target.Held
	case w.AskedPeers():
		return target.Lapsed
	}
	return target.Unknown
}

// Owner returns the owner of a target, if this instance owns it.
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

// Holder returns the instance that owns a target, as far as is known.
func (w *Ownership) Holder(targetID string) (string, bool) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	g, ok := w.groups[groupOf(w.Zone, targetID, w.GroupCount)]
	return g.Holder, ok && g.Holder != ""
}

// Groups returns the names of the groups that this instance holds, sorted.
func (w *Ownership) Groups() []string {
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
