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

// drainGroup drains the owners of a group's targets before the group is handed
// over, so that they accept no new requests.
func (w *Ownership) drainGroup(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, o := range w.owners {
		if o.group.Name == name {
			w.drain(id, o)
		}
	}
}

// drain lets an owner finish its requests without accepting new ones, and moves
// it to the draining owners. The caller holds mu.
func (w *Ownership) drain(id string, o *ownedTarget) {
	o.Drain()
	delete(w.owners, id)
	w.draining[id] = append(w.draining[id], o)
}

// reconcileOwners starts and drains owners to match the groups held and the
// target list. An owner whose fencing number or target address changed is
// replaced.
func (w *Ownership) reconcileOwners() {
	w.mu.Lock()
	defer w.mu.Unlock()
	desired := w.desiredOwners()
	for id, o := range w.owners {
		d, ok := desired[id]
		if !ok || d.group.FencingNumber != o.group.FencingNumber || d.entry.Address != o.entry.Address {
			w.drain(id, o)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(desired)) {
		if _, ok := w.owners[id]; !ok {
			w.startOwner(id, desired[id])
		}
	}
}

// desiredOwners returns the targets that this instance should own, by ID: the
// engines in its groups that are not leaving. The caller holds mu.
func (w *Ownership) desiredOwners() map[string]*ownedTarget {
	desired := map[string]*ownedTarget{}
	for _, e := range w.Directory.Targets() {
		if e.Zone != w.Zone || e.Kind != objectstore.TargetEngine || e.Leaving {
			continue
		}
		g := w.groups[groupOf(w.Zone, e.ID, w.GroupCount)]
		if g.Holder == w.Self.ID && g.Incarnation == w.Self.Incarnation {
			desired[e.ID] = &ownedTarget{entry: e, group: g}
		}
	}
	return desired
}

// startOwner creates and runs the owner of a target. If earlier owners of this
// instance still drain, the new one gets the adapters in use from them.
// The caller holds mu.
func (w *Ownership) startOwner(id string, o *ownedTarget) {
	name, fencing := o.group.Name, o.group.FencingNumber
	o.Owner = w.NewOwner(o.entry, o.group, func(time.Time) target.Authority { return w.authority(name, fencing) })
	if drainingOwners := w.draining[id]; len(drainingOwners) > 0 {
		o.Inherited = true
		o.PreviousInUse = func() ([]adapter.ID, bool) { return w.drainingInUse(id, drainingOwners), true }
	}
	w.owners[id] = o
	w.ownerTasks.Go(func() {
		o.Run(w.ownerCtx)
		w.removeDrained(id, o)
	})
}

// removeDrained deletes an owner from draining after its Run has returned.
func (w *Ownership) removeDrained(id string, o *ownedTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := slices.DeleteFunc(w.draining[id], func(other *ownedTarget) bool { return other == o })
	if len(remaining) == 0 {
		delete(w.draining, id)
		return
	}
	w.draining[id] = remaining
}

// drainingInUse returns the adapters in use by those of the given owners that
// still drain.
func (w *Ownership) drainingInUse(id string, owners []*ownedTarget) []adapter.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var inUse []adapter.ID
	for _, o := range owners {
		if slices.Contains(w.draining[id], o) {
			inUse = append(inUse, o.Snapshot().InUse...)
		}
	}
	return inUse
}

// OwnedState is the state of a target that this instance owns, or that it
// previously owned and still finishes requests on.
type OwnedState struct {
	Entry         objectstore.TargetEntry
	FencingNumber uint64
	// Owned is false if only a draining owner is left.
	Owned    bool
	Snapshot *target.Snapshot
}

// States returns the states of the targets that this instance owns or still
// drains, sorted by target ID.
func (w *Ownership) States() []OwnedState {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]OwnedState, 0, len(w.owners)+len(w.draining))
	for _, o := range w.owners {
		states = append(states, OwnedState{Entry: o.entry, FencingNumber: o.group.FencingNumber, Owned: true, Snapshot: o.Snapshot()})
	}
	for id, drainingOwners := range w.draining {
		if _, owned := w.owners[id]; !owned {
			o := drainingOwners[len(drainingOwners)-1]
			states = append(states, OwnedState{Entry: o.entry, FencingNumber: o.group.FencingNumber, Snapshot: o.Snapshot()})
		}
	}
	slices.SortFunc(states, func(a, b OwnedState) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return states
}
