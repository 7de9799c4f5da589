package adapter

import "slices"

// candidates are the usable targets of one base model. What the hash decision
// reads of each stands together, so that it scans hundreds of them quickly. It
// always holds that loadSum is the sum of the members' loads.
type candidates struct {
	members []candidate
	loadSum int64
}

type candidate struct {
	hash uint64
	// load is in tokens, as targetState.load gives it.
	load  int64
	index int32
}

// list makes a target a candidate if it is usable.
func (v *View) list(i int32) {
	s := &v.targets[i]
	if !s.Usable {
		return
	}
	c, ok := v.models[s.BaseModel]
	if !ok {
		c = &candidates{}
		v.models[s.BaseModel] = c
	}
	load := s.load()
	c.members = append(c.members, candidate{hash: s.hash, load: load, index: i})
	c.loadSum += load
}

// unlist takes a target out of the candidates.
func (v *View) unlist(i int32) {
	model := v.targets[i].BaseModel
	c, at := v.find(i)
	if at < 0 {
		return
	}
	c.loadSum -= c.members[at].load
	c.members = slices.Delete(c.members, at, at+1)
	if len(c.members) == 0 {
		delete(v.models, model)
	}
}

// relist brings a candidate's load up to date.
func (v *View) relist(i int32) {
	c, at := v.find(i)
	if at < 0 {
		return
	}
	load := v.targets[i].load()
	c.loadSum += load - c.members[at].load
	c.members[at].load = load
}

// find returns the candidates that hold a target and its place, or -1.
func (v *View) find(i int32) (*candidates, int) {
	c, ok := v.models[v.targets[i].BaseModel]
	if !ok {
		return nil, -1
	}
	return c, slices.IndexFunc(c.members, func(m candidate) bool { return m.index == i })
}

// indexOf returns the index of a target, or -1.
func (v *View) indexOf(targetID string) int32 {
	if targetID == "" {
		return -1
	}
	if i, ok := v.byID[targetID]; ok {
		return i
	}
	return -1
}
