package placement

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// noteTime is how long what an instance learned of an engine by itself goes
// before what the holder of its orders tells, which may be from before.
const noteTime = 700 * time.Millisecond

// lateLimit is how long after its expected time a load may still be on its way.
const lateLimit = 250 * time.Millisecond

// listing is what is known of one engine.
type listing struct {
	born     int64
	adapters map[deployment.AdapterName]Resident
	models   map[string]bool
	// noted are adapters whose load this instance asked for; absent are those
	// that the engine just said that it lacks. Both carry when they were learned.
	noted  map[deployment.AdapterName]time.Time
	absent map[deployment.AdapterName]time.Time
	// held are adapters that left, with the time at which they did.
	held map[deployment.AdapterName]time.Time
}

// Directory is an instance's view of which engine holds which adapters. It is
// safe for concurrent use. Set Now before the first use.
type Directory struct {
	Now func() time.Time

	mu      sync.RWMutex
	engines map[deployment.TargetID]*listing
}

func (d *Directory) listing(id deployment.TargetID, born int64) *listing {
	if d.engines == nil {
		d.engines = map[deployment.TargetID]*listing{}
	}
	l, ok := d.engines[id]
	if !ok || l.born != born {
		l = &listing{
			born:     born,
			adapters: map[deployment.AdapterName]Resident{},
			models:   map[string]bool{},
			noted:    map[deployment.AdapterName]time.Time{},
			absent:   map[deployment.AdapterName]time.Time{},
			held:     map[deployment.AdapterName]time.Time{},
		}
		d.engines[id] = l
	}
	return l
}

// Update takes what the holder of an engine's orders tells of it.
func (d *Directory) Update(state EngineState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.engines[state.Target]; ok && l.born > state.Born {
		return
	}
	l := d.listing(state.Target, state.Born)
	now := d.Now()
	adapters := make(map[deployment.AdapterName]Resident, len(state.Residents))
	for _, r := range state.Residents {
		if at, ok := l.absent[r.AdapterName]; !ok || now.Sub(at) > noteTime {
			adapters[r.AdapterName] = r
		}
	}
	for name, at := range l.noted {
		if now.Sub(at) > noteTime {
			delete(l.noted, name)
		} else if _, ok := adapters[name]; !ok {
			adapters[name] = l.adapters[name]
		}
	}
	for name := range l.adapters {
		if _, ok := adapters[name]; !ok {
			l.held[name] = now
		}
	}
	for len(l.held) > warmAdapters {
		delete(l.held, oldest(l.held))
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
	l := d.listing(target.ID, target.Born)
	l.adapters[r.AdapterName] = r
	l.noted[r.AdapterName] = d.Now()
	delete(l.absent, r.AdapterName)
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
	r, ok := l.adapters[name]
	now := d.Now()
	if !ok || now.Sub(r.ReadyAt) > lateLimit {
		return false
	}
	r.ReadyAt = now.Add(lateLoad)
	l.adapters[name] = r
	return true
}

// NoteAbsent takes that an engine just said that it lacks an adapter.
func (d *Directory) NoteAbsent(id deployment.TargetID, name deployment.AdapterName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.engines[id]; ok {
		delete(l.adapters, name)
		delete(l.noted, name)
		l.absent[name] = d.Now()
	}
}

// Resident returns an adapter on an engine, if it holds it or will.
func (d *Directory) Resident(target *deployment.Target, name deployment.AdapterName) (Resident, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l, ok := d.engines[target.ID]
	if !ok || l.born != target.Born {
		return Resident{}, false
	}
	r, ok := l.adapters[name]
	return r, ok
}

// Warm says that an engine held an adapter lately, so that it loads it fast.
func (d *Directory) Warm(target *deployment.Target, name deployment.AdapterName) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l, ok := d.engines[target.ID]
	if !ok || l.born != target.Born {
		return false
	}
	_, held := l.held[name]
	return held
}

// HoldsModel says whether an engine is known to hold a base model.
func (d *Directory) HoldsModel(target *deployment.Target, model string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if l, ok := d.engines[target.ID]; ok && l.born == target.Born {
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
func (d *Directory) Keep(listed map[deployment.TargetID]deployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.engines {
		if _, ok := listed[id]; !ok {
			delete(d.engines, id)
		}
	}
}
