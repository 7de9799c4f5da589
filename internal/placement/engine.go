package placement

import (
	"math"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// coldLoad is the time to bring an adapter from the weight store while it
	// serves one load more than it can at full speed.
	coldLoad = 285 * time.Millisecond
	// warmLoad is the time to load an adapter that the engine held lately.
	warmLoad = 30 * time.Millisecond
	// lateLoad is added to a load that takes longer than expected.
	lateLoad = 70 * time.Millisecond
	// warmAdapters is how many adapters an engine keeps near at hand.
	warmAdapters = 100
	// maxComing is how many adapters may be on their way to one engine.
	maxComing = 4
	// useHalfLife is the time after which a use of an adapter counts half.
	useHalfLife = 10 * time.Second
	// reportLag is how old a report may be when it comes. A later one with fewer
	// orders than were counted shows that the count is wrong.
	reportLag = 600 * time.Millisecond
	// leavingLimit is how long an unload may go unreported before the report is
	// believed that still lists the adapter.
	leavingLimit = 15 * time.Second
)

// resident is an adapter that an engine holds, or that is on its way there.
type resident struct {
	version uint64
	readyAt time.Time
	// lastUsed is when a request for it was last known.
	lastUsed time.Time
	// cold says that it comes from the weight store.
	cold bool
	// uses is the number of its requests, decayed to lastCounted.
	uses        float64
	lastCounted time.Time
	// leaving is when its unload was ordered; zero when it was not.
	leaving time.Time
}

func (r *resident) popularity(now time.Time) float64 {
	age := now.Sub(r.lastCounted).Seconds() / useHalfLife.Seconds()
	return r.uses * math.Exp2(-age)
}

// Engine is what the holder of an engine's orders knows of it: which adapters
// take a place, and how many orders the engine accepted. A place counts as
// taken from before the order to load until a report shows the adapter gone,
// so that an engine is never ordered to hold more than it can. Engine decides
// and keeps account; sending orders is the caller's. It is not safe for
// concurrent use.
type Engine struct {
	ID    deployment.TargetID
	Born  int64
	Slots int

	// Sequence is the number of orders that the engine accepted.
	Sequence uint64
	synced   bool
	// orderedAt is when the engine last accepted an order.
	orderedAt time.Time
	models    map[string]bool
	adapters  map[deployment.AdapterName]*resident
	// held has the adapters that left, with the time at which they did.
	held map[deployment.AdapterName]time.Time
}

// Synced says that the state is known; before, no order may be sent.
func (e *Engine) Synced() bool { return e.synced }

// Unsync says that the state has to be read again, since an order was refused
// or not answered.
func (e *Engine) Unsync() { e.synced = false }

// Sync takes a report. A report from before the last order is passed over. It
// reports whether the state is known now.
func (e *Engine) Sync(report Report, now time.Time) bool {
	if report.Born != e.Born {
		*e = Engine{ID: e.ID, Slots: e.Slots, Born: report.Born}
	} else if e.models != nil && report.Sequence < e.Sequence && now.Sub(e.orderedAt) < reportLag {
		return e.synced
	}
	e.Sequence = report.Sequence
	e.models = map[string]bool{}
	listed := map[deployment.AdapterName]bool{}
	if e.adapters == nil {
		e.adapters = map[deployment.AdapterName]*resident{}
		e.held = map[deployment.AdapterName]time.Time{}
	}
	for _, m := range report.Models {
		e.models[m.Name] = true
		for _, a := range m.Adapters {
			name := deployment.AdapterName{Model: m.Name, Adapter: a.Name}
			listed[name] = true
			e.takeListed(name, a.Version, now, now)
		}
	}
	for _, c := range report.Coming {
		listed[c.AdapterName] = true
		e.takeListed(c.AdapterName, c.Version, now.Add(coldLoad), now)
	}
	for name := range e.adapters {
		if !listed[name] {
			e.drop(name, now)
		}
	}
	e.synced = true
	return true
}

// takeListed takes over an adapter that a report lists, ready at the latest at
// readyAt.
func (e *Engine) takeListed(name deployment.AdapterName, version uint64, readyAt, now time.Time) {
	r, ok := e.adapters[name]
	if !ok {
		r = &resident{lastUsed: now, readyAt: readyAt, lastCounted: now}
		e.adapters[name] = r
	}
	if readyAt.Before(r.readyAt) || r.version != version {
		r.readyAt = readyAt
	}
	if onItsWay := readyAt.After(now); onItsWay && !r.readyAt.After(now) {
		r.readyAt = now.Add(lateLoad)
	}
	r.version = version
	if !r.leaving.IsZero() && now.Sub(r.leaving) > leavingLimit {
		r.leaving = time.Time{}
	}
}

func (e *Engine) drop(name deployment.AdapterName, now time.Time) {
	delete(e.adapters, name)
	e.held[name] = now
	if len(e.held) > warmAdapters {
		delete(e.held, oldest(e.held))
	}
}

func oldest(held map[deployment.AdapterName]time.Time) deployment.AdapterName {
	var first deployment.AdapterName
	var at time.Time
	for name, left := range held {
		if at.IsZero() || left.Before(at) {
			first, at = name, left
		}
	}
	return first
}

// Used notes that an adapter is used, by a number of requests that may be a
// fraction.
func (e *Engine) Used(name deployment.AdapterName, requests float64, now time.Time) {
	if r, ok := e.adapters[name]; ok {
		r.uses = r.popularity(now) + requests
		r.lastCounted, r.lastUsed = now, now
	}
}

// Step is what has to be done next to have an adapter on an engine.
type Step int

// The steps.
const (
	// StepReady says that the adapter is there or on its way.
	StepReady Step = iota
	// StepLoad says that the adapter can be ordered to load.
	StepLoad
	// StepUnload says that another adapter has to go first.
	StepUnload
	// StepWait says that other adapters are on their way, or a place gets free soon.
	StepWait
	// StepFull says that all places are taken by adapters in use.
	StepFull
	// StepNoModel says that the engine lacks the base model.
	StepNoModel
)

// Next returns the next step towards an adapter at a version, zero being any,
// and the adapter that has to go first. inUse says which adapters run.
func (e *Engine) Next(name deployment.AdapterName, version uint64, inUse func(deployment.AdapterName) bool, now time.Time) (Step, deployment.AdapterName) {
	if !e.models[name.Model] {
		return StepNoModel, deployment.AdapterName{}
	}
	r, ok := e.adapters[name]
	if ok && r.leaving.IsZero() {
		switch {
		case r.version >= version:
			return StepReady, deployment.AdapterName{}
		case inUse(name):
			// A replacement would wait for the runs and refuse all others until then.
			return StepFull, deployment.AdapterName{}
		case e.coming(now) >= maxComing:
			return StepWait, deployment.AdapterName{}
		}
		return StepLoad, deployment.AdapterName{}
	}
	if e.unloading() {
		// The engine takes no other order until the unload's runs are over.
		return StepFull, deployment.AdapterName{}
	}
	if ok || e.coming(now) >= maxComing {
		return StepWait, deployment.AdapterName{}
	}
	if len(e.adapters) < e.Slots {
		return StepLoad, deployment.AdapterName{}
	}
	if victim, ok := e.victim(inUse, now); ok {
		return StepUnload, victim
	}
	if e.coming(now) > 0 {
		return StepWait, deployment.AdapterName{}
	}
	return StepFull, deployment.AdapterName{}
}

// places counts what takes an engine's places.
type places struct {
	all, inUse, recent, unloading int
}

func (e *Engine) places(inUse func(deployment.AdapterName) bool, now time.Time) places {
	p := places{all: len(e.adapters)}
	for name, r := range e.adapters {
		switch {
		case !r.leaving.IsZero():
			p.unloading++
		case inUse(name):
			p.inUse++
		case r.recent(now):
			p.recent++
		}
	}
	return p
}

// recent says that an adapter came or was used just now.
func (r *resident) recent(now time.Time) bool {
	return now.Sub(r.readyAt) < minResidence || now.Sub(r.lastUsed) < minResidence
}

// unloading says that an unload waits for its runs.
func (e *Engine) unloading() bool {
	for _, r := range e.adapters {
		if !r.leaving.IsZero() {
			return true
		}
	}
	return false
}

// minResidence is how long an adapter stays at the least after its load and after
// its last known use: requests that other instances sent in the meantime are not
// known yet, and an unload would wait for them and keep all other orders back.
const minResidence = 700 * time.Millisecond

// victim returns the idle adapter that is asked for least.
func (e *Engine) victim(inUse func(deployment.AdapterName) bool, now time.Time) (deployment.AdapterName, bool) {
	var best deployment.AdapterName
	bestUses, found := 0.0, false
	for name, r := range e.adapters {
		if !r.leaving.IsZero() || r.recent(now) || inUse(name) {
			continue
		}
		uses := r.popularity(now)
		if !found || uses < bestUses || uses == bestUses && less(name, best) {
			best, bestUses, found = name, uses, true
		}
	}
	return best, found
}

func less(a, b deployment.AdapterName) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.Adapter < b.Adapter
}

// warm says that the engine held an adapter lately, and loads it without the
// weight store.
func (e *Engine) warm(name deployment.AdapterName) bool {
	_, held := e.held[name]
	return held
}

// ColdComing returns the number of adapters on their way from the weight store.
func (e *Engine) ColdComing(now time.Time) int {
	n := 0
	for _, r := range e.adapters {
		if r.cold && now.Before(r.readyAt) {
			n++
		}
	}
	return n
}

func (e *Engine) coming(now time.Time) int {
	n := 0
	for _, r := range e.adapters {
		if now.Before(r.readyAt) {
			n++
		}
	}
	return n
}

// LoadOrdered notes that the engine accepted the load of an adapter.
func (e *Engine) LoadOrdered(name deployment.AdapterName, version uint64, now time.Time) {
	e.accepted(now)
	duration := coldLoad
	if e.warm(name) {
		duration = warmLoad
	}
	r, ok := e.adapters[name]
	if !ok {
		r = &resident{uses: 1, lastCounted: now}
		e.adapters[name] = r
	}
	r.version, r.readyAt, r.lastUsed, r.leaving = version, now.Add(duration), now, time.Time{}
	r.cold = duration == coldLoad
}

// accepted notes that the engine accepted an order.
func (e *Engine) accepted(now time.Time) {
	e.Sequence++
	e.orderedAt = now
}

// UnloadOrdered notes that the engine accepted the unload of an adapter; done
// says that it is gone already.
func (e *Engine) UnloadOrdered(name deployment.AdapterName, done bool, now time.Time) {
	e.accepted(now)
	if done {
		e.drop(name, now)
		return
	}
	if r, ok := e.adapters[name]; ok {
		r.leaving = now
	}
}

// Resident is an adapter that an engine holds or will hold.
type Resident struct {
	deployment.AdapterName
	Version uint64
	ReadyAt time.Time
}

// Residents returns the adapters that requests may be sent for, and the base
// models.
func (e *Engine) Residents() ([]Resident, []string) {
	var residents []Resident
	for name, r := range e.adapters {
		if r.leaving.IsZero() {
			residents = append(residents, Resident{AdapterName: name, Version: r.version, ReadyAt: r.readyAt})
		}
	}
	var models []string
	for m := range e.models {
		models = append(models, m)
	}
	return residents, models
}

// ReadyAt returns when an adapter can be used, and its version.
func (e *Engine) ReadyAt(name deployment.AdapterName) (time.Time, uint64) {
	if r, ok := e.adapters[name]; ok {
		return r.readyAt, r.version
	}
	return time.Time{}, 0
}

// Outdated returns an idle adapter whose version is below the newest one.
func (e *Engine) Outdated(newest func(deployment.AdapterName) uint64, inUse func(deployment.AdapterName) bool, now time.Time) (deployment.AdapterName, bool) {
	for name, r := range e.adapters {
		if r.leaving.IsZero() && r.version < newest(name) && !inUse(name) && !now.Before(r.readyAt) {
			return name, true
		}
	}
	return deployment.AdapterName{}, false
}
