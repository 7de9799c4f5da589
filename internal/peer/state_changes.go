package peer

import (
	"maps"
	"time"

	"github.com/zeebo/errs"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
)

// ErrBadMessage is the class of messages between instances that are refused whole.
var ErrBadMessage = errs.Class("bad message of a peer")

// validateChanges checks a list of changes against the names that its sender has sent.
func validateChanges(c *v1.Changes, known int) error {
	if c == nil {
		return nil
	}
	if int(c.GetFirstName()) > known {
		return ErrBadMessage.New("names: %d are known, the list begins at %d", known, c.GetFirstName())
	}
	if c.GetAfter() > c.GetNumber() {
		return ErrBadMessage.New("number: changes after %d up to %d", c.GetAfter(), c.GetNumber())
	}
	names := max(known, int(c.GetFirstName())+len(c.GetNames()))
	u := c.GetUses()
	if t := len(u.GetTargets()); len(u.GetRequests()) != t || len(u.GetWaitingTokens()) != t || len(u.GetTokens()) != t {
		return ErrBadMessage.New("uses: lists of different lengths")
	}
	if err := validateRanked(u); err != nil {
		return err
	}
	a := c.GetAdmitted()
	if i := len(a.GetInstances()); len(a.GetTeams()) != i || len(a.GetSequences()) != i || len(a.GetAmounts()) != i || len(a.GetAdmittingMs()) != i {
		return ErrBadMessage.New("admitted: lists of different lengths")
	}
	for _, numbers := range [][]uint32{u.GetTargets(), a.GetInstances(), a.GetTeams(), adapterTargets(u), engineTargets(c.GetEngines())} {
		for _, number := range numbers {
			if int(number) >= names {
				return ErrBadMessage.New("name %d of %d", number, names)
			}
		}
	}
	return validateMembers(c.GetMembers())
}

func adapterTargets(u *v1.UseChanges) []uint32 {
	var targets []uint32
	for _, a := range u.GetAdapters() {
		targets = append(targets, a.GetTarget())
	}
	return targets
}

func engineTargets(engines []*v1.EngineChange) []uint32 {
	var targets []uint32
	for _, e := range engines {
		targets = append(targets, e.GetTarget())
	}
	return targets
}

// validateMembers checks that each member is identified and listed once.
func validateMembers(members []*v1.MemberChange) error {
	seen := map[string]bool{}
	for _, c := range members {
		m := memberFrom(c.GetMember())
		switch {
		case m.ID == "" || !m.Address.IsValid():
			return ErrBadMessage.New("members: %q at %q is no instance", m.ID, c.GetMember().GetAddress())
		case seen[m.ID]:
			return ErrBadMessage.New("members: %q is listed twice", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}

// applyChanges applies a list of changes of another instance. included is what the
// sender's sums hold of this instance's own requests, if the list has sums. Changes that
// leave a gap are ignored, and so are those that are older than what is known: the next
// receipt has the sender list again what is missing.
func (n *Network) applyChanges(id string, c *v1.Changes, sentAt time.Time, included map[deployment.TargetID]inflight.TargetUse) error {
	if c == nil {
		return nil
	}
	n.mu.Lock()
	r, ok := n.remotes[id]
	if !ok {
		n.mu.Unlock()
		return nil
	}
	if err := validateChanges(c, len(r.names)); err != nil {
		n.mu.Unlock()
		return err
	}
	if overlap := len(r.names) - int(c.GetFirstName()); overlap < len(c.GetNames()) {
		r.names = append(r.names, c.GetNames()[overlap:]...)
	}
	names := r.names
	if !r.advance(c) {
		n.mu.Unlock()
		return nil
	}
	s := scope(c.GetScope())
	if s != scopeOwn {
		n.applyMembers(r, c, sentAt)
	}
	n.applyUses(r, c, names, sentAt, included)
	n.mu.Unlock()
	n.applyAdmitted(admittedUpdates(c.GetAdmitted(), names))
	now := n.Now()
	for _, e := range c.GetEngines() {
		n.applyEngine(n.engineUpdateFrom(e, names, now))
	}
	return nil
}

// advance records the number that a list of changes leads to. It returns false if the
// list must be ignored.
func (r *remote) advance(c *v1.Changes) bool {
	s := scope(c.GetScope())
	known := r.ownNumber
	if s != scopeOwn {
		known = r.relayedNumber
		if r.relayedScope != s {
			known = 0
		}
	}
	if c.GetAfter() > known || c.GetNumber() < known {
		return false
	}
	if s == scopeOwn {
		r.ownNumber = c.GetNumber()
		return true
	}
	r.relayedNumber, r.relayedScope = c.GetNumber(), s
	return true
}

// applyUses applies the uses of a list of changes. The caller holds the lock.
func (n *Network) applyUses(r *remote, c *v1.Changes, names []string, sentAt time.Time, included map[deployment.TargetID]inflight.TargetUse) {
	changes := useChangesFrom(c.GetUses(), names)
	s := scope(c.GetScope())
	switch s &^ scopeAdapters {
	case scopeOwn:
		if c.GetAfter() == 0 {
			r.uses = nil
		}
		r.uses = patchUses(r.uses, changes)
		n.countOwnUses(r, changes, c.GetAfter() == 0)
	case scopeZone, scopeFleet:
		if c.GetAfter() == 0 {
			r.sums = nil
		}
		r.sums = patchUses(r.sums, changes)
		n.countSums(r, s, changes, sentAt, included)
	}
}

// patchUses replaces the uses at the targets in changes. A target without requests is
// removed.
func patchUses(uses, changes map[deployment.TargetID]inflight.TargetUse) map[deployment.TargetID]inflight.TargetUse {
	if uses == nil {
		uses = map[deployment.TargetID]inflight.TargetUse{}
	}
	for id, use := range changes {
		if use.IsZero() {
			delete(uses, id)
		} else {
			uses[id] = use
		}
	}
	return uses
}

// countOwnUses adds what an instance reported of itself to the sums, if it is counted
// directly. The caller holds the lock.
func (n *Network) countOwnUses(r *remote, changes map[deployment.TargetID]inflight.TargetUse, complete bool) {
	if !n.countsDirectly(r) {
		return
	}
	now := n.Now()
	sums := []*useSums{&n.fleetSums}
	if n.role == roleRelaying {
		sums = append(sums, &n.zoneSums)
	}
	for _, s := range sums {
		if _, known := s.sources[r.ID]; complete || !known {
			s.replace(r.ID, r.uses, now)
		} else {
			s.patch(r.ID, changes, now)
		}
	}
}

// The names of the sources of sums that relays form.
const (
	relaySource      = "#relay"
	zoneSourcePrefix = "#zone "
)

// countSums adds the sums of a relay to this instance's own ones: those of another zone
// at a relay, those of the fleet, less this instance's own part, at any other instance.
// Of the relays of a zone only the first that is alive is used. The caller holds the
// lock.
func (n *Network) countSums(r *remote, s scope, changes map[deployment.TargetID]inflight.TargetUse, sentAt time.Time, included map[deployment.TargetID]inflight.TargetUse) {
	if relays := n.relays(r.Zone); len(relays) > 0 && relays[0].ID != r.ID {
		r.included = included
		return
	}
	var name string
	switch {
	case n.role == roleRelaying && s == scopeZone && r.Zone != n.Self.Zone:
		name = zoneSourcePrefix + r.Zone
	case n.role == roleRelayed && s&^scopeAdapters == scopeFleet && r.Zone == n.Self.Zone:
		name = relaySource
		changes = withoutOwn(r, changes, included)
	default:
		return
	}
	if _, known := n.fleetSums.sources[name]; known && n.sumsFrom[name] == r.ID+"#"+r.incarnation {
		n.fleetSums.patch(name, changes, sentAt)
		return
	}
	n.sumsFrom[name] = r.ID + "#" + r.incarnation
	all := r.sums
	if name == relaySource {
		all = withoutOwn(r, maps.Clone(r.sums), included)
	}
	n.fleetSums.replace(name, all, sentAt)
}

// withoutOwn returns, for the targets in changes and those whose part in the sums has
// changed, the sums of a relay without what they include of this instance's own
// requests.
func withoutOwn(r *remote, changes, included map[deployment.TargetID]inflight.TargetUse) map[deployment.TargetID]inflight.TargetUse {
	others := make(map[deployment.TargetID]inflight.TargetUse, len(changes))
	add := func(id deployment.TargetID) { others[id] = r.sums[id].Without(included[id]) }
	for id := range changes {
		add(id)
	}
	for id, use := range included {
		if !use.Equal(r.included[id]) {
			add(id)
		}
	}
	for id := range r.included {
		if _, ok := included[id]; !ok {
			add(id)
		}
	}
	r.included = included
	return others
}

// useChangesFrom reads uses whose numbers stand for names.
func useChangesFrom(c *v1.UseChanges, names []string) map[deployment.TargetID]inflight.TargetUse {
	changes := make(map[deployment.TargetID]inflight.TargetUse, len(c.GetTargets()))
	for i, number := range c.GetTargets() {
		changes[deployment.TargetID(names[number])] = inflight.TargetUse{Use: inflight.Use{
			Requests: int(c.GetRequests()[i]), WaitingTokens: int(c.GetWaitingTokens()[i]), Tokens: int(c.GetTokens()[i]),
			Ranked: rankedFrom(c, i),
		}}
	}
	for _, a := range c.GetAdapters() {
		id := deployment.TargetID(names[a.GetTarget()])
		use := changes[id]
		use.Adapters = adapterUsesFrom(a.GetAdapters())
		changes[id] = use
	}
	return changes
}

// expireSums removes the sources of sums that have reported nothing for useTimeout. The
// caller holds the lock.
func (n *Network) expireSums() {
	now := n.Now()
	expired := func(name string, s *useSource) bool { return name != ownSource && now.Sub(s.asOf) > useTimeout }
	n.fleetSums.removeFunc(expired)
	n.zoneSums.removeFunc(expired)
}

// resetSums forms the sums anew, after this instance's role has changed. The caller holds
// the lock.
func (n *Network) resetSums() {
	all := func(string, *useSource) bool { return true }
	n.fleetSums.removeFunc(all)
	n.zoneSums.removeFunc(all)
	n.sumsFrom = map[string]string{}
	now := n.Now()
	if n.role == roleRelaying {
		n.fleetSums.replace(ownSource, n.ownUses, now)
		n.zoneSums.replace(ownSource, n.ownUses, now)
	}
	for _, r := range n.remotes {
		if now.Sub(r.lastReceivedAt) <= useTimeout {
			n.countOwnUses(r, nil, true)
		}
	}
}
