package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// meshLimit is the largest fleet in which every instance exchanges with every
	// other one: the work of all together grows with the square of their number.
	meshLimit = 16
	// relaysPerZone is how many instances of a zone relay: a second one, so that
	// the zone is not cut off while the first has failed and nobody knows it yet.
	relaysPerZone = 2
)

// role says how an instance takes part in the exchange.
type role int

const (
	// meshed instances exchange with all others.
	meshed role = iota
	// relaying instances exchange with their zone's instances, which call them,
	// and with the relays of the other zones.
	relaying
	// relayed instances exchange with the relays of their zone.
	relayed
)

var roleNames = map[role]string{meshed: "meshed", relaying: "relaying", relayed: "relayed"}

// settleRole takes the role that the known instances ask for.
func (n *Network) settleRole() {
	n.mu.Lock()
	former := n.role
	switch {
	case len(n.remotes)+1 <= meshLimit:
		n.role = meshed
	case slices.ContainsFunc(n.relays(n.Self.Zone), func(m ranked) bool { return m.remote == nil }):
		n.role = relaying
	default:
		n.role = relayed
	}
	changed := n.role != former
	if changed {
		n.zones = map[string]*zoneSum{}
	}
	next := n.role
	n.mu.Unlock()
	if changed {
		n.Log.Info("role changed", zap.String("role", roleNames[next]))
	}
}

func (n *Network) currentRole() role {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.role
}

// ranked is an instance in the order in which instances relay; the remote of
// this instance itself is nil.
type ranked struct {
	Member
	remote *remote
}

// relays returns the instances of a zone that relay, the first one first. The
// caller holds the lock.
func (n *Network) relays(zone string) []ranked {
	all := n.rankedIn(zone)
	return all[:min(len(all), relaysPerZone)]
}

// rankedIn returns the heard instances of a zone, the one with the most capacity
// first. The caller holds the lock.
func (n *Network) rankedIn(zone string) []ranked {
	var all []ranked
	if zone == n.Self.Zone && !n.Leaving() {
		all = append(all, ranked{Member: n.Self})
	}
	now := n.Now()
	for _, r := range n.remotes {
		if r.Zone == zone && r.heard(now) && !r.leaving {
			all = append(all, ranked{Member: r.Member, remote: r})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	return all
}

func (r *remote) heard(now time.Time) bool { return now.Sub(r.heardAt) <= heardTime }

// partner is an instance that this one starts exchanges with, every interval.
type partner struct {
	*remote
	interval time.Duration
}

// partners returns the instances that this one starts exchanges with. The caller
// holds the lock.
func (n *Network) partners() []partner {
	if n.role == meshed {
		return everyInterval(n.all())
	}
	var partners []partner
	for zone := range n.knownZones() {
		if n.role == relayed && zone != n.Self.Zone {
			continue
		}
		for i, m := range n.relays(zone) {
			if m.remote == nil {
				continue
			}
			p := partner{remote: m.remote, interval: exchangeInterval}
			switch {
			case i == 0 && n.role == relayed:
				p.interval = relayInterval
			case i == 0:
				p.interval = zoneInterval
			}
			partners = append(partners, p)
		}
	}
	if len(partners) == 0 {
		// Nobody is heard: ask some, to find those that live.
		all := n.all()
		return everyInterval(all[:min(len(all), meshLimit)])
	}
	return partners
}

// silent returns one of the known instances that nobody hears, drawn at random;
// nil if there is none. The caller holds the lock.
func (n *Network) silent(now time.Time) *remote {
	var unheard []*remote
	for _, r := range n.remotes {
		if !r.heard(now) && !r.calling {
			unheard = append(unheard, r)
		}
	}
	if len(unheard) == 0 {
		return nil
	}
	return unheard[rand.IntN(len(unheard))]
}

func everyInterval(remotes []*remote) []partner {
	partners := make([]partner, 0, len(remotes))
	for _, r := range remotes {
		partners = append(partners, partner{remote: r, interval: exchangeInterval})
	}
	return partners
}

func (n *Network) all() []*remote {
	all := make([]*remote, 0, len(n.remotes))
	for _, r := range n.remotes {
		all = append(all, r)
	}
	return all
}

// knownZones returns the zones with instances. The caller holds the lock.
func (n *Network) knownZones() map[string]bool {
	zones := map[string]bool{n.Self.Zone: true}
	for _, r := range n.remotes {
		zones[r.Zone] = true
	}
	return zones
}

// countsDirectly says whether what an instance tells of its own is counted here;
// otherwise it is part of a sum. The caller holds the lock.
func (n *Network) countsDirectly(r *remote) bool {
	return n.role == meshed || n.role == relaying && r.Zone == n.Self.Zone
}

// Rank returns the place of this instance among those of its zone that are
// heard, in the order in which they relay.
func (n *Network) Rank() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.rank()
}

// rank is Rank for a caller that holds the lock; -1 when this instance leaves.
func (n *Network) rank() int {
	return slices.IndexFunc(n.rankedIn(n.Self.Zone), func(m ranked) bool { return m.remote == nil })
}

// Reads says that this instance reads the store for the others of its zone: in a
// small fleet the first of the zone, in a large one those that relay.
func (n *Network) Reads() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.role == meshed {
		return n.rank() <= 0
	}
	return n.role == relaying
}
