package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/target"
)

// drainGroup stops new work on a group's targets before it is handed over.
func (w *Ownership) drainGroup(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, o := range w.owners {
		if o.group.Name == name {
			w.drain(id, o)
		}
	}
}

// drain moves an owner to those that only finish. The caller holds mu.
func (w *Ownership) drain(id string, o *ownedTarget) {
	o.Drain()
	delete(w.owners, id)
	w.former[id] = append(w.former[id], o)
}

// reconcile makes the running owners fit the groups held and the target list.
func (w *Ownership) reconcile() {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := w.wanted()
	for id, o := range w.owners {
		want, ok := wanted[id]
		if !ok || want.group.FencingNumber != o.group.FencingNumber || want.entry.Address != o.entry.Address {
			w.drain(id, o)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		if _, ok := w.owners[id]; !ok {
			w.start(id, wanted[id])
		}
	}
}

// wanted returns the targets that this instance should own.
func (w *Ownership) wanted() map[string]*ownedTarget {
	wanted := map[string]*ownedTarget{}
	for _, e := range w.Directory.Targets() {
		if e.Zone != w.Zone || e.Kind != objectstore.TargetEngine || e.Leaving {
			continue
		}
		g := w.groups[groupOf(w.Zone, e.ID, w.GroupCount)]
		if g.Holder == w.Self.ID && g.Incarnation == w.Self.Incarnation {
			wanted[e.ID] = &ownedTarget{entry: e, group: g}
		}
	}
	return wanted
}

// start runs an owner. The caller holds mu.
func (w *Ownership) start(id string, o *ownedTarget) {
	name, fencing := o.group.Name, o.group.FencingNumber
	o.Owner = w.NewOwner(o.entry, o.group, func(time.Time) target.Authority { return w.authority(name, fencing) })
	if earlier := w.former[id]; len(earlier) > 0 {
		o.Inherited = true
		o.PreviousInUse = func() ([]adapter.ID, bool) { return w.stillInUse(id, earlier), true }
	}
	w.owners[id] = o
	w.ownerTasks.Go(func() {
		o.Run(w.ownerCtx)
		w.ended(id, o)
	})
}

// ended forgets an owner that has returned.
func (w *Ownership) ended(id string, o *ownedTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := slices.DeleteFunc(w.former[id], func(f *ownedTarget) bool { return f == o })
	if len(left) == 0 {
		delete(w.former, id)
		return
	}
	w.former[id] = left
}

// stillInUse returns the adapters that earlier owners of this instance still use.
func (w *Ownership) stillInUse(id string, earlier []*ownedTarget) []adapter.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var inUse []adapter.ID
	for _, o := range earlier {
		if slices.Contains(w.former[id], o) {
			inUse = append(inUse, o.Snapshot().InUse...)
		}
	}
	return inUse
}

// OwnedState is one target's state as its owner, present or former, sees it.
type OwnedState struct {
	Entry    objectstore.TargetEntry
	Fencing  uint64
	Owned    bool
	Snapshot *target.Snapshot
}

// States returns the targets that this instance owns or still finishes work on,
// sorted by target id.
func (w *Ownership) States() []OwnedState {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]OwnedState, 0, len(w.owners)+len(w.former))
	for _, o := range w.owners {
		states = append(states, OwnedState{Entry: o.entry, Fencing: o.group.FencingNumber, Owned: true, Snapshot: o.Snapshot()})
	}
	for id, earlier := range w.former {
		if _, again := w.owners[id]; !again {
			o := earlier[len(earlier)-1]
			states = append(states, OwnedState{Entry: o.entry, Fencing: o.group.FencingNumber, Snapshot: o.Snapshot()})
		}
	}
	slices.SortFunc(states, func(a, b OwnedState) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return states
}
