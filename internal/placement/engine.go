package placement

import (
	"math"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// coldLoadTime is the time to bring an adapter from the weight store while it
	// serves one load more than it can at full speed.
	coldLoadTime = 285 * time.Millisecond
	// warmLoadTime is the time to load an adapter that the engine held lately.
	warmLoadTime = 30 * time.Millisecond
	// lateLoadExtension is added to a load that takes longer than expected.
	lateLoadExtension = 70 * time.Millisecond
	// maxWarmAdapters is how many adapters an engine keeps near at hand.
	maxWarmAdapters = 100
	// maxLoading is how many adapters may be on their way to one engine.
	maxLoading = 4
	// useHalfLife is the time after which a use of an adapter counts half.
	useHalfLife = 10 * time.Second
	// reportLag is how old a report may be when it comes. A later one with fewer
	// orders than were counted shows that the count is wrong.
	reportLag = 600 * time.Millisecond
	// unloadConfirmTimeout is how long an unload may go unreported before the report is
	// believed that still lists the adapter.
	unloadConfirmTimeout = 15 * time.Second
)

// adapterState is an adapter that an engine holds, or that is on its way there.
type adapterState struct {
	version uint64
	readyAt time.Time
	// lastUsed is when a request for it was last known.
	lastUsed time.Time
	// cold says that it comes from the weight store.
	cold bool
	// uses is the number of its requests, decayed to lastCounted.
	uses          float64
	usesUpdatedAt time.Time
	// unloadingSince is when its unload was ordered; zero when it was not.
	unloadingSince time.Time
}

func (r *adapterState) decayedUses(now time.Time) float64 {
	age := now.Sub(r.usesUpdatedAt).Seconds() / useHalfLife.Seconds()
	return r.uses * math.Exp2(-age)
}

// Engine is what the holder of an engine's orders knows of it: which adapters
// take a place, and how many orders the engine accepted. A place counts as
// taken from before the order to load until a report shows the adapter gone,
// so that an engine is never ordered to hold more than it can. Engine decides
// and keeps account; sending orders is the caller's. It is not safe for
// concurrent use.
type Engine struct {
	ID         deployment.TargetID
	Generation int64
	Slots      int

	// Sequence is the number of orders that the engine accepted.
	Sequence uint64
	synced   bool
	// lastOrderAt is when the engine last accepted an order.
	lastOrderAt time.Time
	models      map[string]bool
	adapters    map[deployment.AdapterName]*adapterState
	// evicted has the adapters that left, with the time at which they did.
	evicted map[deployment.AdapterName]time.Time
}

// Synced says that the state is known; before, no order may be sent.
func (e *Engine) Synced() bool { return e.synced }

// MarkStale says that the state has to be read again, since an order was refused
// or not answered.
func (e *Engine) MarkStale() { e.synced = false }

// ApplyReport takes a report. A report from before the last order is passed over. It
// reports whether the state is known now.
func (e *Engine) ApplyReport(report Report, now time.Time) bool {
	if report.Born != e.Generation {
		*e = Engine{ID: e.ID, Slots: e.Slots, Generation: report.Born}
	} else if e.models != nil && report.Sequence < e.Sequence && now.Sub(e.lastOrderAt) < reportLag {
		return e.synced
	}
	e.Sequence = report.Sequence
	e.models = map[string]bool{}
	listed := map[deployment.AdapterName]bool{}
	if e.adapters == nil {
		e.adapters = map[deployment.AdapterName]*adapterState{}
		e.evicted = map[deployment.AdapterName]time.Time{}
	}
	for _, m := range report.Models {
		e.models[m.Name] = true
		for _, a := range m.Adapters {
			name := deployment.AdapterName{Model: m.Name, Adapter: a.Name}
			listed[name] = true
			e.applyListed(name, a.Version, now, now)
		}
	}
	for _, c := range report.Coming {
		listed[c.AdapterName] = true
		e.applyListed(c.AdapterName, c.Version, now.Add(coldLoadTime), now)
	}
	for name := range e.adapters {
		if !listed[name] {
			e.remove(name, now)
		}
	}
	e.synced = true
	return true
}

// applyListed takes over an adapter that a report lists, ready at the latest at
// readyAt.
func (e *Engine) applyListed(name deployment.AdapterName, version uint64, readyAt, now time.Time) {
	r, ok := e.adapters[name]
	if !ok {
		r = &adapterState{lastUsed: now, readyAt: readyAt, usesUpdatedAt: now}
		e.adapters[name] = r
	}
	if readyAt.Before(r.readyAt) || r.version != version {
		r.readyAt = readyAt
	}
	if loading := readyAt.After(now); loading && !r.readyAt.After(now) {
		r.readyAt = now.Add(lateLoadExtension)
	}
	r.version = version
	if !r.unloadingSince.IsZero() && now.Sub(r.unloadingSince) > unloadConfirmTimeout {
		r.unloadingSince = time.Time{}
	}
}

func (e *Engine) remove(name deployment.AdapterName, now time.Time) {
	delete(e.adapters, name)
	e.evicted[name] = now
	if len(e.evicted) > maxWarmAdapters {
		delete(e.evicted, oldest(e.evicted))
	}
}

func oldest(evicted map[deployment.AdapterName]time.Time) deployment.AdapterName {
	var oldestName deployment.AdapterName
	var oldestAt time.Time
	for name, evictedAt := range evicted {
		if oldestAt.IsZero() || evictedAt.Before(oldestAt) {
			oldestName, oldestAt = name, evictedAt
		}
	}
	return oldestName
}

// RecordUse notes that an adapter is used, by a number of requests that may be a
// fraction.
func (e *Engine) RecordUse(name deployment.AdapterName, requests float64, now time.Time) {
	if r, ok := e.adapters[name]; ok {
		r.uses = r.decayedUses(now) + requests
		r.usesUpdatedAt, r.lastUsed = now, now
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

// NextStep returns the next step towards an adapter at a version, zero being any,
// and the adapter that has to go first. inUse says which adapters run.
func (e *Engine) NextStep(name deployment.AdapterName, version uint64, inUse func(deployment.AdapterName) bool, now time.Time) (Step, deployment.AdapterName) {
	if !e.models[name.Model] {
		return StepNoModel, deployment.AdapterName{}
	}
	r, ok := e.adapters[name]
	if ok && r.unloadingSince.IsZero() {
		switch {
		case r.version >= version:
			return StepReady, deployment.AdapterName{}
		case inUse(name):
			// A replacement would wait for the runs and refuse all others until then.
			return StepFull, deployment.AdapterName{}
		case e.loadingCount(now) >= maxLoading:
			return StepWait, deployment.AdapterName{}
		}
		return StepLoad, deployment.AdapterName{}
	}
	if e.unloading() {
		// The engine takes no other order until the unload's runs are over.
		return StepFull, deployment.AdapterName{}
	}
	if ok || e.loadingCount(now) >= maxLoading {
		return StepWait, deployment.AdapterName{}
	}
	if len(e.adapters) < e.Slots {
		return StepLoad, deployment.AdapterName{}
	}
	if victim, ok := e.evictionCandidate(inUse, now); ok {
		return StepUnload, victim
	}
	if e.loadingCount(now) > 0 {
		return StepWait, deployment.AdapterName{}
	}
	return StepFull, deployment.AdapterName{}
}

// slotUsage counts what takes an engine's slotUsage.
type slotUsage struct {
	total, inUse, recent, unloading int
}

func (e *Engine) slotUsage(inUse func(deployment.AdapterName) bool, now time.Time) slotUsage {
	p := slotUsage{total: len(e.adapters)}
	for name, r := range e.adapters {
		switch {
		case !r.unloadingSince.IsZero():
			p.unloading++
		case inUse(name):
			p.inUse++
		case r.recentlyUsed(now):
			p.recent++
		}
	}
	return p
}

// recentlyUsed says that an adapter came or was used just now.
func (r *adapterState) recentlyUsed(now time.Time) bool {
	return now.Sub(r.readyAt) < minResidence || now.Sub(r.lastUsed) < minResidence
}

// unloading says that an unload waits for its runs.
func (e *Engine) unloading() bool {
	for _, r := range e.adapters {
		if !r.unloadingSince.IsZero() {
			return true
		}
	}
	return false
}

// minResidence is how long an adapter stays at the least after its load and after
// its last known use: requests that other instances sent in the meantime are not
// known yet, and an unload would wait for them and keep all other orders back.
const minResidence = 700 * time.Millisecond

// evictionCandidate returns the idle adapter that is asked for least.
func (e *Engine) evictionCandidate(inUse func(deployment.AdapterName) bool, now time.Time) (deployment.AdapterName, bool) {
	var best deployment.AdapterName
	bestUses, found := 0.0, false
	for name, r := range e.adapters {
		if !r.unloadingSince.IsZero() || r.recentlyUsed(now) || inUse(name) {
			continue
		}
		uses := r.decayedUses(now)
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
	_, evicted := e.evicted[name]
	return evicted
}

// ColdLoading returns the number of adapters on their way from the weight store.
func (e *Engine) ColdLoading(now time.Time) int {
	n := 0
	for _, r := range e.adapters {
		if r.cold && now.Before(r.readyAt) {
			n++
		}
	}
	return n
}

func (e *Engine) loadingCount(now time.Time) int {
	n := 0
	for _, r := range e.adapters {
		if now.Before(r.readyAt) {
			n++
		}
	}
	return n
}

// RecordLoad notes that the engine accepted the load of an adapter.
func (e *Engine) RecordLoad(name deployment.AdapterName, version uint64, now time.Time) {
	e.recordAccepted(now)
	duration := coldLoadTime
	if e.warm(name) {
		duration = warmLoadTime
	}
	r, ok := e.adapters[name]
	if !ok {
		r = &adapterState{uses: 1, usesUpdatedAt: now}
		e.adapters[name] = r
	}
	r.version, r.readyAt, r.lastUsed, r.unloadingSince = version, now.Add(duration), now, time.Time{}
	r.cold = duration == coldLoadTime
}

// recordAccepted notes that the engine recordAccepted an order.
func (e *Engine) recordAccepted(now time.Time) {
	e.Sequence++
	e.lastOrderAt = now
}

// RecordUnload notes that the engine accepted the unload of an adapter; done
// says that it is gone already.
func (e *Engine) RecordUnload(name deployment.AdapterName, done bool, now time.Time) {
	e.recordAccepted(now)
	if done {
		e.remove(name, now)
		return
	}
	if r, ok := e.adapters[name]; ok {
		r.unloadingSince = now
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
		if r.unloadingSince.IsZero() {
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
		if r.unloadingSince.IsZero() && r.version < newest(name) && !inUse(name) && !now.Before(r.readyAt) {
			return name, true
		}
	}
	return deployment.AdapterName{}, false
}
