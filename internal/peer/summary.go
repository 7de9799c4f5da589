package peer

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/load"
)

// zoneSum is what the instances of a zone have under way and admitted, as one of
// the zone's relays has heard it.
type zoneSum struct {
	source string
	at     time.Time
	teams  map[string]float64
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
			teams:  admittedFrom(z.GetTeams()),
			uses:   usesFrom(z.GetTargets()),
		}
		if n.keepZone(z.GetZone(), response.GetResponder().GetMember().GetInstanceId(), sum) {
			n.noteUses(z.GetTargets())
			n.Meter.ObserveSum(z.GetZone(), sum.source, sum.teams)
		}
	}
}

// keepZone keeps a sum if its source is the one to go by.
func (n *Network) keepZone(zone, responder string, sum *zoneSum) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == meshed || n.role == relaying && zone == n.Self.Zone {
		return false
	}
	from := zone
	if n.role == relayed {
		from = n.Self.Zone
	}
	if relays := n.relays(from); len(relays) > 0 && relays[0].ID != responder {
		return false
	}
	if known, ok := n.zones[zone]; ok && known.source == sum.source && !sum.at.After(known.at) {
		return false
	}
	n.zones[zone] = sum
	return true
}

// sum adds up what the others have under way.
func (n *Network) sum() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	uses := map[deployment.TargetID]load.TargetUse{}
	for _, r := range n.remotes {
		if n.countsDirectly(r) && now.Sub(r.toldAt) <= useTime {
			addUses(uses, r.uses)
		}
	}
	if n.role != meshed {
		for _, z := range n.zones {
			if now.Sub(z.at) <= useTime {
				addUses(uses, z.uses)
			}
		}
	}
	n.uses = uses
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
	mine := &zoneSum{source: n.Self.ID + "#" + n.Incarnation, at: now, teams: n.Meter.Total(), uses: map[deployment.TargetID]load.TargetUse{}}
	addUses(mine.uses, own)
	for _, r := range n.remotes {
		if r.Zone == n.Self.Zone && r.ID != asker.ID && now.Sub(r.toldAt) <= useTime {
			addUses(mine.uses, r.uses)
		}
	}
	if asker.Zone == n.Self.Zone {
		for team, admitted := range n.Meter.From(asker.ID) {
			mine.teams[team] -= admitted
		}
	}
	summaries := []*v1.ZoneSummary{summaryMessage(n.Self.Zone, mine, now, wantsAdapters)}
	if asker.Zone == n.Self.Zone {
		for zone, z := range n.zones {
			summaries = append(summaries, summaryMessage(zone, z, now, wantsAdapters))
		}
	}
	return summaries
}

func summaryMessage(zone string, z *zoneSum, now time.Time, wantsAdapters bool) *v1.ZoneSummary {
	m := &v1.ZoneSummary{Zone: zone, Source: z.source, AgeMs: now.Sub(z.at).Milliseconds(), Teams: teamMessages(z.teams)}
	for id, u := range z.uses {
		if !wantsAdapters {
			u.Adapters = nil
		}
		m.Targets = append(m.Targets, useMessage(id, u))
	}
	return m
}

// engineLog numbers the changes of the engines' states, so that a relay passes
// on only what the asker does not have.
type engineLog struct {
	mu      sync.Mutex
	last    uint64
	engines map[string]engineChange
}

type engineChange struct {
	state  *v1.EngineState
	number uint64
}

// take notes a state if it differs from the one known.
func (l *engineLog) take(e *v1.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engines == nil {
		l.engines = map[string]engineChange{}
	}
	if known, ok := l.engines[e.GetTargetId()]; ok && sameEngine(known.state, e) {
		return
	}
	l.last++
	l.engines[e.GetTargetId()] = engineChange{state: e, number: l.last}
}

// sameEngine compares what lasts: the time to a load's end passes by itself.
func sameEngine(a, b *v1.EngineState) bool {
	if a.GetBorn() != b.GetBorn() || len(a.GetAdapters()) != len(b.GetAdapters()) || len(a.GetModels()) != len(b.GetModels()) {
		return false
	}
	versions := make(map[string]uint64, len(a.GetAdapters()))
	for _, r := range a.GetAdapters() {
		versions[r.GetModel()+"/"+r.GetAdapter()] = r.GetVersion() + 1
	}
	for _, r := range b.GetAdapters() {
		if versions[r.GetModel()+"/"+r.GetAdapter()] != r.GetVersion()+1 {
			return false
		}
	}
	return true
}

// after returns the engines that changed after a number, and the last number.
func (l *engineLog) after(number uint64) ([]*v1.EngineState, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []*v1.EngineState
	for _, c := range l.engines {
		if c.number > number {
			changed = append(changed, c.state)
		}
	}
	return changed, l.last
}

// takeEngines takes the engines' states that a relay passed on.
func (n *Network) takeEngines(response *v1.ExchangeResponse) {
	now := n.Now()
	for _, e := range response.GetEngines() {
		n.engines.take(e)
		n.Directory.Update(engineFrom(e, now))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[response.GetResponder().GetMember().GetInstanceId()]; ok {
		r.engines = response.GetEnginesChange()
	}
}
