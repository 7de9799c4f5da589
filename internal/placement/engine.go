package placement

import (
	"math"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// coldLoadTime is the duration of a load from the weight store while the store
	// serves one load more than it can at full speed.
	coldLoadTime = 285 * time.Millisecond
	// warmLoadTime is the duration of a load of an adapter that the engine recently
	// evicted.
	warmLoadTime = 30 * time.Millisecond
	// lateLoadExtension is added to the expected time of a load that takes longer.
	lateLoadExtension = 70 * time.Millisecond
	// maxWarmAdapters is how many evicted adapters an engine keeps in its local
	// cache, from which it loads them without the weight store.
	maxWarmAdapters = 100
	// maxLoading is the maximum number of adapters loading on one engine.
	maxLoading = 4
	// useHalfLife is the time after which a use of an adapter counts half.
	useHalfLife = 10 * time.Second
	// reportLag is the maximum age of a report when it arrives. A report that
	// arrives later than this after an order and still has a lower sequence shows
	// that the local count of orders is wrong.
	reportLag = 600 * time.Millisecond
	// unloadConfirmTimeout is how long reports may list an adapter after its unload
	// was ordered. After that the adapter counts as loaded again.
	unloadConfirmTimeout = 15 * time.Second
)

// adapterState is the state of an adapter that is loaded, loading or unloading.
type adapterState struct {
	version uint64
	readyAt time.Time
	// lastUsed is when a request for the adapter was last reported.
	lastUsed time.Time
	// cold is set when the adapter is loaded from the weight store.
	cold bool
	// uses is the number of requests for the adapter, decayed up to usesUpdatedAt.
	uses          float64
	usesUpdatedAt time.Time
	// unloadingSince is when the unload was ordered; zero if it was not.
	unloadingSince time.Time
}

func (a *adapterState) decayedUses(now time.Time) float64 {
	age := now.Sub(a.usesUpdatedAt).Seconds() / useHalfLife.Seconds()
	return a.uses * math.Exp2(-age)
}

// Engine is the lease holder's record of one engine: which adapters occupy its
// slots, and how many orders it accepted. A slot counts as occupied from before
// the load is ordered until a report no longer lists the adapter, so that an
// engine is never ordered to hold more adapters than it has slots. Engine decides
// on orders and records them; the caller sends them. It is not safe for concurrent
// use.
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
	// evicted holds the time at which each recently evicted adapter was removed.
	evicted map[deployment.AdapterName]time.Time
}

// Synced reports whether the state is known. No order may be sent otherwise.
func (e *Engine) Synced() bool { return e.synced }

// MarkStale makes Synced report false until a report is applied. Call it after an
// order that was refused or not answered.
func (e *Engine) MarkStale() { e.synced = false }

// ApplyReport replaces the state by a report. It ignores a report that may be
// older than the last order. It reports whether the state is known afterwards.
func (e *Engine) ApplyReport(report Report, now time.Time) bool {
	if report.Generation != e.Generation {
		*e = Engine{ID: e.ID, Slots: e.Slots, Generation: report.Generation}
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
	for _, loading := range report.Loading {
		listed[loading.AdapterName] = true
		e.applyListed(loading.AdapterName, loading.Version, now.Add(coldLoadTime), now)
	}
	for name := range e.adapters {
		if !listed[name] {
			e.remove(name, now)
		}
	}
	e.synced = true
	return true
}

// applyListed applies an adapter that a report lists. readyAt is when it should be
// ready at the latest; a load that is overdue is extended by lateLoadExtension.
func (e *Engine) applyListed(name deployment.AdapterName, version uint64, readyAt, now time.Time) {
	a, ok := e.adapters[name]
	if !ok {
		a = &adapterState{lastUsed: now, readyAt: readyAt, usesUpdatedAt: now}
		e.adapters[name] = a
	}
	if readyAt.Before(a.readyAt) || a.version != version {
		a.readyAt = readyAt
	}
	if loading := readyAt.After(now); loading && !a.readyAt.After(now) {
		a.readyAt = now.Add(lateLoadExtension)
	}
	a.version = version
	if !a.unloadingSince.IsZero() && now.Sub(a.unloadingSince) > unloadConfirmTimeout {
		a.unloadingSince = time.Time{}
	}
}

// remove moves an adapter to the recently evicted ones.
func (e *Engine) remove(name deployment.AdapterName, now time.Time) {
	delete(e.adapters, name)
	e.evicted[name] = now
	if len(e.evicted) > maxWarmAdapters {
		delete(e.evicted, oldest(e.evicted))
	}
}

// oldest returns the adapter that was evicted first.
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

// RecordUse records that requests use an adapter. Their number may be fractional.
func (e *Engine) RecordUse(name deployment.AdapterName, requests float64, now time.Time) {
	if a, ok := e.adapters[name]; ok {
		a.uses = a.decayedUses(now) + requests
		a.usesUpdatedAt, a.lastUsed = now, now
	}
}

// Step is the next action required to load an adapter on an engine.
type Step int

// The steps.
const (
	// StepReady means that the adapter is loaded or loading.
	StepReady Step = iota
	// StepLoad means that the load can be ordered.
	StepLoad
	// StepUnload means that another adapter has to be unloaded first.
	StepUnload
	// StepWait means that other adapters are loading; the load or an eviction
	// becomes possible when they are done.
	StepWait
	// StepFull means that no slot can be freed now: the adapters are in use, an
	// unload is in progress, or an older version of the adapter is in use.
	StepFull
	// StepNoModel means that the engine lacks the base model.
	StepNoModel
)

// NextStep returns the next step towards an adapter at a minimum version, and
// for StepUnload the adapter to unload. Version zero accepts any version. inUse
// reports whether requests for an adapter are in flight.
func (e *Engine) NextStep(name deployment.AdapterName, version uint64, inUse func(deployment.AdapterName) bool, now time.Time) (Step, deployment.AdapterName) {
	if !e.models[name.Model] {
		return StepNoModel, deployment.AdapterName{}
	}
	a, ok := e.adapters[name]
	if ok && a.unloadingSince.IsZero() {
		switch {
		case a.version >= version:
			return StepReady, deployment.AdapterName{}
		case inUse(name):
			// A replacement would wait for the requests in flight, and the engine would
			// refuse all others until then.
			return StepFull, deployment.AdapterName{}
		case e.loadingCount(now) >= maxLoading:
			return StepWait, deployment.AdapterName{}
		}
		return StepLoad, deployment.AdapterName{}
	}
	if e.unloading() {
		// The engine refuses other orders until the requests for the adapter that it
		// unloads have ended.
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

// slotUsage counts the adapters that occupy an engine's slots, by why they cannot
// be evicted. Adapters that can be evicted count in total only.
type slotUsage struct {
	total, inUse, recent, unloading int
}

func (e *Engine) slotUsage(inUse func(deployment.AdapterName) bool, now time.Time) slotUsage {
	usage := slotUsage{total: len(e.adapters)}
	for name, a := range e.adapters {
		switch {
		case !a.unloadingSince.IsZero():
			usage.unloading++
		case inUse(name):
			usage.inUse++
		case a.recentlyUsed(now):
			usage.recent++
		}
	}
	return usage
}

// recentlyUsed reports whether an adapter was loaded or used within minResidence.
func (a *adapterState) recentlyUsed(now time.Time) bool {
	return now.Sub(a.readyAt) < minResidence || now.Sub(a.lastUsed) < minResidence
}

// unloading reports whether an unload is in progress; it waits for the requests in
// flight for its adapter.
func (e *Engine) unloading() bool {
	for _, a := range e.adapters {
		if !a.unloadingSince.IsZero() {
			return true
		}
	}
	return false
}

// minResidence is the minimum time that an adapter stays loaded after its load and
// after its last known use. Requests that other instances sent in the meantime are
// not known yet, and an unload would wait for them and block all other orders.
const minResidence = 700 * time.Millisecond

// evictionCandidate returns the idle adapter with the fewest recent uses.
func (e *Engine) evictionCandidate(inUse func(deployment.AdapterName) bool, now time.Time) (deployment.AdapterName, bool) {
	var best deployment.AdapterName
	bestUses, found := 0.0, false
	for name, a := range e.adapters {
		if !a.unloadingSince.IsZero() || a.recentlyUsed(now) || inUse(name) {
			continue
		}
		uses := a.decayedUses(now)
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

// warm reports whether the engine recently evicted an adapter and can therefore
// load it without the weight store.
func (e *Engine) warm(name deployment.AdapterName) bool {
	_, evicted := e.evicted[name]
	return evicted
}

// ColdLoading returns the number of adapters loading from the weight store.
func (e *Engine) ColdLoading(now time.Time) int {
	n := 0
	for _, a := range e.adapters {
		if a.cold && now.Before(a.readyAt) {
			n++
		}
	}
	return n
}

func (e *Engine) loadingCount(now time.Time) int {
	n := 0
	for _, a := range e.adapters {
		if now.Before(a.readyAt) {
			n++
		}
	}
	return n
}

// RecordLoad records that the engine accepted the load of an adapter.
func (e *Engine) RecordLoad(name deployment.AdapterName, version uint64, now time.Time) {
	e.recordAccepted(now)
	duration := coldLoadTime
	if e.warm(name) {
		duration = warmLoadTime
	}
	a, ok := e.adapters[name]
	if !ok {
		a = &adapterState{uses: 1, usesUpdatedAt: now}
		e.adapters[name] = a
	}
	a.version, a.readyAt, a.lastUsed, a.unloadingSince = version, now.Add(duration), now, time.Time{}
	a.cold = duration == coldLoadTime
}

// recordAccepted counts an order that the engine accepted.
func (e *Engine) recordAccepted(now time.Time) {
	e.Sequence++
	e.lastOrderAt = now
}

// RecordUnload records that the engine accepted the unload of an adapter. done is
// set when the adapter is already unloaded.
func (e *Engine) RecordUnload(name deployment.AdapterName, done bool, now time.Time) {
	e.recordAccepted(now)
	if done {
		e.remove(name, now)
		return
	}
	if a, ok := e.adapters[name]; ok {
		a.unloadingSince = now
	}
}

// Resident is an adapter that is loaded or loading on an engine.
type Resident struct {
	deployment.AdapterName
	Version uint64
	ReadyAt time.Time
}

// Residents returns the adapters that requests may be sent for, which excludes
// those that are unloading, and the base models.
func (e *Engine) Residents() ([]Resident, []string) {
	var residents []Resident
	for name, a := range e.adapters {
		if a.unloadingSince.IsZero() {
			residents = append(residents, Resident{AdapterName: name, Version: a.version, ReadyAt: a.readyAt})
		}
	}
	var models []string
	for m := range e.models {
		models = append(models, m)
	}
	return residents, models
}

// ReadyAt returns when an adapter is expected to be loaded, and its version. Both
// are zero if the engine does not hold it.
func (e *Engine) ReadyAt(name deployment.AdapterName) (time.Time, uint64) {
	if a, ok := e.adapters[name]; ok {
		return a.readyAt, a.version
	}
	return time.Time{}, 0
}

// Outdated returns a loaded, idle adapter whose version is below the newest one.
func (e *Engine) Outdated(newest func(deployment.AdapterName) uint64, inUse func(deployment.AdapterName) bool, now time.Time) (deployment.AdapterName, bool) {
	for name, a := range e.adapters {
		if a.unloadingSince.IsZero() && a.version < newest(name) && !inUse(name) && !now.Before(a.readyAt) {
			return name, true
		}
	}
	return deployment.AdapterName{}, false
}
