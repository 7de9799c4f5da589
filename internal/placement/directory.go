package placement

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// observationTTL is how long this instance's own observations of an engine take
// precedence over the state that the lease holder published, which may be older than
// they are.
const observationTTL = 700 * time.Millisecond

// maxLateness is how long after its expected time a load may still be in progress.
const maxLateness = 250 * time.Millisecond

// engineEntry is what is known of one engine.
type engineEntry struct {
	generation int64
	// adapters are those in the state that the lease holder last published.
	adapters map[deployment.AdapterName]Resident
	models   map[string]bool
	// requested holds the adapters whose load this instance requested, absent those
	// that the engine answered it does not have. Both take precedence over the
	// published state until observationTTL has passed.
	requested map[deployment.AdapterName]requestedLoad
	absent    map[deployment.AdapterName]time.Time
	// evicted holds the time at which each recently evicted adapter was removed.
	evicted map[deployment.AdapterName]time.Time
}

// requestedLoad is an adapter whose load this instance requested.
type requestedLoad struct {
	Resident
	requestedAt time.Time
}

// resident returns an adapter that is loaded or loading on the engine.
func (e *engineEntry) resident(name deployment.AdapterName, now time.Time) (Resident, bool) {
	if at, ok := e.absent[name]; ok && now.Sub(at) <= observationTTL {
		return Resident{}, false
	}
	if r, ok := e.adapters[name]; ok {
		return r, true
	}
	load, ok := e.requested[name]
	return load.Resident, ok && now.Sub(load.requestedAt) <= observationTTL
}

// expire removes observations older than observationTTL.
func (e *engineEntry) expire(now time.Time) {
	for name, load := range e.requested {
		if now.Sub(load.requestedAt) > observationTTL {
			delete(e.requested, name)
		}
	}
	for name, at := range e.absent {
		if now.Sub(at) > observationTTL {
			delete(e.absent, name)
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
	e, ok := d.engines[id]
	if !ok || e.generation != generation {
		e = &engineEntry{
			generation: generation,
			adapters:   map[deployment.AdapterName]Resident{},
			models:     map[string]bool{},
			requested:  map[deployment.AdapterName]requestedLoad{},
			absent:     map[deployment.AdapterName]time.Time{},
			evicted:    map[deployment.AdapterName]time.Time{},
		}
		d.engines[id] = e
	}
	return e
}

// Update applies the state of an engine that its lease holder published. The state
// of an earlier generation of the engine is ignored.
func (d *Directory) Update(state EngineState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.engines[state.Target]; ok && e.generation > state.Generation {
		return
	}
	e := d.entry(state.Target, state.Generation)
	now := d.Now()
	e.expire(now)
	adapters := make(map[deployment.AdapterName]Resident, len(state.Residents))
	for _, r := range state.Residents {
		adapters[r.AdapterName] = r
	}
	for name := range e.adapters {
		if _, ok := adapters[name]; !ok {
			e.evicted[name] = now
		}
	}
	for len(e.evicted) > maxWarmAdapters {
		delete(e.evicted, oldest(e.evicted))
	}
	e.adapters = adapters
	e.models = map[string]bool{}
	for _, m := range state.Models {
		e.models[m] = true
	}
}

// RecordLoad records an adapter whose load this instance requested.
func (d *Directory) RecordLoad(target deployment.Target, r Resident) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(target.ID, target.Generation)
	e.requested[r.AdapterName] = requestedLoad{Resident: r, requestedAt: d.Now()}
	delete(e.absent, r.AdapterName)
	if current, ok := e.adapters[r.AdapterName]; ok && current.Version < r.Version {
		e.adapters[r.AdapterName] = r
	}
}

// RecordLate records that an engine still lacks an adapter that should be loaded by
// now. It reports whether the load may still be in progress; if so, it extends the
// load's expected time.
func (d *Directory) RecordLate(id deployment.TargetID, name deployment.AdapterName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[id]
	if !ok {
		return false
	}
	now := d.Now()
	r, ok := e.resident(name, now)
	if !ok || now.Sub(r.ReadyAt) > maxLateness {
		return false
	}
	r.ReadyAt = now.Add(lateLoadExtension)
	if _, reported := e.adapters[name]; reported {
		e.adapters[name] = r
	} else {
		e.requested[name] = requestedLoad{Resident: r, requestedAt: e.requested[name].requestedAt}
	}
	return true
}

// RecordAbsent records an engine's answer that it does not have an adapter.
func (d *Directory) RecordAbsent(id deployment.TargetID, name deployment.AdapterName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.engines[id]; ok {
		delete(e.requested, name)
		e.absent[name] = d.Now()
	}
}

// Resident returns an adapter that is loaded or loading on an engine.
func (d *Directory) Resident(target *deployment.Target, name deployment.AdapterName) (Resident, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.engines[target.ID]
	if !ok || e.generation != target.Generation {
		return Resident{}, false
	}
	return e.resident(name, d.Now())
}

// Warm reports whether an engine recently evicted an adapter and can therefore
// load it without the weight store.
func (d *Directory) Warm(target *deployment.Target, name deployment.AdapterName) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.engines[target.ID]
	if !ok || e.generation != target.Generation {
		return false
	}
	_, evicted := e.evicted[name]
	return evicted
}

// HoldsModel reports whether an engine is known to hold a base model. Until the
// lease holder has published the engine's state, it relies on the target's
// registration.
func (d *Directory) HoldsModel(target *deployment.Target, model string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if e, ok := d.engines[target.ID]; ok && e.generation == target.Generation {
		return e.models[model]
	}
	for _, m := range target.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// Retain removes all engines except the given ones.
func (d *Directory) Retain(targets map[deployment.TargetID]deployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.engines {
		if _, ok := targets[id]; !ok {
			delete(d.engines, id)
		}
	}
}
