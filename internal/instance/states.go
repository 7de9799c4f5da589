package instance

import (
	"slices"
	"sync"

	"heatherrelay/internal/adapter"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// Publication of this instance's target states to the peers of its zone: each
// change gets a sequence number, and a peer is sent what changed since the
// number that it has, or everything if it has none of this epoch.

// StateLog numbers the changes of this instance's target states. It is safe for
// concurrent use.
type StateLog struct {
	// Epoch is the instance's incarnation; a new one makes peers start over.
	Epoch string
	// States returns the present states.
	States func() []OwnedState
	// Release returns the release note in force.
	Release func() uint64
	// Leaving says that this instance is shutting down.
	Leaving func() bool

	mu       sync.Mutex
	sequence uint64
	entries  map[string]*stateEntry
}

type stateEntry struct {
	sequence uint64
	version  uint64
	fencing  uint64
	owned    bool
	removed  bool
}

// Since returns what changed after a peer's sequence number. Loads are sent for
// all targets owned, since they change all the time.
func (l *StateLog) Since(epoch string, sequence uint64) *v1.SyncTargetsResponse {
	states := l.States()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(states)
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

// update numbers what changed since the last call. The caller holds mu.
func (l *StateLog) update(states []OwnedState) {
	if l.entries == nil {
		l.entries = map[string]*stateEntry{}
	}
	present := make(map[string]bool, len(states))
	for _, s := range states {
		present[s.Entry.ID] = true
		now := stateEntry{version: s.Snapshot.Version, fencing: s.Fencing, owned: s.Owned}
		e, ok := l.entries[s.Entry.ID]
		if ok && e.version == now.version && e.fencing == now.fencing && e.owned == now.owned && !e.removed {
			continue
		}
		l.sequence++
		now.sequence = l.sequence
		l.entries[s.Entry.ID] = &now
	}
	for id, e := range l.entries {
		if !present[id] && !e.removed {
			l.sequence++
			e.sequence = l.sequence
			e.removed = true
		}
	}
}

// stateToMessage leaves out the adapters when they did not change.
func stateToMessage(s OwnedState, changed bool) *v1.TargetState {
	m := &v1.TargetState{
		TargetId:  s.Entry.ID,
		Fencing:   s.Fencing,
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

func idsFromStrings(names []string) []adapter.ID {
	ids := make([]adapter.ID, 0, len(names))
	for _, name := range names {
		if id, err := adapter.ParseID(name); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// peerStates is what one peer has told of its targets.
type peerStates struct {
	epoch    string
	sequence uint64
	targets  map[string]*v1.TargetState
}

// apply takes a sync answer and returns the ids of the targets that it touched.
func (p *peerStates) apply(m *v1.SyncTargetsResponse) []string {
	var touched []string
	if m.GetFull() || p.targets == nil {
		for id := range p.targets {
			touched = append(touched, id)
		}
		p.targets = map[string]*v1.TargetState{}
	}
	p.epoch = m.GetEpoch()
	p.sequence = m.GetSequence()
	for _, t := range m.GetTargets() {
		touched = append(touched, t.GetTargetId())
		if t.GetRemoved() {
			delete(p.targets, t.GetTargetId())
			continue
		}
		if before, ok := p.targets[t.GetTargetId()]; ok && t.GetUnchanged() {
			t.Resident = before.GetResident()
			t.InUse = before.GetInUse()
		}
		p.targets[t.GetTargetId()] = t
	}
	slices.Sort(touched)
	return slices.Compact(touched)
}

func infoOf(zone string, t *v1.TargetState) adapter.TargetInfo {
	return adapter.TargetInfo{
		ID:        t.GetTargetId(),
		Zone:      zone,
		BaseModel: t.GetBaseModel(),
		Slots:     int(t.GetSlots()),
		Capacity:  int(t.GetLoad().GetCapacity()),
		Usable:    t.GetUsable(),
	}
}

func loadOf(t *v1.TargetState) adapter.TargetLoad {
	return adapter.TargetLoad{
		QueuedTokens: int(t.GetLoad().GetQueuedTokens()),
		Running:      int(t.GetLoad().GetRunning()),
		Capacity:     int(t.GetLoad().GetCapacity()),
	}
}
