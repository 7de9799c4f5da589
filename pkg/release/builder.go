package release

// Builder applies many notes in sequence. It copies a part of the state at most
// once between calls of State and then changes the copy in place, so that a
// replay of a long history costs little per note. It is not safe for concurrent
// use.
type Builder struct {
	state State
	// token marks the chunks that this builder may change in place.
	token *editToken
	// routesDirty is set while the route index is older than the routes.
	routesDirty bool
}

// Builder returns a builder that starts from s and does not change s.
func (s *State) Builder() *Builder {
	return &Builder{state: *s, token: &editToken{}}
}

// Number returns the number of the last note applied.
func (b *Builder) Number() uint64 { return b.state.Number }

// Apply applies the next note. It fails with ErrOrder and changes nothing when
// number is not the next one.
func (b *Builder) Apply(number uint64, note Note) error {
	if number != b.state.Number+1 {
		return ErrOrder.New("note %d cannot follow note %d", number, b.state.Number)
	}
	b.withdraw(note.Withdraw)
	b.add(note)
	b.state.Number = number
	return nil
}

// State returns the state after the notes applied so far. The builder may apply
// further notes; they do not change the returned state.
func (b *Builder) State() *State {
	if b.routesDirty {
		b.state.index = newRouteIndex(b.state.routes.all())
		b.routesDirty = false
	}
	b.token = &editToken{}
	state := b.state
	return &state
}

func (b *Builder) withdraw(w Withdraw) {
	s := &b.state
	for _, id := range w.Adapters {
		s.adapters.remove(b.token, id)
	}
	for _, name := range w.Teams {
		s.teams.remove(b.token, name)
	}
	for _, id := range w.Keys {
		s.keys.remove(b.token, id)
	}
	for _, name := range w.Routes {
		if s.routes.remove(b.token, name) {
			b.routesDirty = true
		}
	}
	for _, id := range w.Targets {
		s.targets.remove(b.token, id)
	}
}

func (b *Builder) add(note Note) {
	s := &b.state
	for _, a := range note.Adapters {
		s.adapters.set(b.token, a.ID(), a)
	}
	for _, t := range note.Teams {
		s.teams.set(b.token, t.Name, t)
	}
	for _, k := range note.Keys {
		s.keys.set(b.token, k.ID, k)
	}
	for _, r := range note.Routes {
		s.routes.set(b.token, r.Name, r)
		b.routesDirty = true
	}
	for _, t := range note.Targets {
		s.targets.set(b.token, t.ID, t)
	}
}
