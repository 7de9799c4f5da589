package peer

import (
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
)

// zoneSummary is what the instances of a zone have in flight, added up by one
// of the zone's relays.
type zoneSummary struct {
	source string
	asOf   time.Time
	uses   map[deployment.TargetID]inflight.TargetUse
}

// applyZoneSummaries applies the summaries of a relay. A relay sends those of
// all zones to its own zone and that of its own zone to the relays of other
// zones. Of the relays of a zone only the first that is alive is used.
func (n *Network) applyZoneSummaries(response *v1.ExchangeResponse, sentAt time.Time) {
	for _, z := range response.GetZones() {
		summary := &zoneSummary{
			source: z.GetSource(),
			asOf:   sentAt.Add(-time.Duration(z.GetAgeMs()) * time.Millisecond),
			uses:   targetUsesFrom(z.GetTargets()),
		}
		if elapsed, ok := n.storeZoneSummary(z.GetZone(), response.GetResponder().GetMember().GetInstanceId(), summary); ok {
			n.recordAdapterUses(z.GetTargets(), elapsed)
		}
	}
}

// storeZoneSummary stores a summary and returns the time since the previous
// one. It returns false and stores nothing if this instance counts the zone's
// instances directly, if the responder is not the relay to use, or if the
// summary is not newer than the stored one of the same source.
func (n *Network) storeZoneSummary(zone, responder string, summary *zoneSummary) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == roleMeshed || n.role == roleRelaying && zone == n.Self.Zone {
		return 0, false
	}
	relayZone := zone
	if n.role == roleRelayed {
		relayZone = n.Self.Zone
	}
	if relays := n.relays(relayZone); len(relays) > 0 && relays[0].ID != responder {
		return 0, false
	}
	elapsed := exchangeInterval
	if known, ok := n.zoneSummaries[zone]; ok {
		if known.source == summary.source && !summary.asOf.After(known.asOf) {
			return 0, false
		}
		elapsed = summary.asOf.Sub(known.asOf)
	}
	n.zoneSummaries[zone] = summary
	n.remoteUsesValid = false
	return elapsed, true
}

// invalidateRemoteUses makes the next read recompute the sums, so that reports
// older than useTimeout are no longer included.
func (n *Network) invalidateRemoteUses() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.remoteUsesValid = false
}

// remoteUse returns what the other instances have in flight at a target.
func (n *Network) remoteUse(id deployment.TargetID) inflight.Use {
	n.mu.RLock()
	use, valid := n.remoteUses[id], n.remoteUsesValid
	n.mu.RUnlock()
	if valid {
		return use
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.remoteUsesValid {
		n.sumRemoteUses()
	}
	return n.remoteUses[id]
}

// sumRemoteUses recomputes what the other instances have in flight. The caller
// holds the lock.
func (n *Network) sumRemoteUses() {
	now := n.Now()
	n.remoteUses, n.remoteUsesValid = map[deployment.TargetID]inflight.Use{}, true
	add := func(uses map[deployment.TargetID]inflight.TargetUse) {
		for id, u := range uses {
			total := n.remoteUses[id]
			total.Add(u.Use)
			n.remoteUses[id] = total
		}
	}
	for _, r := range n.remotes {
		if n.countsDirectly(r) && now.Sub(r.lastReceivedAt) <= useTimeout {
			add(r.uses)
		}
	}
	if n.role == roleMeshed {
		return
	}
	for _, z := range n.zoneSummaries {
		if now.Sub(z.asOf) <= useTimeout {
			add(z.uses)
		}
	}
}

// addUses adds the uses in more to total, target by target.
func addUses(total, more map[deployment.TargetID]inflight.TargetUse) {
	for id, u := range more {
		sum, ok := total[id]
		if !ok {
			sum.Adapters = map[deployment.AdapterName]int{}
		}
		sum.Add(u.Use)
		for name, requests := range u.Adapters {
			sum.Adapters[name] += requests
		}
		total[id] = sum
	}
}

// summariesFor returns the summaries that a relay sends: those of all zones to
// an instance of its own zone, without the requester's own uses, and that of
// its own zone to the relay of another zone. It returns nil if this instance is
// no relay.
func (n *Network) summariesFor(requester Member, wantsAdapters bool) []*v1.ZoneSummary {
	localUses := n.Tracker.All()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != roleRelaying {
		return nil
	}
	now := n.Now()
	// A lease holder loads adapters only on engines of its own zone, and needs
	// to know about the adapters in use there.
	withAdapters := func(id deployment.TargetID) bool { return false }
	if wantsAdapters {
		targets := n.Catalog.Targets()
		withAdapters = func(id deployment.TargetID) bool { return targets[id].Zone == requester.Zone }
	}
	local := &zoneSummary{source: n.Self.ID + "#" + n.Incarnation, asOf: now, uses: map[deployment.TargetID]inflight.TargetUse{}}
	addUses(local.uses, localUses)
	for _, r := range n.remotes {
		if r.Zone == n.Self.Zone && r.ID != requester.ID && now.Sub(r.lastReceivedAt) <= useTimeout {
			addUses(local.uses, r.uses)
		}
	}
	summaries := []*v1.ZoneSummary{zoneSummaryMessage(n.Self.Zone, local, now, withAdapters)}
	if requester.Zone == n.Self.Zone {
		for zone, z := range n.zoneSummaries {
			summaries = append(summaries, zoneSummaryMessage(zone, z, now, withAdapters))
		}
	}
	return summaries
}

// zoneSummaryMessage converts a summary. It lists the adapters in use only on
// the targets for which withAdapters returns true.
func zoneSummaryMessage(zone string, z *zoneSummary, now time.Time, withAdapters func(deployment.TargetID) bool) *v1.ZoneSummary {
	m := &v1.ZoneSummary{Zone: zone, Source: z.source, AgeMs: now.Sub(z.asOf).Milliseconds()}
	for id, u := range z.uses {
		if !withAdapters(id) {
			u.Adapters = nil
		}
		m.Targets = append(m.Targets, targetUseMessage(id, u))
	}
	return m
}
