package release

// Builder applies many notes in a row. It changes in place what it has copied
// once, so that a replay of a long history costs little per note. It is not
// safe for concurrent use.
type Builder struct {
	state       State
	edit        *edit
	routesDirty bool
}

// Builder returns a builder that starts from s and leaves s as it is.
func (s *State) Builder() *Builder {
	return &Builder{state: *s, edit: &edit{}}
}

// Number returns the last note applied.
func (b *Builder) Number() uint64 { return b.state.Number }

// Apply applies the next note; it fails with ErrOrder, having changed nothing,
// when number is not the next one.
func (b *Builder) Apply(number uint64, note Note) error {
	if number != b.state.Number+1 {
		return ErrOrder.New("note %d after %d", number, b.state.Number)
	}
	b.withdraw(note.Withdraw)
	b.add(note)
	b.state.Number = number
	return nil
}

// State returns the state so far. The builder may go on afterwards.
func (b *Builder) State() *State {
	if b.routesDirty {
		b.state.index = newRouteIndex(b.state.routes.all())
		b.routesDirty = false
	}
	b.edit = &edit{}
	state := b.state
	return &state
}

func (b *Builder) withdraw(w Withdraw) {
	s := &b.state
	for _, id := range w.Adapters {
		s.adapters.remove(b.edit, id)
	}
	for _, name := range w.Teams {
		s.teams.remove(b.edit, name)
	}
	for _, id := range w.Keys {
		s.keys.remove(b.edit, id)
	}
	for _, name := range w.Routes {
		if s.routes.remove(b.edit, name) {
			b.routesDirty = true
		}
	}
	for _, id := range w.Targets {
		s.targets.remove(b.edit, id)
	}
}

func (b *Builder) add(note Note) {
	s := &b.state
	for _, a := range note.Adapters {
		s.adapters.set(b.edit, a.ID(), a)
	}
	for _, t := range note.Teams {
		s.teams.set(b.edit, t.Name, t)
	}
	for _, k := range note.Keys {
		s.keys.set(b.edit, k.ID, k)
	}
	for _, r := range note.Routes {
		s.routes.set(b.edit, r.Name, r)
		b.routesDirty = true
	}
	for _, t := range note.Targets {
		s.targets.set(b.edit, t.ID, t)
	}
}
