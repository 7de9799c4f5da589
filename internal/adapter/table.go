package adapter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PopularityHalfLife is how long it takes until a past use counts half.
const PopularityHalfLife = 5 * time.Minute

// popularityPerToken is what a token counts beside a request's one.
const popularityPerToken = 1e-5

// maxTrackedAdapters bounds the adapters whose popularity a table remembers
// beyond those that hold a slot.
const maxTrackedAdapters = 8192

// Table is the slot table of one target: which adapters are resident, which
// are being loaded or evicted, which are in use, and how popular each is.
// It always holds that resident, reserved and evicting adapters together take
// at most Slots, and that a pinned adapter is neither a victim nor evicted.
// It is not safe for concurrent use. Slots is set before the first call.
type Table struct {
	// Slots is how many adapters the target holds at once.
	Slots int
	// HalfLife decays popularity; zero takes PopularityHalfLife.
	HalfLife time.Duration
	// Wanted reports whether a queued request waits for an adapter; nil means
	// that none does.
	Wanted func(ID) bool

	entries     map[ID]*entry
	slotted     []*entry
	pinnedUntil time.Time
	// base is the time to which ranks relate.
	base time.Time
}

type slotState uint8

const (
	stateAbsent slotState = iota
	stateReserved
	stateResident
	stateEvicting
)

type entry struct {
	id         ID
	state      slotState
	pins       int
	popularity decayed
	// rank orders entries as their popularity does at any one time.
	rank float64
	used time.Time
	// unused is true from a load until the first request runs on it.
	unused bool
}

// Touch counts a request for an adapter at now, whether it is resident or not.
// A load stalls requests and not tokens, so tokens count little.
func (t *Table) Touch(id ID, now time.Time, tokens int) {
	e := t.entry(id)
	if t.base.IsZero() {
		t.base = now
	}
	e.popularity.add(1+popularityPerToken*float64(tokens), now, t.halfLife())
	e.rank = e.popularity.rank(t.base, t.halfLife())
	e.used = now
	if len(t.entries) > maxTrackedAdapters+t.Slots {
		t.forgetUnpopular()
	}
}

// Popularity returns the decayed number of requests for an adapter.
func (t *Table) Popularity(id ID, now time.Time) float64 {
	e, ok := t.entries[id]
	if !ok {
		return 0
	}
	return e.popularity.at(now, t.halfLife())
}

// Pin marks an adapter as in use by one more request, and reports whether it is
// resident. It changes nothing when the adapter is not resident.
func (t *Table) Pin(id ID) bool {
	e, ok := t.entries[id]
	if !ok || e.state != stateResident {
		return false
	}
	e.pins++
	e.unused = false
	return true
}

// Unpin ends one use. It works after Remove too, since a request can outlive
// the residency of its adapter when an engine restarts.
func (t *Table) Unpin(id ID, now time.Time) {
	e, ok := t.entries[id]
	if !ok || e.pins == 0 {
		return
	}
	e.pins--
	e.used = now
}

// Pinned reports whether a request uses the adapter.
func (t *Table) Pinned(id ID) bool {
	e, ok := t.entries[id]
	return ok && e.pins > 0
}

// Add records that an adapter is resident: after its load, after an eviction
// that failed, or because the target reported it. It returns false when there
// is no slot for it.
func (t *Table) Add(id ID, now time.Time) bool {
	e := t.entry(id)
	if e.state == stateAbsent {
		if t.Free() <= 0 {
			return false
		}
		t.slotted = append(t.slotted, e)
	}
	e.unused = e.state == stateReserved
	e.state = stateResident
	e.used = now
	return true
}

// Remove records that an adapter holds no slot any more, by eviction or
// because the engine lost it.
func (t *Table) Remove(id ID) {
	e, ok := t.entries[id]
	if !ok || e.state == stateAbsent {
		return
	}
	e.state = stateAbsent
	t.slotted = slices.DeleteFunc(t.slotted, func(s *entry) bool { return s == e })
}

// Reserve takes a free slot for a load in flight. It returns false when there
// is none or the adapter holds a slot already.
func (t *Table) Reserve(id ID) bool {
	if t.Free() <= 0 {
		return false
	}
	e := t.entry(id)
	if e.state != stateAbsent {
		return false
	}
	e.state = stateReserved
	t.slotted = append(t.slotted, e)
	return true
}

// CancelReserve frees the slot of a load that failed.
func (t *Table) CancelReserve(id ID) {
	if t.Reserved(id) {
		t.Remove(id)
	}
}

// Reserved reports whether a load of the adapter is in flight.
func (t *Table) Reserved(id ID) bool {
	e, ok := t.entries[id]
	return ok && e.state == stateReserved
}

// BeginEvict takes a resident adapter out of use while the order to evict it is
// on its way. Its slot stays taken until Remove; Add undoes it. It returns false
// when the adapter is pinned, not resident, or nothing may be evicted at now.
func (t *Table) BeginEvict(id ID, now time.Time) bool {
	e, ok := t.entries[id]
	if !ok || e.state != stateResident || e.pins > 0 || now.Before(t.pinnedUntil) {
		return false
	}
	e.state = stateEvicting
	return true
}

// Resident reports whether a request may run on the adapter now.
func (t *Table) Resident(id ID) bool {
	e, ok := t.entries[id]
	return ok && e.state == stateResident
}

// Residents returns the resident adapters, sorted by id.
func (t *Table) Residents() []ID {
	ids := make([]ID, 0, len(t.slotted))
	for _, e := range t.slotted {
		if e.state == stateResident {
			ids = append(ids, e.id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// Free returns the slots that are neither resident, reserved nor evicting.
func (t *Table) Free() int { return t.Slots - len(t.slotted) }

// Victim returns the adapter whose eviction costs least: of those that nobody
// uses, first one that no queued request waits for, then the least popular, then
// the longest unused. An adapter that was loaded for a request still queued is
// never the victim, so each load serves at least one request. It returns false
// when there is none, and until the time given to PinAllUntil.
func (t *Table) Victim(now time.Time) (ID, bool) {
	if now.Before(t.pinnedUntil) {
		return ID{}, false
	}
	var victim *entry
	var lowest evictionCost
	for _, e := range t.slotted {
		if e.state != stateResident || e.pins > 0 {
			continue
		}
		cost := evictionCost{
			wanted: t.Wanted != nil && t.Wanted(e.id),
			rank:   e.rank,
			used:   e.used,
		}
		if cost.wanted && e.unused {
			continue
		}
		if victim == nil || cost.less(lowest) {
			victim, lowest = e, cost
		}
	}
	if victim == nil {
		return ID{}, false
	}
	return victim.id, true
}

// evictionCost orders the candidates of an eviction.
type evictionCost struct {
	wanted bool
	rank   float64
	used   time.Time
}

func (c evictionCost) less(other evictionCost) bool {
	if c.wanted != other.wanted {
		return !c.wanted
	}
	if c.rank != other.rank {
		return c.rank < other.rank
	}
	return c.used.Before(other.used)
}

// PinAllUntil forbids every eviction before a time. A new owner of a target that
// does not check fencing numbers calls it, since requests of the earlier owner
// may still run there.
func (t *Table) PinAllUntil(until time.Time) { t.pinnedUntil = until }

// UnpinAll ends PinAllUntil early, once the target is known to be idle.
func (t *Table) UnpinAll() { t.pinnedUntil = time.Time{} }

func (t *Table) entry(id ID) *entry {
	if e, ok := t.entries[id]; ok {
		return e
	}
	if t.entries == nil {
		t.entries = map[ID]*entry{}
	}
	e := &entry{id: id, rank: math.Inf(-1)}
	t.entries[id] = e
	return e
}

func (t *Table) halfLife() time.Duration {
	if t.HalfLife > 0 {
		return t.HalfLife
	}
	return PopularityHalfLife
}

// forgetUnpopular drops the less popular half of the adapters without a slot.
func (t *Table) forgetUnpopular() {
	var absent []*entry
	for _, e := range t.entries {
		if e.state == stateAbsent && e.pins == 0 {
			absent = append(absent, e)
		}
	}
	slices.SortFunc(absent, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareIDs(a.id, b.id))
	})
	for _, e := range absent[:len(absent)/2] {
		delete(t.entries, e.id)
	}
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}
