package peer

import (
	"math"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
)

// protocolVersion is the version of the exchange that this build speaks. Instances of
// version 0 send complete states; see legacy.go.
const protocolVersion = 1

// scope says what of its log an instance lists for a receiver.
type scope uint32

const (
	// scopeOwn is what concerns the instance itself: its requests in flight, what it
	// admitted, the engines that it holds the lease for.
	scopeOwn scope = iota + 1
	// scopeMembers is the members that it knows.
	scopeMembers
	// scopeZone, for a relay of another zone, is the members, the admissions and the
	// engines of the zone, and the sums of what its instances have in flight.
	scopeZone
	// scopeFleet, for an instance of a relay's own zone, is the same of all zones.
	scopeFleet
	// scopeRelay, for another relay of the zone, is scopeFleet without sums, which that
	// relay forms itself.
	scopeRelay
	// scopeAdapters is added to scopeFleet if the sums list the adapters in use on the
	// engines of the receiver's zone.
	scopeAdapters scope = 16
)

// stateLog orders all that this instance tells others by the number of its last change,
// so that each receiver gets what changed after the last number that it has. The numbers
// start again with each incarnation. The network's lock guards it.
type stateLog struct {
	last  uint64
	names nameTable

	members   changeOrder[string]
	ownUses   changeOrder[deployment.TargetID]
	zoneUses  changeOrder[deployment.TargetID]
	fleetUses changeOrder[deployment.TargetID]
	admitted  changeOrder[admittedKey]
	engines   changeOrder[deployment.TargetID]
}

// next returns the number of a new change.
func (l *stateLog) next() uint64 {
	l.last++
	return l.last
}

// ownSource is the name of this instance's own requests in useSums.
const ownSource = "#self"

// refreshOwn logs what has changed of this instance's own state. The caller holds the
// lock.
func (n *Network) refreshOwn() {
	all, now := n.Tracker.All(), n.Now()
	changes := map[deployment.TargetID]inflight.TargetUse{}
	for id, use := range all {
		if previous, ok := n.ownUses[id]; !ok || !previous.Equal(use) {
			changes[id] = use
		}
	}
	for id := range n.ownUses {
		if _, ok := all[id]; !ok {
			changes[id] = inflight.TargetUse{}
		}
	}
	for id := range changes {
		n.log.ownUses.touch(id, n.log.next())
	}
	n.ownUses = all
	if n.role == roleRelaying {
		n.zoneSums.patch(ownSource, changes, now)
		n.fleetSums.patch(ownSource, changes, now)
	}
	n.refreshOwnAdmitted()
}

// refreshOwnAdmitted logs what has changed of this instance's own admissions. The caller
// holds the lock.
func (n *Network) refreshOwnAdmitted() {
	admittingFor := n.Meter.AdmittingFor()
	for team, amount := range n.Meter.Admitted() {
		key := admittedKey{instance: n.Self.ID, incarnation: n.Incarnation, team: team}
		if known, ok := n.admitted[key]; ok && known.amount == amount {
			continue
		}
		n.admitted[key] = admittedRecord{zone: n.Self.Zone, sequence: n.sequence + 1, amount: amount, admittingFor: admittingFor}
		n.log.admitted.touch(key, n.log.next())
	}
}

// changesFor lists what changed in a scope after a number, for a receiver that knows as
// many names as given. The caller holds the lock.
func (n *Network) changesFor(s scope, after uint64, names uint32, receiver Member) *v1.Changes {
	c := &v1.Changes{After: after, Number: n.log.last, Scope: uint32(s), FirstName: names}
	if s != scopeOwn {
		c.Members = n.memberChanges(s, after)
	}
	if s != scopeMembers {
		c.Uses = n.useChanges(s, after, receiver)
		c.Admitted = n.admittedChanges(s, after, receiver)
		c.Engines = n.engineChanges(s, after)
	}
	c.Names = n.log.names.since(names)
	return c
}

// inScope reports whether a fact about an instance or an engine of a zone is listed in a
// scope; own is set for facts about this instance itself, which scopeOwn lists.
func (n *Network) inScope(s scope, zone string, own bool) bool {
	switch s &^ scopeAdapters {
	case scopeOwn:
		return own
	case scopeZone:
		return !own && zone == n.Self.Zone
	}
	return !own
}

// useChanges lists the changed uses of a scope. The caller holds the lock.
func (n *Network) useChanges(s scope, after uint64, receiver Member) *v1.UseChanges {
	changed, useOf := &n.log.ownUses, func(id deployment.TargetID) inflight.TargetUse { return n.ownUses[id] }
	withAdapters := func(deployment.TargetID) bool { return true }
	if s != scopeOwn {
		targets := n.Catalog.Targets()
		withAdapters = func(id deployment.TargetID) bool {
			return (s == scopeZone || s&scopeAdapters != 0) && targets[id].Zone == receiver.Zone
		}
	}
	switch s &^ scopeAdapters {
	case scopeZone:
		changed, useOf = &n.log.zoneUses, func(id deployment.TargetID) inflight.TargetUse { return n.zoneSums.sums[id] }
	case scopeFleet:
		changed, useOf = &n.log.fleetUses, func(id deployment.TargetID) inflight.TargetUse { return n.fleetSums.sums[id] }
	case scopeRelay:
		return nil
	}
	var c *v1.UseChanges
	for id := range changed.since(after) {
		use := useOf(id)
		if after == 0 && use.IsZero() {
			continue
		}
		if c == nil {
			c = &v1.UseChanges{}
		}
		target := n.log.names.number(string(id))
		c.Targets = append(c.Targets, target)
		c.Requests = append(c.Requests, uint32(max(use.Requests, 0)))
		c.WaitingTokens = append(c.WaitingTokens, uint32(max(use.WaitingTokens, 0)))
		c.Tokens = append(c.Tokens, uint32(max(use.Tokens, 0)))
		appendRanked(c, &use.Use)
		if adapters := adapterUseMessages(use); len(adapters) > 0 && withAdapters(id) {
			c.Adapters = append(c.Adapters, &v1.AdapterUses{Target: target, Adapters: adapters})
		}
	}
	return c
}

// admittedChanges lists the changed admissions of a scope. The caller holds the lock.
func (n *Network) admittedChanges(s scope, after uint64, receiver Member) *v1.AdmittedChanges {
	var c *v1.AdmittedChanges
	for key := range n.log.admitted.since(after) {
		record := n.admitted[key]
		own := key.instance == n.Self.ID && key.incarnation == n.Incarnation
		if key.instance == receiver.ID || !n.inScope(s, record.zone, own) {
			continue
		}
		if c == nil {
			c = &v1.AdmittedChanges{}
		}
		c.Instances = append(c.Instances, n.log.names.number(incarnationName(key.instance, key.incarnation, record.zone)))
		c.Teams = append(c.Teams, n.log.names.number(key.team))
		c.Sequences = append(c.Sequences, record.sequence)
		c.Amounts = append(c.Amounts, uint64(math.Ceil(max(record.amount, 0))))
		c.AdmittingMs = append(c.AdmittingMs, uint32(record.admittingFor.Milliseconds()))
	}
	return c
}

// engineChanges lists the changed engines of a scope. The caller holds the lock.
func (n *Network) engineChanges(s scope, after uint64) []*v1.EngineChange {
	var changes []*v1.EngineChange
	now := n.Now()
	for id := range n.log.engines.since(after) {
		if e := n.engines[id]; n.inScope(s, e.zone, e.own) {
			changes = append(changes, e.changeSince(after, n.log.names.number(string(id)), now))
		}
	}
	return changes
}

// memberChanges lists the changed members of a scope. The caller holds the lock.
func (n *Network) memberChanges(s scope, after uint64) []*v1.MemberChange {
	var changes []*v1.MemberChange
	now := n.Now()
	for id := range n.log.members.since(after) {
		r, ok := n.remotes[id]
		if !ok || s == scopeZone && r.Zone != n.Self.Zone {
			continue
		}
		changes = append(changes, r.change(now))
	}
	return changes
}

// change describes the instance as MemberChange documents.
func (r *remote) change(now time.Time) *v1.MemberChange {
	m := r.message(r.lastSeenAt, now)
	return &v1.MemberChange{Member: m, Silent: !r.stated, Incarnation: r.status.incarnation, StatusSequence: r.status.sequence}
}

// receiptMessage states what this instance has of another one's log. The caller holds the
// lock.
func (r *remote) receiptMessage() *v1.Receipt {
	return &v1.Receipt{
		Incarnation: r.incarnation, Names: uint32(len(r.names)), Own: r.ownNumber, Relayed: r.relayedNumber, RelayedScope: uint32(r.relayedScope),
	}
}

// position is what a receiver has of this instance's log, as far as it has stated.
type position struct {
	names        uint32
	own, relayed uint64
	relayedScope scope
}

// positionFrom reads a receipt. One for an earlier incarnation says that the receiver has
// nothing.
func (n *Network) positionFrom(m *v1.Receipt) position {
	if m.GetIncarnation() != n.Incarnation {
		return position{}
	}
	return position{names: m.GetNames(), own: m.GetOwn(), relayed: m.GetRelayed(), relayedScope: scope(m.GetRelayedScope())}
}

// after returns the number after which a receiver lacks the changes of a scope.
func (p position) after(s scope) uint64 {
	switch s {
	case scopeOwn:
		return p.own
	case p.relayedScope:
		return p.relayed
	}
	return 0
}

// scopeFor returns what this instance lists besides its own state for a requester. The
// caller holds the lock.
func (n *Network) scopeFor(requester Member, relaying, wantsAdapters bool) scope {
	switch {
	case n.role != roleRelaying:
		return scopeMembers
	case requester.Zone != n.Self.Zone:
		return scopeZone
	case relaying:
		return scopeRelay
	case wantsAdapters:
		return scopeFleet | scopeAdapters
	}
	return scopeFleet
}
