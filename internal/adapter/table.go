package adapter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PopularityHalfLife is the default time in which a use's contribution to an
// adapter's popularity halves.
const PopularityHalfLife = 5 * time.Minute

// popularityTokenWeight is the contribution of one token to an adapter's
// popularity; a request contributes 1.
const popularityTokenWeight = 1e-5

// maxTrackedAdapters is the number of adapters, in addition to Slots, whose
// popularity a table tracks.
const maxTrackedAdapters = 8192

// Table is the adapter slot table of one target: which adapters are resident,
// which are being loaded or evicted, which are in use, and how popular each is.
// Invariants: resident, reserved and evicting adapters together occupy at most
// Slots slots, and a pinned adapter is never a victim and never evicted.
// It is not safe for concurrent use. Slots must be set before the first call.
type Table struct {
	// Slots is the number of adapters that the target can hold at once.
	Slots int
	// HalfLife is the half-life of popularity; zero means PopularityHalfLife.
	HalfLife time.Duration
	// HasWaiters reports whether a queued request waits for an adapter; nil means that
	// none does.
	HasWaiters func(ID) bool

	entries map[ID]*entry
	// occupants are the entries that hold a slot.
	occupants               []*entry
	evictionsForbiddenUntil time.Time
	// rankBase is the time for which the ranks of all entries are computed.
	rankBase time.Time
}

// slotState is how an adapter uses a slot.
type slotState uint8

const (
	stateAbsent   slotState = iota // holds no slot
	stateReserved                  // its load is in flight
	stateResident
	stateEvicting // its eviction is in flight
)

// entry is an adapter that holds a slot or whose popularity is tracked.
type entry struct {
	id         ID
	state      slotState
	pins       int
	popularity decayingSum
	// rank is the logarithm of the popularity at Table.rankBase. It orders entries
	// by popularity at any time without computing their decay.
	rank     float64
	lastUsed time.Time
	// unusedSinceLoad is set from the end of a load until the first request pins
	// the adapter.
	unusedSinceLoad bool
}

// Touch records a request for an adapter, resident or not, in its popularity.
// Tokens contribute little, since a load delays requests regardless of their size.
func (t *Table) Touch(id ID, now time.Time, tokens int) {
	e := t.entryFor(id)
	if t.rankBase.IsZero() {
		t.rankBase = now
	}
	e.popularity.add(1+popularityTokenWeight*float64(tokens), now, t.halfLife())
	e.rank = e.popularity.logValueAt(t.rankBase, t.halfLife())
	e.lastUsed = now
	if len(t.entries) > maxTrackedAdapters+t.Slots {
		t.dropUnpopular()
	}
}

// Popularity returns the popularity of an adapter as of now: the decayed number
// of its requests, plus a small contribution of their tokens.
func (t *Table) Popularity(id ID, now time.Time) float64 {
	e, ok := t.entries[id]
	if !ok {
		return 0
	}
	return e.popularity.valueAt(now, t.halfLife())
}

// Pin marks a resident adapter as in use by one more request. It returns false
// and does nothing if the adapter is not resident.
func (t *Table) Pin(id ID) bool {
	e, ok := t.entries[id]
	if !ok || e.state != stateResident {
		return false
	}
	e.pins++
	e.unusedSinceLoad = false
	return true
}

// Unpin ends one use of an adapter. It also works after Remove, since a request
// can outlive the residency of its adapter when an engine restarts.
func (t *Table) Unpin(id ID, now time.Time) {
	e, ok := t.entries[id]
	if !ok || e.pins == 0 {
		return
	}
	e.pins--
	e.lastUsed = now
}

// Pinned reports whether any request uses the adapter.
func (t *Table) Pinned(id ID) bool {
	e, ok := t.entries[id]
	return ok && e.pins > 0
}

// Add records that an adapter is resident: after its load, after a failed
// eviction, or because the target reported it. It returns false if the adapter
// holds no slot and none is free.
func (t *Table) Add(id ID, now time.Time) bool {
	e := t.entryFor(id)
	if e.state == stateAbsent {
		if t.Free() <= 0 {
			return false
		}
		t.occupants = append(t.occupants, e)
	}
	e.unusedSinceLoad = e.state == stateReserved
	e.state = stateResident
	e.lastUsed = now
	return true
}

// Remove records that an adapter no longer holds a slot, because it was evicted
// or the engine lost it.
func (t *Table) Remove(id ID) {
	e, ok := t.entries[id]
	if !ok || e.state == stateAbsent {
		return
	}
	e.state = stateAbsent
	t.occupants = slices.DeleteFunc(t.occupants, func(s *entry) bool { return s == e })
}

// Reserve reserves a free slot for a load. It returns false if none is free or
// the adapter already holds a slot.
func (t *Table) Reserve(id ID) bool {
	if t.Free() <= 0 {
		return false
	}
	e := t.entryFor(id)
	if e.state != stateAbsent {
		return false
	}
	e.state = stateReserved
	t.occupants = append(t.occupants, e)
	return true
}

// CancelReserve frees the slot that was reserved for a load that failed.
func (t *Table) CancelReserve(id ID) {
	if t.Reserved(id) {
		t.Remove(id)
	}
}

// Reserved reports whether a slot is reserved for a load of the adapter.
func (t *Table) Reserved(id ID) bool {
	e, ok := t.entries[id]
	return ok && e.state == stateReserved
}

// BeginEvict marks a resident adapter as evicting, so that no request runs on it
// while the unload order is in flight. Its slot stays occupied until Remove; Add
// reverts it to resident. It returns false if the adapter is pinned or not
// resident, or if evictions are forbidden at now.
func (t *Table) BeginEvict(id ID, now time.Time) bool {
	e, ok := t.entries[id]
	if !ok || e.state != stateResident || e.pins > 0 || now.Before(t.evictionsForbiddenUntil) {
		return false
	}
	e.state = stateEvicting
	return true
}

// Resident reports whether the adapter is resident and not being evicted, so that
// a request may run on it.
func (t *Table) Resident(id ID) bool {
	e, ok := t.entries[id]
	return ok && e.state == stateResident
}

// Residents returns the resident adapters, sorted by id.
func (t *Table) Residents() []ID {
	ids := make([]ID, 0, len(t.occupants))
	for _, e := range t.occupants {
		if e.state == stateResident {
			ids = append(ids, e.id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// Free returns the number of slots that no resident, reserved or evicting adapter
// occupies.
func (t *Table) Free() int { return t.Slots - len(t.occupants) }

// Victim returns the adapter to evict next. Among the resident adapters that are
// not pinned it prefers one that no queued request waits for, then the least
// popular, then the least recently used. An adapter that queued requests wait for
// and that has not been used since its load is never the victim, so that a load
// serves at least one of them. It returns false if there is no victim or if
// evictions are forbidden at now.
func (t *Table) Victim(now time.Time) (ID, bool) {
	if now.Before(t.evictionsForbiddenUntil) {
		return ID{}, false
	}
	var victim *entry
	var lowest evictionCost
	for _, e := range t.occupants {
		if e.state != stateResident || e.pins > 0 {
			continue
		}
		cost := evictionCost{
			hasWaiters: t.HasWaiters != nil && t.HasWaiters(e.id),
			rank:       e.rank,
			lastUsed:   e.lastUsed,
		}
		if cost.hasWaiters && e.unusedSinceLoad {
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

// evictionCost is the sort key of eviction candidates; the least is evicted first.
type evictionCost struct {
	hasWaiters bool
	rank       float64
	lastUsed   time.Time
}

func (c evictionCost) less(other evictionCost) bool {
	if c.hasWaiters != other.hasWaiters {
		return !c.hasWaiters
	}
	if c.rank != other.rank {
		return c.rank < other.rank
	}
	return c.lastUsed.Before(other.lastUsed)
}

// ForbidEvictionsUntil forbids all evictions before a time, for example after a
// change of owner, while requests of the previous owner may still run on the target.
func (t *Table) ForbidEvictionsUntil(until time.Time) { t.evictionsForbiddenUntil = until }

// PermitEvictions permits evictions again at once, for example when the target is
// known to be idle.
func (t *Table) PermitEvictions() { t.evictionsForbiddenUntil = time.Time{} }

// entryFor returns the entry of an adapter, and creates it if needed.
func (t *Table) entryFor(id ID) *entry {
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

// dropUnpopular stops tracking the less popular half of the adapters that hold no
// slot and are not pinned.
func (t *Table) dropUnpopular() {
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
