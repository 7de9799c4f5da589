package instance

import (
	"slices"
	"sync"

	"heatherrelay/internal/adapter"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// This file publishes the states of this instance's targets to the peers of its
// zone. Each change gets a sequence number. A peer receives the changes after the
// number it sends, or all states if that number belongs to another epoch.

// StateLog assigns sequence numbers to the changes of this instance's target
// states. It is safe for concurrent use.
type StateLog struct {
	// Epoch is the incarnation of this instance. Peers that sent another epoch
	// receive all states.
	Epoch string
	// States returns the current states.
	States func() []OwnedState
	// Release returns the number of the release in force.
	Release func() uint64
	// Leaving reports whether this instance is shutting down.
	Leaving func() bool

	mu       sync.Mutex
	sequence uint64
	entries  map[string]*stateEntry
}

// stateEntry is the published state of a target, with the sequence number of its
// last change.
type stateEntry struct {
	sequence      uint64
	version       uint64
	fencingNumber uint64
	owned         bool
	removed       bool
}

// ChangesSince returns the changes after a peer's sequence number. Every target
// is included with its load, because loads change constantly.
func (l *StateLog) ChangesSince(epoch string, sequence uint64) *v1.SyncTargetsResponse {
	states := l.States()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordChanges(states)
	full := epoch != l.Epoch
	response := &v1.SyncTargetsResponse{
		Epoch:    l.Epoch,
		Sequence: l.sequence,
		Full:     full,
		Release:  l.Release(),
		Leaving:  l.Leaving(),
	}
	for _, s := range states {
		changed := full || l.entries[s.Entry.ID].sequence > sequence
		response.Targets = append(response.Targets, stateToMessage(s, changed))
	}
	for id, e := range l.entries {
		if e.removed && !full && e.sequence > sequence {
			response.Targets = append(response.Targets, &v1.TargetState{TargetId: id, Removed: true})
		}
	}
	return response
}

// recordChanges assigns sequence numbers to the changes since the last call. The
// caller holds mu.
func (l *StateLog) recordChanges(states []OwnedState) {
	if l.entries == nil {
		l.entries = map[string]*stateEntry{}
	}
	present := make(map[string]bool, len(states))
	for _, s := range states {
		present[s.Entry.ID] = true
		current := stateEntry{version: s.Snapshot.Version, fencingNumber: s.FencingNumber, owned: s.Owned}
		e, ok := l.entries[s.Entry.ID]
		if ok && e.version == current.version && e.fencingNumber == current.fencingNumber && e.owned == current.owned && !e.removed {
			continue
		}
		l.sequence++
		current.sequence = l.sequence
		l.entries[s.Entry.ID] = &current
	}
	for id, e := range l.entries {
		if !present[id] && !e.removed {
			l.sequence++
			e.sequence = l.sequence
			e.removed = true
		}
	}
}

// stateToMessage converts a state to its message. The resident and used adapters
// are included only if the state changed.
func stateToMessage(s OwnedState, changed bool) *v1.TargetState {
	m := &v1.TargetState{
		TargetId:  s.Entry.ID,
		Fencing:   s.FencingNumber,
		Owned:     s.Owned,
		Usable:    s.Owned && s.Snapshot.Usable,
		Slots:     int64(s.Snapshot.Slots),
		BaseModel: s.Entry.BaseModel,
		Unchanged: !changed,
		Load: &v1.LoadHint{
			TargetId:     s.Entry.ID,
			QueuedTokens: int64(s.Snapshot.QueuedTokens),
			Running:      int64(s.Snapshot.Running),
			Capacity:     int64(s.Snapshot.Capacity),
		},
	}
	if changed {
		m.Resident = idsToStrings(s.Snapshot.Residents)
		m.InUse = idsToStrings(s.Snapshot.InUse)
	}
	return m
}

func idsToStrings(ids []adapter.ID) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, id.String())
	}
	return names
}

// idsFromStrings parses adapter IDs and skips those that are not valid.
func idsFromStrings(names []string) []adapter.ID {
	ids := make([]adapter.ID, 0, len(names))
	for _, name := range names {
		if id, err := adapter.ParseID(name); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// peerTargets holds the target states received from one peer, by target ID, and
// the epoch and sequence number to request the next changes with.
type peerTargets struct {
	epoch    string
	sequence uint64
	targets  map[string]*v1.TargetState
}

// apply applies a sync response and returns the sorted IDs of the targets that it
// changes or removes.
func (p *peerTargets) apply(m *v1.SyncTargetsResponse) []string {
	var changed []string
	if m.GetFull() || p.targets == nil {
		for id := range p.targets {
			changed = append(changed, id)
		}
		p.targets = map[string]*v1.TargetState{}
	}
	p.epoch = m.GetEpoch()
	p.sequence = m.GetSequence()
	for _, t := range m.GetTargets() {
		changed = append(changed, t.GetTargetId())
		if t.GetRemoved() {
			delete(p.targets, t.GetTargetId())
			continue
		}
		if previous, ok := p.targets[t.GetTargetId()]; ok && t.GetUnchanged() {
			t.Resident = previous.GetResident()
			t.InUse = previous.GetInUse()
		}
		p.targets[t.GetTargetId()] = t
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

func targetInfo(zone string, t *v1.TargetState) adapter.TargetInfo {
	return adapter.TargetInfo{
		ID:        t.GetTargetId(),
		Zone:      zone,
		BaseModel: t.GetBaseModel(),
		Slots:     int(t.GetSlots()),
		Capacity:  int(t.GetLoad().GetCapacity()),
		Usable:    t.GetUsable(),
	}
}

func targetLoad(t *v1.TargetState) adapter.TargetLoad {
	return adapter.TargetLoad{
		QueuedTokens: int(t.GetLoad().GetQueuedTokens()),
		Running:      int(t.GetLoad().GetRunning()),
		Capacity:     int(t.GetLoad().GetCapacity()),
	}
}
