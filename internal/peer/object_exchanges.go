package peer

import "time"

const (
	// objectsStagger is the time after which the objects of replicas are asked for once more
	// though those of an earlier exchange are on their way: the time in which a link of
	// 10 Mbit/s carries a large configuration.
	objectsStagger = 300 * time.Millisecond
	// lateForCongestion is after how many responses in a row that did not arrive in time the
	// link counts as congested. A single one may be that of a peer that stands still.
	lateForCongestion = 3
)

// objectExchanges decides which exchanges ask for the objects of replicas. Usually all do: who
// has them already gets none. But an instance that has just started, or whose link is congested,
// would get them from all peers at once, so that none arrives in time on a narrow link and each
// is asked for again. It then asks one peer at a time. The zero value is ready; it is not safe for
// concurrent use.
type objectExchanges struct {
	inFlight int
	askedAt  time.Time
	// late is how many responses with objects were late since one arrived in time.
	late int
}

// begin reports whether an exchange that begins now asks for objects. known is set if this
// instance has a replica of the configuration, the largest object.
func (o *objectExchanges) begin(now time.Time, known bool) bool {
	oneByOne := !known || o.late >= lateForCongestion
	if oneByOne && o.inFlight > 0 && now.Sub(o.askedAt) < objectsStagger {
		return false
	}
	o.inFlight++
	o.askedAt = now
	return true
}

// end records the end of an exchange that asked for objects. late is set if its response did
// not arrive in time.
func (o *objectExchanges) end(late bool) {
	o.inFlight--
	if late {
		o.late++
		return
	}
	o.late = 0
}

// beginObjects is objectExchanges.begin for the replicas of this instance.
func (n *Network) beginObjects() bool {
	configuration := n.Catalog.Followers()[n.Catalog.Kinds.Configuration]
	known := !configuration.State().ConfirmedAt.IsZero()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.objectExchanges.begin(n.Now(), known)
}

func (n *Network) endObjects(late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.objectExchanges.end(late)
}
