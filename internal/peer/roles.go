package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// maxMeshSize is the largest fleet in which every instance exchanges with
	// every other one. In such a mesh the number of exchanges grows with the
	// square of the fleet's size.
	maxMeshSize = 16
	// relaysPerZone is how many instances of a zone are relays. The second one
	// keeps the zone connected while the failure of the first is not detected
	// yet.
	relaysPerZone = 2
	// maxFirstRelayRate and maxSecondRelayRate are how many exchanges a second the
	// instances of a zone start with its first and its second relay. In a larger zone
	// each instance starts fewer, so that a relay's share does not grow with the zone.
	maxFirstRelayRate  = 200
	maxSecondRelayRate = 100
)

// relayInterval returns the interval at which each of the instances of a zone starts
// exchanges with a relay that serves a rate a second, and no shorter one than given.
func relayInterval(instances, rate int, shortest time.Duration) time.Duration {
	return max(shortest, time.Duration(instances)*time.Second/time.Duration(rate))
}

// role is the part that an instance has in the exchange.
type role int

const (
	// roleMeshed instances exchange with all other instances.
	roleMeshed role = iota
	// roleRelaying instances exchange with the relays of all zones; the other
	// instances of their zone call them.
	roleRelaying
	// roleRelayed instances exchange with the relays of their zone.
	roleRelayed
)

var roleNames = map[role]string{roleMeshed: "meshed", roleRelaying: "relaying", roleRelayed: "relayed"}

// updateRole sets this instance's role from the number of known instances and
// its rank in the zone.
func (n *Network) updateRole() {
	n.mu.Lock()
	previous := n.role
	switch {
	case len(n.remotes)+1 <= maxMeshSize:
		n.role = roleMeshed
	case slices.ContainsFunc(n.relays(n.Self.Zone), func(m relayCandidate) bool { return m.remote == nil }):
		n.role = roleRelaying
	default:
		n.role = roleRelayed
	}
	changed := n.role != previous
	if changed {
		n.resetSums()
	}
	next := n.role
	n.mu.Unlock()
	if changed {
		n.Log.Info("role changed", zap.String("role", roleNames[next]))
	}
}

// relayCandidate is an instance that may relay for its zone; remote is nil for
// this instance itself.
type relayCandidate struct {
	Member
	remote *remote
}

// relays returns the relays of a zone, the first one first. The caller holds
// the lock.
func (n *Network) relays(zone string) []relayCandidate {
	all := n.relayCandidates(zone)
	return all[:min(len(all), relaysPerZone)]
}

// relayCandidates returns the instances of a zone that are alive and not
// leaving, the one with the most capacity first. The caller holds the lock.
func (n *Network) relayCandidates(zone string) []relayCandidate {
	var all []relayCandidate
	if zone == n.Self.Zone && !n.Leaving() {
		all = append(all, relayCandidate{Member: n.Self})
	}
	now := n.Now()
	for _, r := range n.remotes {
		if r.Zone == zone && r.alive(now) && !r.status.leaving {
			all = append(all, relayCandidate{Member: r.Member, remote: r})
		}
	}
	slices.SortFunc(all, func(a, b relayCandidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// alive reports whether the instance was seen within aliveTimeout, by this
// instance or by one that relayed it.
func (r *remote) alive(now time.Time) bool { return now.Sub(r.lastSeenAt) <= aliveTimeout }

// partner is an instance that this one starts an exchange with every interval.
type partner struct {
	*remote
	interval time.Duration
}

// partners returns the instances that this one starts exchanges with. The caller
// holds the lock.
func (n *Network) partners() []partner {
	if n.role == roleMeshed {
		return atExchangeInterval(n.allRemotes())
	}
	var partners []partner
	for zone := range n.knownZones() {
		if n.role == roleRelayed && zone != n.Self.Zone {
			continue
		}
		candidates := n.relayCandidates(zone)
		for i, m := range candidates[:min(len(candidates), relaysPerZone)] {
			if m.remote == nil {
				continue
			}
			p := partner{remote: m.remote, interval: exchangeInterval}
			switch {
			case i == 0 && n.role == roleRelayed:
				p.interval = relayInterval(len(candidates), maxFirstRelayRate, firstRelayInterval)
			case n.role == roleRelayed:
				p.interval = relayInterval(len(candidates), maxSecondRelayRate, exchangeInterval)
			case i == 0:
				p.interval = remoteZoneInterval
			}
			partners = append(partners, p)
		}
	}
	if len(partners) == 0 {
		// No relay is alive: call up to maxMeshSize known instances to find a
		// live one.
		all := n.allRemotes()
		return atExchangeInterval(all[:min(len(all), maxMeshSize)])
	}
	return partners
}

// randomSilent returns a random one of the known instances that are not alive;
// nil if there is none. The caller holds the lock.
func (n *Network) randomSilent(now time.Time) *remote {
	var silent []*remote
	for _, r := range n.remotes {
		if !r.alive(now) && !r.exchangeInFlight {
			silent = append(silent, r)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return silent[rand.IntN(len(silent))]
}

// atExchangeInterval returns partners with the default interval.
func atExchangeInterval(remotes []*remote) []partner {
	partners := make([]partner, 0, len(remotes))
	for _, r := range remotes {
		partners = append(partners, partner{remote: r, interval: exchangeInterval})
	}
	return partners
}

// allRemotes returns the known instances without this one. The caller holds the
// lock.
func (n *Network) allRemotes() []*remote {
	all := make([]*remote, 0, len(n.remotes))
	for _, r := range n.remotes {
		all = append(all, r)
	}
	return all
}

// knownZones returns the zones that have a known instance. The caller holds the
// lock.
func (n *Network) knownZones() map[string]bool {
	zones := map[string]bool{n.Self.Zone: true}
	for _, r := range n.remotes {
		zones[r.Zone] = true
	}
	return zones
}

// countsDirectly reports whether this instance counts the uses that another one
// reports of itself. Otherwise they are counted in the summary of its zone. The
// caller holds the lock.
func (n *Network) countsDirectly(r *remote) bool {
	return n.role == roleMeshed || n.role == roleRelaying && r.Zone == n.Self.Zone
}

// Rank returns the index of this instance in its zone's order of relay
// candidates; -1 when this instance is shutting down.
func (n *Network) Rank() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.rank()
}

// rank is Rank for a caller that holds the lock.
func (n *Network) rank() int {
	return slices.IndexFunc(n.relayCandidates(n.Self.Zone), func(m relayCandidate) bool { return m.remote == nil })
}

// seedWait is how long after the first start of the whole fleet an instance with seeds
// leaves reading the store to others: the seeds tell it who the others are.
const seedWait = 400 * time.Millisecond

// ReadsStore reports whether this instance reads the store on behalf of its zone: it is
// the first relay candidate of the zone. In a full mesh an instance that is shutting down
// reads it as well.
func (n *Network) ReadsStore() bool {
	n.init()
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.Bootstrap && len(n.seeds) > 0 && n.Now().Sub(n.startedAt) < seedWait {
		return false
	}
	rank := n.rank()
	return rank == 0 || rank < 0 && n.role == roleMeshed
}

// HearsReader reports whether another instance that reads the store on behalf of this
// one's zone has lately sent its state to this instance itself. That it is listed as
// alive may be no longer true.
func (n *Network) HearsReader() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	readers := n.relays(n.Self.Zone)
	readers = readers[:min(len(readers), 1)]
	return slices.ContainsFunc(readers, func(c relayCandidate) bool {
		return c.remote != nil && now.Sub(c.remote.lastReceivedAt) <= aliveTimeout
	})
}
