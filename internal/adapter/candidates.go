package adapter

import "slices"

// candidates holds the usable targets of one base model. Each member keeps only
// the fields that rendezvous hashing reads, in one contiguous slice, so that a
// scan over hundreds of targets is fast. Invariant: loadSum is the sum of the
// members' loads.
type candidates struct {
	members []candidate
	loadSum int64
}

// candidate is a usable target as rendezvous hashing sees it.
type candidate struct {
	// hash is the hash of the target's id.
	hash uint64
	// load is the result of targetState.load, in tokens.
	load int64
	// index is the target's position in View.targets.
	index int32
}

// addCandidate adds a target to the candidates of its base model if it is usable.
func (v *View) addCandidate(i int32) {
	s := &v.targets[i]
	if !s.Usable {
		return
	}
	c, ok := v.candidatesByModel[s.BaseModel]
	if !ok {
		c = &candidates{}
		v.candidatesByModel[s.BaseModel] = c
	}
	load := s.load()
	c.members = append(c.members, candidate{hash: s.hash, load: load, index: i})
	c.loadSum += load
}

// removeCandidate removes a target from the candidates of its base model.
func (v *View) removeCandidate(i int32) {
	model := v.targets[i].BaseModel
	c, position := v.findCandidate(i)
	if position < 0 {
		return
	}
	c.loadSum -= c.members[position].load
	c.members = slices.Delete(c.members, position, position+1)
	if len(c.members) == 0 {
		delete(v.candidatesByModel, model)
	}
}

// updateCandidateLoad recomputes the load of a target's candidate entry.
func (v *View) updateCandidateLoad(i int32) {
	c, position := v.findCandidate(i)
	if position < 0 {
		return
	}
	load := v.targets[i].load()
	c.loadSum += load - c.members[position].load
	c.members[position].load = load
}

// findCandidate returns the candidates of a target's base model and the target's
// position among them, or -1 if it is not a candidate.
func (v *View) findCandidate(i int32) (*candidates, int) {
	c, ok := v.candidatesByModel[v.targets[i].BaseModel]
	if !ok {
		return nil, -1
	}
	return c, slices.IndexFunc(c.members, func(m candidate) bool { return m.index == i })
}

// indexOf returns the index of a target in View.targets, or -1 if it is unknown.
func (v *View) indexOf(targetID string) int32 {
	if targetID == "" {
		return -1
	}
	if i, ok := v.byID[targetID]; ok {
		return i
	}
	return -1
}
