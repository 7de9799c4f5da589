package adapter

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// prefixSlots is how many recent prompt prefixes a view remembers per target.
const prefixSlots = 64

// TargetInfo describes one target as its owner reports it.
type TargetInfo struct {
	ID        string
	Zone      string
	BaseModel string
	// Slots is how many adapters it holds.
	Slots int
	// Capacity is how many requests it batches.
	Capacity int
	// Usable is false on a target that is leaving, cold or without an owner.
	Usable bool
}

// TargetLoad is how busy a target is, as it rides on answers.
type TargetLoad struct {
	// QueuedTokens is the cost of the requests that wait there.
	QueuedTokens int
	// Running is the requests in its batch.
	Running int
	// Capacity is how many requests it batches; zero leaves the earlier value.
	Capacity int
}

// View is what one instance knows of the targets it may choose from: their
// state, their load and which adapters are resident where. It lags behind the
// owners; a wrong view costs time and never correctness, since the owner decides
// what runs. It always holds that the index of residents agrees with the targets.
// It is not safe for concurrent use. The zero value is ready for use.
type View struct {
	targets  []targetState
	free     []int32
	byID     map[string]int32
	resident map[ID][]int32
	models   map[string]*candidates
}

type targetState struct {
	TargetInfo
	TargetLoad
	hash      uint64
	residents []ID
	// sentTokens and sentRequests were sent since the last load report.
	sentTokens   int
	sentRequests int
	prefixes     [prefixSlots]uint64
}

// Set adds a target or replaces what is known of it but for residents and load.
func (v *View) Set(info TargetInfo) {
	if i, ok := v.byID[info.ID]; ok {
		v.unlist(i)
		v.targets[i].TargetInfo = info
		v.setCapacity(i, info.Capacity)
		v.list(i)
		return
	}
	if v.byID == nil {
		v.byID = map[string]int32{}
		v.resident = map[ID][]int32{}
		v.models = map[string]*candidates{}
	}
	i := v.allocate()
	v.targets[i] = targetState{TargetInfo: info, hash: xxhash.Sum64String(info.ID)}
	v.setCapacity(i, info.Capacity)
	v.byID[info.ID] = i
	v.list(i)
}

// SetResident replaces the resident adapters of a target; an unknown target is ignored.
func (v *View) SetResident(targetID string, ids []ID) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	v.dropResidents(i)
	v.targets[i].residents = append(v.targets[i].residents[:0], ids...)
	for _, id := range ids {
		v.resident[id] = append(v.resident[id], i)
	}
}

// AddResident records one more resident adapter of a target.
func (v *View) AddResident(targetID string, id ID) {
	i, ok := v.byID[targetID]
	if !ok || slices.Contains(v.resident[id], i) {
		return
	}
	v.targets[i].residents = append(v.targets[i].residents, id)
	v.resident[id] = append(v.resident[id], i)
}

// RemoveResident records that an adapter left a target.
func (v *View) RemoveResident(targetID string, id ID) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	s := &v.targets[i]
	s.residents = slices.DeleteFunc(s.residents, func(r ID) bool { return r == id })
	v.dropResident(i, id)
}

// SetLoad replaces the load of a target and forgets what was sent since the last one.
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
	s.sentTokens, s.sentRequests = 0, 0
	v.relist(i)
}

// Sent counts a request on its way to a target until the next load report, so
// that requests in a row do not all see the same short queue. It also remembers
// the prefix for affinity.
func (v *View) Sent(targetID string, tokens int, prefix uint64) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	s := &v.targets[i]
	s.sentTokens += tokens
	s.sentRequests++
	if prefix != 0 {
		s.prefixes[prefix%prefixSlots] = prefix
	}
	v.relist(i)
}

// RemoveTarget forgets a target.
func (v *View) RemoveTarget(targetID string) {
	i, ok := v.byID[targetID]
	if !ok {
		return
	}
	v.dropResidents(i)
	v.unlist(i)
	delete(v.byID, targetID)
	v.targets[i] = targetState{}
	v.free = append(v.free, i)
}

// Target returns what is known of a target.
func (v *View) Target(targetID string) (TargetInfo, TargetLoad, bool) {
	i, ok := v.byID[targetID]
	if !ok {
		return TargetInfo{}, TargetLoad{}, false
	}
	return v.targets[i].TargetInfo, v.targets[i].TargetLoad, true
}

// Copies returns on how many targets an adapter is resident.
func (v *View) Copies(id ID) int { return len(v.resident[id]) }

// Holds reports whether an adapter is resident on a target.
func (v *View) Holds(targetID string, id ID) bool {
	i, ok := v.byID[targetID]
	return ok && slices.Contains(v.resident[id], i)
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.byID) }

func (v *View) allocate() int32 {
	if n := len(v.free); n > 0 {
		i := v.free[n-1]
		v.free = v.free[:n-1]
		return i
	}
	v.targets = append(v.targets, targetState{})
	return int32(len(v.targets) - 1)
}

func (v *View) setCapacity(i int32, capacity int) {
	if capacity > 0 {
		v.targets[i].TargetLoad.Capacity = capacity
	}
}

func (v *View) dropResidents(i int32) {
	s := &v.targets[i]
	for _, id := range s.residents {
		v.dropResident(i, id)
	}
	s.residents = s.residents[:0]
}

func (v *View) dropResident(i int32, id ID) {
	left := slices.DeleteFunc(v.resident[id], func(j int32) bool { return j == i })
	if len(left) == 0 {
		delete(v.resident, id)
		return
	}
	v.resident[id] = left
}
