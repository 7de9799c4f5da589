package publication_test

import (
	"heatherrelay/internal/publication"
)

// check compares every instance and every attempt with the oracle.
func (c *testCluster) check() {
	c.updateOracle()
	if c.nested {
		return
	}
	lowest, ready := uint64(len(c.notes)), false
	for _, n := range c.instances {
		number := n.State().Number
		if number < n.highest {
			c.t.Fatalf("%s went back from note %d to %d", n.id, n.highest, number)
		}
		n.highest = number
		n.informed = n.informed || n.fresh
		if n.Ready() && n.informed && number < c.inForceEverywhere {
			c.t.Fatalf("%s is ready at note %d although note %d was in force everywhere", n.id, number, c.inForceEverywhere)
		}
		lowest, ready = min(lowest, number), ready || n.Ready()
		c.checkKeys(n)
		c.checkConfirmed(n)
	}
	if ready {
		c.inForceEverywhere = max(c.inForceEverywhere, lowest)
	}
	c.checkAttempts()
}

// checkKeys checks that an instance grants the keys that the notes up to its
// number grant.
func (c *testCluster) checkKeys(n *instance) {
	granted := c.grantedKeys(n.State().Number)
	for _, k := range c.keys {
		_, ok := n.State().Key(k.ID)
		if ok != granted[k.ID] {
			c.t.Fatalf("%s at note %d: key %s is granted: %v, want %v", n.id, n.State().Number, k.ID, ok, granted[k.ID])
		}
	}
}

// checkConfirmed checks that an instance has applied every note accepted before
// its confirmed time.
func (c *testCluster) checkConfirmed(n *instance) {
	if c.staleAllowed {
		return
	}
	confirmed := n.ConfirmedAt()
	for i, at := range c.acceptedAt {
		if at.Before(confirmed) && uint64(i+1) > n.State().Number {
			c.t.Fatalf("%s at note %d claims to have had all notes at %v, but note %d was accepted at %v", n.id, n.State().Number, confirmed, i+1, at)
		}
	}
}

// checkAttempts compares the outcomes reported to operators with the notes stored
// in the platform.
func (c *testCluster) checkAttempts() {
	count := map[string]int{}
	for _, s := range c.notes {
		count[s.PublishID]++
	}
	for id, n := range count {
		if n > 1 {
			c.t.Fatalf("note of %s is stored %d times", id, n)
		}
	}
	for _, a := range c.attempts {
		switch {
		case a.err == nil && c.notes[a.Number-1].PublishID != a.PublishID:
			c.t.Fatalf("%s was reported as accepted under number %d, which holds another note", a.PublishID, a.Number)
		case publication.ErrNotAccepted.Has(a.err) && count[a.PublishID] > 0:
			c.t.Fatalf("%s was reported as not accepted, but its note is stored", a.PublishID)
		}
	}
}
