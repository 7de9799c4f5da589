package peer

import "time"

const (
	// objectsStagger is the time after which the objects of replicas are asked for once more
	// though those of an earlier exchange are on their way: the time in which a link of
	// 10 Mbit/s carries a large configuration.
	objectsStagger = 300 * time.Millisecond
	// congestionTime is how long after an exchange whose response did not arrive in time the
	// link counts as congested.
	congestionTime = 2 * time.Second
)

// objectExchanges decides which exchanges ask for the objects of replicas. Usually all do: who
// has them already gets none. But an instance that has just started, or whose link is congested,
// would get them from all peers at once, so that none arrives in time on a narrow link and each
// is asked for again. It then asks one peer at a time. The zero value is ready; it is not safe for
// concurrent use.
type objectExchanges struct {
	inFlight       int
	askedAt        time.Time
	congestedUntil time.Time
}

// begin reports whether an exchange that begins now asks for objects. complete is set if this
// instance has a replica of each kind.
func (o *objectExchanges) begin(now time.Time, complete bool) bool {
	oneByOne := !complete || now.Before(o.congestedUntil)
	if oneByOne && o.inFlight > 0 && now.Sub(o.askedAt) < objectsStagger {
		return false
	}
	o.inFlight++
	o.askedAt = now
	return true
}

// end records the end of an exchange that asked for objects. late is set if its response did
// not arrive in time.
func (o *objectExchanges) end(now time.Time, late bool) {
	o.inFlight--
	if late {
		o.congestedUntil = now.Add(congestionTime)
	}
}

// beginObjects is objectExchanges.begin for the replicas of this instance.
func (n *Network) beginObjects() bool {
	complete := true
	for _, f := range n.Catalog.Followers() {
		complete = complete && !f.State().ConfirmedAt.IsZero()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.objectExchanges.begin(n.Now(), complete)
}

func (n *Network) endObjects(late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.objectExchanges.end(n.Now(), late)
}
