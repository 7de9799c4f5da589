package peer

import (
	"maps"
	"slices"
	"time"
)

const (
	// storeWriters is how many instances write something to the store, each if the one
	// before it does not.
	storeWriters = 3
	// passOverTime is how long an instance that does not write to the store, since it
	// runs another version of this software, is left out.
	passOverTime = 10 * time.Second
)

// passOver leaves out, for a while, an instance that was asked to write to the store and
// does not know how to.
func (n *Network) passOver(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.passedOver == nil {
		n.passedOver = map[string]time.Time{}
	}
	now := n.Now()
	maps.DeleteFunc(n.passedOver, func(_ string, at time.Time) bool { return now.Sub(at) > passOverTime })
	n.passedOver[id] = now
}

// writes reports whether an instance may know how to write to the store.
func (n *Network) writes(r remote) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	at, ok := n.passedOver[r.ID]
	return !ok || n.Now().Sub(at) > passOverTime
}

// rankedWriters returns the instances that are alive, this one included, in the order
// in which they write something to the store, at most count.
func (n *Network) rankedWriters(key string, count int) []remote {
	candidates := slices.DeleteFunc(n.aliveRemotes(), func(r remote) bool { return !n.writes(r) })
	if !n.Leaving() {
		candidates = append(candidates, remote{Member: n.Self})
	}
	return byWeight(key, candidates)[:min(count, len(candidates))]
}

// WriterRank returns this instance's place among the first count of those that write
// something to the store: 0 for the first, -1 if it is not among them.
func (n *Network) WriterRank(key string, count int) int {
	return slices.IndexFunc(n.rankedWriters(key, count), func(r remote) bool { return r.ID == n.Self.ID })
}
