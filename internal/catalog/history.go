package catalog

import (
	"maps"
	"slices"
)

// maxHistory bounds the objects of which a history remembers the last change.
const maxHistory = 4096

// history remembers at which revision each object of a replica last changed, so that a
// peer whose replica is older can be sent the changed ones. It covers the changes after
// the revision from.
type history struct {
	from      uint64
	changedAt map[string]uint64
}

// restart drops everything, and covers what changes after a revision.
func (h *history) restart(from uint64) {
	h.from, h.changedAt = from, map[string]uint64{}
}

// record records that an object changed, or was deleted, at a revision.
func (h *history) record(name string, revision uint64) {
	if h.changedAt == nil {
		h.changedAt = map[string]uint64{}
	}
	h.changedAt[name] = max(h.changedAt[name], revision)
	if len(h.changedAt) > maxHistory {
		h.dropOldest()
	}
}

// dropOldest drops the older half of the changes.
func (h *history) dropOldest() {
	revisions := slices.Sorted(maps.Values(h.changedAt))
	h.from = revisions[len(revisions)/2]
	maps.DeleteFunc(h.changedAt, func(_ string, revision uint64) bool { return revision <= h.from })
}

func (h *history) clone() history { return history{from: h.from, changedAt: maps.Clone(h.changedAt)} }
