package placement

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// observationTTL is how long what an instance learned of an engine by itself goes
// before what the holder of its orders tells, which may be from before.
const observationTTL = 700 * time.Millisecond

// maxLateness is how long after its expected time a load may still be on its way.
const maxLateness = 250 * time.Millisecond

// engineEntry is what is known of one engine.
type engineEntry struct {
	generation int64
	// adapters are those that the holder of the engine's orders tells of.
	adapters map[deployment.AdapterName]Resident
	models   map[string]bool
	// requested are adapters whose load this instance asked for, absent are those that
	// the engine just said that it lacks. Both go before what the holder tells, for
	// a while from when they were learned.
	requested map[deployment.AdapterName]requestedLoad
	absent    map[deployment.AdapterName]time.Time
	// evicted are adapters that left, with the time at which they did.
	evicted map[deployment.AdapterName]time.Time
}

// requestedLoad is an adapter whose load this instance asked for.
type requestedLoad struct {
	Resident
	requestedAt time.Time
}

// resident returns an adapter that the engine holds or will hold.
func (l *engineEntry) resident(name deployment.AdapterName, now time.Time) (Resident, bool) {
	if at, ok := l.absent[name]; ok && now.Sub(at) <= observationTTL {
		return Resident{}, false
	}
	if r, ok := l.adapters[name]; ok {
		return r, true
	}
	n, ok := l.requested[name]
	return n.Resident, ok && now.Sub(n.requestedAt) <= observationTTL
}

// expire forgets what this instance learned by itself long ago.
func (l *engineEntry) expire(now time.Time) {
	for name, n := range l.requested {
		if now.Sub(n.requestedAt) > observationTTL {
			delete(l.requested, name)
		}
	}
	for name, at := range l.absent {
		if now.Sub(at) > observationTTL {
			delete(l.absent, name)
		}
	}
}

// Directory is an instance's view of which engine holds which adapters. It is
// safe for concurrent use. Set Now before the first use.
type Directory struct {
	Now func() time.Time

	mu      sync.RWMutex
	engines map[deployment.TargetID]*engineEntry
}

func (d *Directory) entry(id deployment.TargetID, generation int64) *engineEntry {
	if d.engines == nil {
		d.engines = map[deployment.TargetID]*engineEntry{}
	}
	l, ok := d.engines[id]
	if !ok || l.generation != generation {
		l = &engineEntry{
			generation: generation,
			adapters:   map[deployment.AdapterName]Resident{},
			models:     map[string]bool{},
			requested:  map[deployment.AdapterName]requestedLoad{},
			absent:     map[deployment.AdapterName]time.Time{},
			evicted:    map[deployment.AdapterName]time.Time{},
		}
		d.engines[id] = l
	}
	return l
}

// Update takes what the holder of an engine's orders tells of it.
func (d *Directory) Update(state EngineState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.engines[state.Target]; ok && l.generation > state.Born {
		return
	}
	l := d.entry(state.Target, state.Born)
	now := d.Now()
	l.expire(now)
	adapters := make(map[deployment.AdapterName]Resident, len(state.Residents))
	for _, r := range state.Residents {
		adapters[r.AdapterName] = r
	}
	for name := range l.adapters {
		if _, ok := adapters[name]; !ok {
			l.evicted[name] = now
		}
	}
	for len(l.evicted) > maxWarmAdapters {
		delete(l.evicted, oldest(l.evicted))
	}
	l.adapters = adapters
	l.models = map[string]bool{}
	for _, m := range state.Models {
		l.models[m] = true
	}
}

// Note takes an adapter whose load this instance asked for.
func (d *Directory) Note(target deployment.Target, r Resident) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.entry(target.ID, target.Born)
	l.requested[r.AdapterName] = requestedLoad{Resident: r, requestedAt: d.Now()}
	delete(l.absent, r.AdapterName)
	if current, ok := l.adapters[r.AdapterName]; ok && current.Version < r.Version {
		l.adapters[r.AdapterName] = r
	}
}

// NoteLate takes that an engine still lacks an adapter that should be there by
// now. It reports whether the adapter may only be late; its time is moved then.
func (d *Directory) NoteLate(id deployment.TargetID, name deployment.AdapterName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.engines[id]
	if !ok {
		return false
	}
	now := d.Now()
	r, ok := l.resident(name, now)
	if !ok || now.Sub(r.ReadyAt) > maxLateness {
		return false
	}
	r.ReadyAt = now.Add(lateLoadExtension)
	if _, reported := l.adapters[name]; reported {
		l.adapters[name] = r
	} else {
		l.requested[name] = requestedLoad{Resident: r, requestedAt: l.requested[name].requestedAt}
	}
	return true
}

// NoteAbsent takes that an engine just said that it lacks an adapter.
func (d *Directory) NoteAbsent(id deployment.TargetID, name deployment.AdapterName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.engines[id]; ok {
		delete(l.requested, name)
		l.absent[name] = d.Now()
	}
}

// Resident returns an adapter on an engine, if it holds it or will.
func (d *Directory) Resident(target *deployment.Target, name deployment.AdapterName) (Resident, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l, ok := d.engines[target.ID]
	if !ok || l.generation != target.Born {
		return Resident{}, false
	}
	return l.resident(name, d.Now())
}

// Warm says that an engine held an adapter lately, so that it loads it fast.
func (d *Directory) Warm(target *deployment.Target, name deployment.AdapterName) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l, ok := d.engines[target.ID]
	if !ok || l.generation != target.Born {
		return false
	}
	_, evicted := l.evicted[name]
	return evicted
}

// HoldsModel says whether an engine is known to hold a base model.
func (d *Directory) HoldsModel(target *deployment.Target, model string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if l, ok := d.engines[target.ID]; ok && l.generation == target.Born {
		return l.models[model]
	}
	for _, m := range target.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// Keep forgets all engines but those listed.
func (d *Directory) Keep(targets map[deployment.TargetID]deployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.engines {
		if _, ok := targets[id]; !ok {
			delete(d.engines, id)
		}
	}
}
