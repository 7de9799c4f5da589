package peer

import (
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/load"
)

// zoneSum is what the instances of a zone have under way, as one of the zone's
// relays has heard it.
type zoneSum struct {
	source string
	at     time.Time
	uses   map[deployment.TargetID]load.TargetUse
}

// takeZones takes the sums of a relay: those of all zones from a relay of the
// own zone, that of its own zone from another one. Of several relays of a zone
// the first counts, as long as it is heard.
func (n *Network) takeZones(response *v1.ExchangeResponse, sentAt time.Time) {
	for _, z := range response.GetZones() {
		sum := &zoneSum{
			source: z.GetSource(),
			at:     sentAt.Add(-time.Duration(z.GetAgeMs()) * time.Millisecond),
			uses:   usesFrom(z.GetTargets()),
		}
		if since, ok := n.keepZone(z.GetZone(), response.GetResponder().GetMember().GetInstanceId(), sum); ok {
			n.noteUses(z.GetTargets(), since)
		}
	}
}

// keepZone keeps a sum if its source is the one to go by. It returns the time
// since the sum before it.
func (n *Network) keepZone(zone, responder string, sum *zoneSum) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == meshed || n.role == relaying && zone == n.Self.Zone {
		return 0, false
	}
	from := zone
	if n.role == relayed {
		from = n.Self.Zone
	}
	if relays := n.relays(from); len(relays) > 0 && relays[0].ID != responder {
		return 0, false
	}
	since := exchangeInterval
	if known, ok := n.zones[zone]; ok {
		if known.source == sum.source && !sum.at.After(known.at) {
			return 0, false
		}
		since = sum.at.Sub(known.at)
	}
	n.zones[zone] = sum
	n.summed = false
	return since, true
}

// unsum has the sums made anew when they are next asked for: what silent
// instances had under way expires.
func (n *Network) unsum() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.summed = false
}

// othersUse returns what the others have under way at a target.
func (n *Network) othersUse(id deployment.TargetID) load.Use {
	n.mu.RLock()
	use, summed := n.uses[id], n.summed
	n.mu.RUnlock()
	if summed {
		return use
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.summed {
		n.sum()
	}
	return n.uses[id]
}

// sum adds up what the others have under way. The caller holds the lock.
func (n *Network) sum() {
	now := n.Now()
	n.uses, n.summed = map[deployment.TargetID]load.Use{}, true
	add := func(uses map[deployment.TargetID]load.TargetUse) {
		for id, u := range uses {
			total := n.uses[id]
			total.Add(u.Use)
			n.uses[id] = total
		}
	}
	for _, r := range n.remotes {
		if n.countsDirectly(r) && now.Sub(r.toldAt) <= useTime {
			add(r.uses)
		}
	}
	if n.role == meshed {
		return
	}
	for _, z := range n.zones {
		if now.Sub(z.at) <= useTime {
			add(z.uses)
		}
	}
}

func addUses(total, more map[deployment.TargetID]load.TargetUse) {
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

// summaries returns the sums for an instance that asked: all zones for one of
// the own zone, without its own part, and the own zone for another zone's relay.
func (n *Network) summaries(asker Member, wantsAdapters bool) []*v1.ZoneSummary {
	own := n.Tracker.All()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != relaying {
		return nil
	}
	now := n.Now()
	// Whoever orders engines orders those of its own zone.
	listed := func(id deployment.TargetID) bool { return false }
	if wantsAdapters {
		targets := n.Catalog.Targets()
		listed = func(id deployment.TargetID) bool { return targets[id].Zone == asker.Zone }
	}
	mine := &zoneSum{source: n.Self.ID + "#" + n.Incarnation, at: now, uses: map[deployment.TargetID]load.TargetUse{}}
	addUses(mine.uses, own)
	for _, r := range n.remotes {
		if r.Zone == n.Self.Zone && r.ID != asker.ID && now.Sub(r.toldAt) <= useTime {
			addUses(mine.uses, r.uses)
		}
	}
	summaries := []*v1.ZoneSummary{summaryMessage(n.Self.Zone, mine, now, listed)}
	if asker.Zone == n.Self.Zone {
		for zone, z := range n.zones {
			summaries = append(summaries, summaryMessage(zone, z, now, listed))
		}
	}
	return summaries
}

// summaryMessage returns a sum, with the adapters in use on the targets that a
// filter picks.
func summaryMessage(zone string, z *zoneSum, now time.Time, withAdapters func(deployment.TargetID) bool) *v1.ZoneSummary {
	m := &v1.ZoneSummary{Zone: zone, Source: z.source, AgeMs: now.Sub(z.at).Milliseconds()}
	for id, u := range z.uses {
		if !withAdapters(id) {
			u.Adapters = nil
		}
		m.Targets = append(m.Targets, useMessage(id, u))
	}
	return m
}
