package publication_test

import (
	"heatherrelay/internal/publication"
)

// check compares every instance and operator with the oracle.
func (w *world) check() {
	w.observe()
	if w.nested {
		return
	}
	lowest, ready := uint64(len(w.notes)), false
	for _, n := range w.instances {
		number := n.State().Number
		if number < n.highest {
			w.t.Fatalf("%s went back from %d to %d", n.id, n.highest, number)
		}
		n.highest = number
		n.informed = n.informed || n.fresh
		if n.Ready() && n.informed && number < w.floor {
			w.t.Fatalf("%s is ready at %d although %d was in force everywhere", n.id, number, w.floor)
		}
		lowest, ready = min(lowest, number), ready || n.Ready()
		w.checkKeys(n)
		w.checkConfirmed(n)
	}
	if ready {
		w.floor = max(w.floor, lowest)
	}
	w.checkAttempts()
}

func (w *world) checkKeys(n *instance) {
	granted := w.granted(n.State().Number)
	for _, k := range w.keys {
		_, ok := n.State().Key(k.ID)
		if ok != granted[k.ID] {
			w.t.Fatalf("%s at %d: key %s is granted: %v, want %v", n.id, n.State().Number, k.ID, ok, granted[k.ID])
		}
	}
}

// checkConfirmed checks that an instance which says how fresh it is has it all.
func (w *world) checkConfirmed(n *instance) {
	if w.staleAllowed {
		return
	}
	confirmed := n.ConfirmedAt()
	for i, at := range w.acceptedAt {
		if at.Before(confirmed) && uint64(i+1) > n.State().Number {
			w.t.Fatalf("%s at %d says it had all at %v, but %d was accepted at %v", n.id, n.State().Number, confirmed, i+1, at)
		}
	}
}

// checkAttempts checks what operators were told against what stands.
func (w *world) checkAttempts() {
	count := map[string]int{}
	for _, s := range w.notes {
		count[s.PublishID]++
	}
	for id, n := range count {
		if n > 1 {
			w.t.Fatalf("%s stands %d times", id, n)
		}
	}
	for _, a := range w.attempts {
		switch {
		case a.err == nil && w.notes[a.Number-1].PublishID != a.PublishID:
			w.t.Fatalf("%s was told %d", a.PublishID, a.Number)
		case publication.ErrNotAccepted.Has(a.err) && count[a.PublishID] > 0:
			w.t.Fatalf("%s was told it is not accepted", a.PublishID)
		}
	}
}
