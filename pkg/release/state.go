package release

// State is what follows from all notes up to a number. It is immutable; lookups
// take no lock.
type State struct {
	// Number is the last note applied; zero is the empty state.
	Number uint64
}
