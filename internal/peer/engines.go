package peer

import (
	"maps"
	"slices"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/placement"
)

// engineRecord is what the lease holder of an engine published last. Its adapters carry
// the number of their last change in this instance's log, so that a receiver gets those
// that changed and not the list of all.
type engineRecord struct {
	zone                    string
	born                    int64
	fencingNumber, sequence uint64
	models                  []string
	adapters                map[deployment.AdapterName]engineAdapter
	// removed holds the adapters that the engine no longer holds, with the number of
	// their removal.
	removed map[deployment.AdapterName]uint64
	// completeBefore is the number of the last change that receivers cannot follow by
	// changes of adapters: those that have less get the complete lists.
	completeBefore uint64
	// own is set for an engine that this instance itself holds the lease for.
	own bool
}

// engineAdapter is an adapter that is loaded or loading.
type engineAdapter struct {
	version uint64
	readyAt time.Time
	number  uint64
}

// maxRemovedAdapters bounds the removals that an engineRecord remembers.
const maxRemovedAdapters = 64

// engineUpdate is what a lease holder published of an engine, received from it or through
// relays. If partial is set, Residents holds only the adapters that changed, and removed
// those that the engine no longer holds.
type engineUpdate struct {
	placement.EngineState
	zone    string
	own     bool
	partial bool
	removed []deployment.AdapterName
}

// applyEngine applies an update that is newer than what is known, and passes the engine's
// state to the directory.
func (n *Network) applyEngine(u engineUpdate) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	e, ok := n.engines[u.Target]
	if ok && !e.olderThan(u.EngineState) || u.partial && (!ok || !e.sameLease(u.EngineState)) {
		n.mu.Unlock()
		return
	}
	changed := true
	if !ok || !e.sameLease(u.EngineState) || !slices.Equal(e.models, u.Models) {
		e = newEngineRecord(u, n.log.next())
		n.engines[u.Target] = e
	} else {
		changed = e.update(u, n.log.next)
	}
	e.own = u.own
	if changed {
		n.log.engines.touch(u.Target, n.log.last)
	}
	state := e.state(u.Target)
	n.mu.Unlock()
	if changed {
		n.Directory.Update(state)
	}
}

func newEngineRecord(u engineUpdate, number uint64) *engineRecord {
	e := &engineRecord{
		zone: u.zone, born: u.Generation, fencingNumber: u.FencingNumber, sequence: u.Sequence, models: u.Models,
		adapters: map[deployment.AdapterName]engineAdapter{}, removed: map[deployment.AdapterName]uint64{}, completeBefore: number,
	}
	for _, r := range u.Residents {
		e.adapters[r.AdapterName] = engineAdapter{version: r.Version, readyAt: r.ReadyAt, number: number}
	}
	return e
}

// olderThan reports whether a state is newer: states are ordered by the engine's start,
// then by the fencing number of the lease, then by the holder's sequence number.
func (e *engineRecord) olderThan(next placement.EngineState) bool {
	switch {
	case e.born != next.Generation:
		return next.Generation > e.born
	case e.fencingNumber != next.FencingNumber:
		return next.FencingNumber > e.fencingNumber
	}
	return next.Sequence > e.sequence
}

// sameLease reports whether a state is about the same start of the engine and the same
// lease.
func (e *engineRecord) sameLease(s placement.EngineState) bool {
	return e.born == s.Generation && e.fencingNumber == s.FencingNumber
}

// update applies a newer state of the same lease and reports whether adapters changed.
// Remaining load times change by themselves and do not count.
func (e *engineRecord) update(u engineUpdate, nextNumber func() uint64) bool {
	e.sequence = u.Sequence
	changed := false
	listed := map[deployment.AdapterName]bool{}
	for _, r := range u.Residents {
		listed[r.AdapterName] = true
		if known, ok := e.adapters[r.AdapterName]; ok && known.version == r.Version {
			continue
		}
		e.adapters[r.AdapterName] = engineAdapter{version: r.Version, readyAt: r.ReadyAt, number: nextNumber()}
		delete(e.removed, r.AdapterName)
		changed = true
	}
	removed := u.removed
	if !u.partial {
		for name := range e.adapters {
			if !listed[name] {
				removed = append(removed, name)
			}
		}
	}
	for _, name := range removed {
		if _, ok := e.adapters[name]; !ok {
			continue
		}
		delete(e.adapters, name)
		e.removed[name] = nextNumber()
		changed = true
	}
	e.trimRemoved()
	return changed
}

// trimRemoved drops the oldest removals beyond maxRemovedAdapters.
func (e *engineRecord) trimRemoved() {
	for len(e.removed) > maxRemovedAdapters {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.removed)), func(a, b deployment.AdapterName) int {
			return int(int64(e.removed[a]) - int64(e.removed[b]))
		})
		e.completeBefore = max(e.completeBefore, e.removed[oldest])
		delete(e.removed, oldest)
	}
}

// state returns the complete state of the engine.
func (e *engineRecord) state(id deployment.TargetID) placement.EngineState {
	s := placement.EngineState{Target: id, Generation: e.born, FencingNumber: e.fencingNumber, Sequence: e.sequence, Models: e.models}
	for name, a := range e.adapters {
		s.Residents = append(s.Residents, placement.Resident{AdapterName: name, Version: a.version, ReadyAt: a.readyAt})
	}
	return s
}

// changeSince lists what changed on the engine after a number. target is the number of
// the engine's name.
func (e *engineRecord) changeSince(after uint64, target uint32, now time.Time) *v1.EngineChange {
	c := &v1.EngineChange{Target: target, Born: e.born, FencingNumber: e.fencingNumber, Sequence: e.sequence, Zone: e.zone, Complete: after < e.completeBefore}
	if c.Complete {
		c.Models = e.models
	}
	for name, a := range e.adapters {
		if c.Complete || a.number > after {
			c.Adapters = append(c.Adapters, adapterStateMessage(placement.Resident{AdapterName: name, Version: a.version, ReadyAt: a.readyAt}, now))
		}
	}
	if c.Complete {
		return c
	}
	for name, number := range e.removed {
		if number > after {
			c.Removed = append(c.Removed, &v1.AdapterState{Model: name.Model, Adapter: name.Adapter})
		}
	}
	return c
}

// engineUpdateFrom reads a change of an engine. Models are those known if the change is
// partial: a change of models makes the lists complete.
func (n *Network) engineUpdateFrom(c *v1.EngineChange, names []string, now time.Time) engineUpdate {
	u := engineUpdate{zone: c.GetZone(), partial: !c.GetComplete()}
	u.Target, u.Generation, u.FencingNumber, u.Sequence = deployment.TargetID(names[c.GetTarget()]), c.GetBorn(), c.GetFencingNumber(), c.GetSequence()
	u.Models = c.GetModels()
	if u.partial {
		n.mu.RLock()
		if known, ok := n.engines[u.Target]; ok {
			u.Models = known.models
		}
		n.mu.RUnlock()
	}
	for _, a := range c.GetAdapters() {
		u.Residents = append(u.Residents, residentFrom(a, now))
	}
	for _, a := range c.GetRemoved() {
		u.removed = append(u.removed, adapterName(a))
	}
	return u
}

// refreshOwnEngines logs what has changed of the engines that this instance holds the
// lease for.
func (n *Network) refreshOwnEngines() {
	for _, e := range n.Holder.States() {
		n.applyEngine(engineUpdate{EngineState: e, zone: n.Self.Zone, own: true})
	}
}
