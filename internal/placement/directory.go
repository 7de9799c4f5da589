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
	born int64
	// adapters are those that the holder of the engine's orders tells of.
	adapters map[deployment.AdapterName]Resident
	models   map[string]bool
	// noted are adapters whose load this instance asked for, absent are those that
	// the engine just said that it lacks. Both go before what the holder tells, for
	// a while from when they were learned.
	noted  map[deployment.AdapterName]note
	absent map[deployment.AdapterName]time.Time
	// held are adapters that left, with the time at which they did.
	held map[deployment.AdapterName]time.Time
}

// note is an adapter whose load this instance asked for.
type note struct {
	Resident
	at time.Time
}

// resident returns an adapter that the engine holds or will hold.
func (l *listing) resident(name deployment.AdapterName, now time.Time) (Resident, bool) {
	if at, ok := l.absent[name]; ok && now.Sub(at) <= noteTime {
		return Resident{}, false
	}
	if r, ok := l.adapters[name]; ok {
		return r, true
	}
	n, ok := l.noted[name]
	return n.Resident, ok && now.Sub(n.at) <= noteTime
}

// expire forgets what this instance learned by itself long ago.
func (l *listing) expire(now time.Time) {
	for name, n := range l.noted {
		if now.Sub(n.at) > noteTime {
			delete(l.noted, name)
		}
	}
	for name, at := range l.absent {
		if now.Sub(at) > noteTime {
			delete(l.absent, name)
		}
	}
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
			noted:    map[deployment.AdapterName]note{},
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
	l.expire(now)
	adapters := make(map[deployment.AdapterName]Resident, len(state.Residents))
	for _, r := range state.Residents {
		adapters[r.AdapterName] = r
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
	l.noted[r.AdapterName] = note{Resident: r, at: d.Now()}
	delete(l.absent, r.AdapterName)
	if known, ok := l.adapters[r.AdapterName]; ok && known.Version < r.Version {
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
	if !ok || now.Sub(r.ReadyAt) > lateLimit {
		return false
	}
	r.ReadyAt = now.Add(lateLoad)
	if _, listed := l.adapters[name]; listed {
		l.adapters[name] = r
	} else {
		l.noted[name] = note{Resident: r, at: l.noted[name].at}
	}
	return true
}

// NoteAbsent takes that an engine just said that it lacks an adapter.
func (d *Directory) NoteAbsent(id deployment.TargetID, name deployment.AdapterName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.engines[id]; ok {
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
	return l.resident(name, d.Now())
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
