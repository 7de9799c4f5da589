package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
)

// Instances of protocol version 0 know no changes: they send, and expect, complete lists
// of members, of uses by zone, and of what an instance admitted. This file serves them
// while an upgrade replaces them, and goes when no deployment runs that version.

// addCompleteState adds this instance's complete state to a message. The caller holds the
// lock.
func (n *Network) addCompleteState(s *v1.InstanceState) {
	s.Teams = teamMessages(n.Meter.Admitted())
	for id, u := range n.ownUses {
		s.Targets = append(s.Targets, targetUseMessage(id, u))
	}
	if n.role != roleRelayed {
		return
	}
	now := n.Now()
	for id, e := range n.engines {
		if e.own {
			s.Engines = append(s.Engines, engineMessage(e.state(id), e.zone, now))
		}
	}
}

// applyCompleteUses applies the uses of a complete state. The caller holds the lock.
func (n *Network) applyCompleteUses(r *remote, s *v1.InstanceState) {
	r.uses = targetUsesFrom(s.GetTargets())
	n.countOwnUses(r, nil, true)
}

// applyCompleteState applies the admissions and engines of a complete state.
func (n *Network) applyCompleteState(m Member, s *v1.InstanceState) {
	n.applyCompleteAdmitted(&v1.Spending{InstanceId: m.ID, Zone: m.Zone, Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(), Teams: s.GetTeams()})
	n.applyCompleteEngines(s.GetEngines(), m.Zone)
}

// applyCompleteAdmitted applies what an instance admitted of all teams.
func (n *Network) applyCompleteAdmitted(s *v1.Spending) {
	var updates []admittedUpdate
	for _, t := range s.GetTeams() {
		updates = append(updates, admittedUpdate{
			admittedKey:    admittedKey{instance: s.GetInstanceId(), incarnation: s.GetIncarnation(), team: t.GetTeam()},
			admittedRecord: admittedRecord{zone: s.GetZone(), sequence: s.GetSequence(), amount: t.GetAdmitted()},
		})
	}
	n.applyAdmitted(updates)
}

// applyCompleteEngines applies complete states of engines. zone is that of the sender,
// for states that name none.
func (n *Network) applyCompleteEngines(engines []*v1.EngineState, zone string) {
	now := n.Now()
	for _, e := range engines {
		n.applyEngine(engineUpdate{EngineState: engineFrom(e, now), zone: cmp.Or(e.GetZone(), zone)})
	}
}

// applyCompleteResponse applies the lists that an instance of version 0 returns.
func (n *Network) applyCompleteResponse(response *v1.ExchangeResponse, sentAt time.Time) {
	n.addMembers(response.GetMembers(), sentAt)
	for _, s := range response.GetSpendings() {
		n.applyCompleteAdmitted(s)
	}
	responder := response.GetResponder().GetMember()
	n.applyCompleteEngines(response.GetEngines(), responder.GetZone())
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[responder.GetInstanceId()]; ok {
		r.cursor.teamUsage, r.cursor.engines = response.GetSpendingsChange(), response.GetEnginesChange()
		n.applyZoneSummaries(r, response.GetZones(), sentAt)
	}
}

// applyZoneSummaries applies the sums by zone that a relay returns: of all zones to its
// own zone, without this instance's part, and of its own zone to the relays of other
// zones. The caller holds the lock.
func (n *Network) applyZoneSummaries(r *remote, zones []*v1.ZoneSummary, sentAt time.Time) {
	if len(zones) == 0 {
		return
	}
	total := map[deployment.TargetID]inflight.TargetUse{}
	for _, z := range zones {
		for id, use := range targetUsesFrom(z.GetTargets()) {
			total[id] = total[id].With(use)
		}
	}
	changes := maps.Clone(total)
	for id := range r.sums {
		if _, ok := total[id]; !ok {
			changes[id] = inflight.TargetUse{}
		}
	}
	r.sums = total
	s := scopeZone
	if r.Zone == n.Self.Zone {
		s = scopeFleet
	}
	n.countSums(r, s, changes, sentAt, nil)
}

// addCompleteLists adds to a response what an instance of version 0 expects.
func (n *Network) addCompleteLists(response *v1.ExchangeResponse, request *v1.ExchangeRequest, requester Member) {
	cursor := changeCursor{}
	known := request.GetChangesSource() == n.Incarnation
	if known {
		cursor = changeCursor{teamUsage: request.GetSpendingsAfter(), engines: request.GetEnginesAfter()}
		response.Members = n.memberListFor(requester.ID)
	} else {
		// The requester has received nothing from this incarnation yet, and may
		// know none of the other instances.
		response.Members = n.memberMessages()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == roleRelayed || n.role == roleMeshed && !n.Holder.Holds() {
		return
	}
	s := scopeZone
	if n.role == roleRelaying && requester.Zone == n.Self.Zone {
		s = scopeFleet
	}
	response.EnginesChange = n.log.last
	response.Engines = n.completeEngines(s, cursor.engines)
	if n.role == roleMeshed {
		return
	}
	response.SpendingsChange = n.log.last
	response.Spendings = n.completeAdmitted(s, cursor.teamUsage, requester)
	response.Zones = n.zoneSummaries(requester, request.GetWantsAdapters())
}

// completeEngines returns the states of the engines of a scope that changed after a
// number. The caller holds the lock.
func (n *Network) completeEngines(s scope, after uint64) []*v1.EngineState {
	var engines []*v1.EngineState
	now := n.Now()
	for id := range n.log.engines.since(after) {
		if e := n.engines[id]; s == scopeFleet || e.zone == n.Self.Zone {
			engines = append(engines, engineMessage(e.state(id), e.zone, now))
		}
	}
	return engines
}

// completeAdmitted returns what the incarnations of a scope admitted of which an amount
// changed after a number. The caller holds the lock.
func (n *Network) completeAdmitted(s scope, after uint64, requester Member) []*v1.Spending {
	type incarnation struct{ instance, incarnation string }
	changed := map[incarnation]*v1.Spending{}
	for key := range n.log.admitted.since(after) {
		zone := n.admitted[key].zone
		if key.instance != requester.ID && (s == scopeFleet || zone == n.Self.Zone) {
			changed[incarnation{key.instance, key.incarnation}] = &v1.Spending{InstanceId: key.instance, Zone: zone, Incarnation: key.incarnation}
		}
	}
	if len(changed) == 0 {
		return nil
	}
	for key, record := range n.admitted {
		if spending, ok := changed[incarnation{key.instance, key.incarnation}]; ok {
			spending.Sequence = max(spending.Sequence, record.sequence)
			spending.Teams = append(spending.Teams, &v1.TeamUse{Team: key.team, Admitted: record.amount})
		}
	}
	var spendings []*v1.Spending
	for _, spending := range changed {
		spendings = append(spendings, spending)
	}
	return spendings
}

// zoneSummaries returns the sums by zone that a relay sends: those of all zones to
// an instance of its own zone, without the requester's own uses, and that of
// its own zone to the relay of another zone. The caller holds the lock.
func (n *Network) zoneSummaries(requester Member, wantsAdapters bool) []*v1.ZoneSummary {
	now, targets := n.Now(), n.Catalog.Targets()
	withAdapters := func(id deployment.TargetID) bool { return wantsAdapters && targets[id].Zone == requester.Zone }
	own := map[deployment.TargetID]inflight.TargetUse{}
	if source, ok := n.zoneSums.sources[requester.ID]; ok {
		own = source.uses
	}
	rest := map[deployment.TargetID]inflight.TargetUse{}
	for id, sum := range n.zoneSums.sums {
		rest[id] = sum.Without(own[id])
	}
	source := n.Self.ID + "#" + n.Incarnation
	summaries := []*v1.ZoneSummary{zoneSummaryMessage(n.Self.Zone, source, rest, 0, withAdapters)}
	if requester.Zone != n.Self.Zone {
		return summaries
	}
	for zone := range n.knownZones() {
		if s, ok := n.fleetSums.sources[zoneSourcePrefix+zone]; ok {
			summaries = append(summaries, zoneSummaryMessage(zone, n.sumsFrom[zoneSourcePrefix+zone], s.uses, now.Sub(s.asOf), withAdapters))
		}
	}
	return summaries
}

// zoneSummaryMessage converts a sum. It lists the adapters in use only on
// the targets for which withAdapters returns true.
func zoneSummaryMessage(zone, source string, uses map[deployment.TargetID]inflight.TargetUse, age time.Duration, withAdapters func(deployment.TargetID) bool) *v1.ZoneSummary {
	m := &v1.ZoneSummary{Zone: zone, Source: source, AgeMs: age.Milliseconds()}
	for _, id := range slices.Sorted(maps.Keys(uses)) {
		u := uses[id]
		if !withAdapters(id) {
			u.Adapters = nil
		}
		m.Targets = append(m.Targets, targetUseMessage(id, u))
	}
	return m
}

// The minimum times between two member lists sent to the same instance. The
// time is longer in a full mesh: there every instance exchanges with all
// others, and learns from several of them about those that it cannot reach
// itself.
const (
	memberListInterval       = 280 * time.Millisecond
	meshedMemberListInterval = 1150 * time.Millisecond
)

// memberListFor returns the member list for the instance with an id; nil if the
// last list was sent to it less than the minimum time ago.
func (n *Network) memberListFor(id string) []*v1.Member {
	n.mu.Lock()
	now, interval := n.Now(), memberListInterval
	if n.role == roleMeshed {
		interval = meshedMemberListInterval
	}
	r, ok := n.remotes[id]
	due := !ok || now.Sub(r.memberListSentAt) >= interval
	if ok && due {
		r.memberListSentAt = now
	}
	n.mu.Unlock()
	if !due {
		return nil
	}
	return n.memberMessages()
}

func teamMessages(teams map[string]float64) []*v1.TeamUse {
	messages := make([]*v1.TeamUse, 0, len(teams))
	for team, admitted := range teams {
		messages = append(messages, &v1.TeamUse{Team: team, Admitted: admitted})
	}
	return messages
}

// memberMessages returns the instances that are alive, without this one.
func (n *Network) memberMessages() []*v1.Member {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	var members []*v1.Member
	for _, r := range n.remotes {
		if !r.alive(now) {
			continue
		}
		members = append(members, r.message(r.hearsayAt(n.Self.Zone), now))
	}
	return members
}
