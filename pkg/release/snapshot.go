package release

import "encoding/json"

// Parts returns the whole state as notes that only add, each of at most
// maxBytes as JSON unless a single entry is larger. FromParts reverses it.
func (s *State) Parts(maxBytes int) ([]Note, error) {
	p := &partition{maxBytes: maxBytes, parts: []Note{{}}}
	split(p, &s.adapters, func(n *Note, a Adapter) { n.Adapters = append(n.Adapters, a) })
	split(p, &s.teams, func(n *Note, t Team) { n.Teams = append(n.Teams, t) })
	split(p, &s.keys, func(n *Note, k Key) { n.Keys = append(n.Keys, k) })
	split(p, &s.routes, func(n *Note, r Route) { n.Routes = append(n.Routes, r) })
	split(p, &s.targets, func(n *Note, t Target) { n.Targets = append(n.Targets, t) })
	return p.parts, p.err
}

// FromParts returns the state after note number, given as the notes of Parts in
// any order.
func FromParts(number uint64, parts []Note) *State {
	b := (&State{}).Builder()
	for _, part := range parts {
		b.add(part)
	}
	b.state.Number = number
	return b.State()
}

// frameBytes covers what a note holds as JSON beside its entries.
const frameBytes = 200

// partition spreads entries over notes of bounded size.
type partition struct {
	maxBytes int
	parts    []Note
	// bytes is the size of the last part so far.
	bytes int
	err   error
}

func split[V any](p *partition, entries *ordered[V], add func(*Note, V)) {
	for _, entry := range entries.after("") {
		value, err := json.Marshal(entry)
		if err != nil {
			p.err = err
			return
		}
		size := len(value) + 1
		if p.bytes > 0 && p.bytes+size+frameBytes > p.maxBytes {
			p.parts = append(p.parts, Note{})
			p.bytes = 0
		}
		p.bytes += size
		add(&p.parts[len(p.parts)-1], entry)
	}
}
