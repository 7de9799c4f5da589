package adapter

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// prefixesPerTarget is how many recent prompt prefixes a view keeps for each
// target, in a direct-mapped table.
const prefixesPerTarget = 64

// TargetInfo describes one target as its owner reports it.
type TargetInfo struct {
	ID        string
	Zone      string
	BaseModel string
	// Slots is the number of adapters that it can hold at once.
	Slots int
	// Capacity is its maximum batch size, in requests.
	Capacity int
	// Usable is false if the target is leaving, not yet ready or without an owner.
	Usable bool
}

// TargetLoad describes how busy a target is, as last reported.
type TargetLoad struct {
	// QueuedTokens is the cost of its queued requests, in tokens.
	QueuedTokens int
	// Running is the number of requests in its batch.
	Running int
	// Capacity is its maximum batch size, in requests; zero keeps the previous value.
	Capacity int
}

// View is an instance's replica of the state of the targets it may choose from:
// their description, load and resident adapters. It lags behind the targets'
// owners. A stale view costs time but not correctness, since the owner decides what
// runs. Invariant: targetsByAdapter agrees with the residents of the targets.
// It is not safe for concurrent use. The zero value is ready for use.
type View struct {
	targets []targetState
	// freeIndexes are the unused positions of targets.
	freeIndexes []int32
	// byID and targetsByAdapter hold indexes into targets.
	byID              map[string]int32
	targetsByAdapter  map[ID][]int32
	candidatesByModel map[string]*candidates
}

// targetState is a view's state of one target.
type targetState struct {
	TargetInfo
	TargetLoad
	// hash is the hash of the target's id, for rendezvous hashing.
	hash      uint64
	residents []ID
	// unreportedTokens and unreportedRequests count what was sent to the target
	// since its last load report.
	unreportedTokens   int
	unreportedRequests int
	// prefixes holds recent prefix hashes, each at its value modulo the length.
	prefixes [prefixesPerTarget]uint64
}

// SetTarget adds a target or replaces its description; an existing target keeps its
// residents and load.
func (v *View) SetTarget(info TargetInfo) {
	if i, ok := v.byID[info.ID]; ok {
		v.removeCandidate(i)
		v.targets[i].TargetInfo = info
		v.setCapacity(i, info.Capacity)
		v.addCandidate(i)
		return
	}
	if v.byID == nil {
		v.byID = map[string]int32{}
		v.targetsByAdapter = map[ID][]int32{}
		v.candidatesByModel = map[string]*candidates{}
	}
	i := v.allocateIndex()
	v.targets[i] = targetState{TargetInfo: info, hash: xxhash.Sum64String(info.ID)}
	v.setCapacity(i, info.Capacity)
	v.byID[info.ID] = i
	v.addCandidate(i)
}

// SetResident replaces the resident adapters of a target. An unknown target is
// ignored.
func (v *View) SetResident(targetID string, ids []ID) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	v.clearResidents(i)
	v.targets[i].residents = append(v.targets[i].residents[:0], ids...)
	for _, id := range ids {
		v.targetsByAdapter[id] = append(v.targetsByAdapter[id], i)
	}
}

// AddResident records that an adapter became resident on a target. An unknown
// target is ignored.
func (v *View) AddResident(targetID string, id ID) {
	i, ok := v.byID[targetID]
	if !ok || slices.Contains(v.targetsByAdapter[id], i) {
		return
	}
	v.targets[i].residents = append(v.targets[i].residents, id)
	v.targetsByAdapter[id] = append(v.targetsByAdapter[id], i)
}

// RemoveResident records that an adapter was unloaded from a target.
func (v *View) RemoveResident(targetID string, id ID) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	s := &v.targets[i]
	s.residents = slices.DeleteFunc(s.residents, func(r ID) bool { return r == id })
	v.unindexResident(i, id)
}

// SetLoad replaces the load of a target and resets the counts of requests sent
// since the previous report.
func (v *View) SetLoad(targetID string, load TargetLoad) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	s := &v.targets[i]
	capacity := s.TargetLoad.Capacity
	s.TargetLoad = load
	s.TargetLoad.Capacity = capacity
	v.setCapacity(i, load.Capacity)
	s.unreportedTokens, s.unreportedRequests = 0, 0
	v.updateCandidateLoad(i)
}

// RecordAttempt records a request that is being sent to a target. It counts towards
// the target's load until the next load report, so that successive requests do not
// all see the same short queue. Prefix is the hash of the prompt's prefix, which is
// recorded for prefix affinity; zero means none.
func (v *View) RecordAttempt(targetID string, tokens int, prefix uint64) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	s := &v.targets[i]
	s.unreportedTokens += tokens
	s.unreportedRequests++
	if prefix != 0 {
		s.prefixes[prefix%prefixesPerTarget] = prefix
	}
	v.updateCandidateLoad(i)
}

// RemoveTarget removes a target.
func (v *View) RemoveTarget(targetID string) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	v.clearResidents(i)
	v.removeCandidate(i)
	delete(v.byID, targetID)
	v.targets[i] = targetState{}
	v.freeIndexes = append(v.freeIndexes, i)
}

// Target returns the description and the last reported load of a target, or false
// if it is unknown.
func (v *View) Target(targetID string) (TargetInfo, TargetLoad, bool) {
	i, ok := v.byID[targetID]
	if !ok {
		return TargetInfo{}, TargetLoad{}, false
	}
	return v.targets[i].TargetInfo, v.targets[i].TargetLoad, true
}

// CopyCount returns the number of targets on which an adapter is resident.
func (v *View) CopyCount(id ID) int { return len(v.targetsByAdapter[id]) }

// IsResident reports whether an adapter is resident on a target.
func (v *View) IsResident(targetID string, id ID) bool {
	i, ok := v.byID[targetID]
	return ok && slices.Contains(v.targetsByAdapter[id], i)
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.byID) }

// allocateIndex returns an unused index into targets.
func (v *View) allocateIndex() int32 {
	if n := len(v.freeIndexes); n > 0 {
		i := v.freeIndexes[n-1]
		v.freeIndexes = v.freeIndexes[:n-1]
		return i
	}
	v.targets = append(v.targets, targetState{})
	return int32(len(v.targets) - 1)
}

// setCapacity sets the batch capacity of a target unless it is zero.
func (v *View) setCapacity(i int32, capacity int) {
	if capacity > 0 {
		v.targets[i].TargetLoad.Capacity = capacity
	}
}

// clearResidents removes all resident adapters of a target.
func (v *View) clearResidents(i int32) {
	s := &v.targets[i]
	for _, id := range s.residents {
		v.unindexResident(i, id)
	}
	s.residents = s.residents[:0]
}

// unindexResident removes a target from an adapter's index entry.
func (v *View) unindexResident(i int32, id ID) {
	remaining := slices.DeleteFunc(v.targetsByAdapter[id], func(j int32) bool { return j == i })
	if len(remaining) == 0 {
		delete(v.targetsByAdapter, id)
		return
	}
	v.targetsByAdapter[id] = remaining
}
