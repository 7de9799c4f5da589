package release

import "encoding/json"

// Parts returns the complete state as notes that only add entries, each of at
// most maxBytes as JSON unless a single entry is larger. StateFromParts reverses
// it.
func (s *State) Parts(maxBytes int) ([]Note, error) {
	p := &partitioner{maxBytes: maxBytes, parts: []Note{{}}}
	addEntries(p, &s.adapters, func(n *Note, a Adapter) { n.Adapters = append(n.Adapters, a) })
	addEntries(p, &s.teams, func(n *Note, t Team) { n.Teams = append(n.Teams, t) })
	addEntries(p, &s.keys, func(n *Note, k Key) { n.Keys = append(n.Keys, k) })
	addEntries(p, &s.routes, func(n *Note, r Route) { n.Routes = append(n.Routes, r) })
	addEntries(p, &s.targets, func(n *Note, t Target) { n.Targets = append(n.Targets, t) })
	return p.parts, p.err
}

// StateFromParts returns the state after note number, built from the notes that
// Parts returned, in any order.
func StateFromParts(number uint64, parts []Note) *State {
	b := (&State{}).Builder()
	for _, part := range parts {
		b.add(part)
	}
	b.state.Number = number
	return b.State()
}

// noteOverheadBytes bounds the size of a note as JSON without its entries.
const noteOverheadBytes = 200

// partitioner distributes entries over notes of bounded size.
type partitioner struct {
	maxBytes int
	parts    []Note
	// lastPartBytes is the size of the entries in the last part so far.
	lastPartBytes int
	err           error
}

// addEntries adds all entries of a map to the last part, starting a new part when
// the last one is full.
func addEntries[V any](p *partitioner, entries *orderedMap[V], add func(*Note, V)) {
	for _, entry := range entries.after("") {
		value, err := json.Marshal(entry)
		if err != nil {
			p.err = err
			return
		}
		size := len(value) + 1
		if p.lastPartBytes > 0 && p.lastPartBytes+size+noteOverheadBytes > p.maxBytes {
			p.parts = append(p.parts, Note{})
			p.lastPartBytes = 0
		}
		p.lastPartBytes += size
		add(&p.parts[len(p.parts)-1], entry)
	}
}
