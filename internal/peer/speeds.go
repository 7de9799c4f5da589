package peer

import (
	"time"

	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/speed"
)

// What instances know of the speeds of targets travels as sums, each of which replaces the one
// that its source stated before (package speed). Only the first relay of a zone states sums
// of several instances, so that these count once.

// partInterval is the time between two checks which sums this instance counts.
const partInterval = 250 * time.Millisecond

// playSpeeds tells the book whose sums this instance counts.
func (n *Network) playSpeeds() {
	if n.Speeds == nil {
		return
	}
	n.mu.Lock()
	now := n.Now()
	if now.Sub(n.speedsPlayedAt) < partInterval {
		n.mu.Unlock()
		return
	}
	n.speedsPlayedAt = now
	part := speed.Part{Zone: n.Self.Zone, Relaying: n.role == roleRelaying, Relayed: n.role == roleRelayed, First: map[string]string{}}
	if n.role != roleMeshed {
		for zone := range n.knownZones() {
			if relays := n.relays(zone); len(relays) > 0 {
				part.First[zone] = relays[0].ID
			}
		}
	}
	n.mu.Unlock()
	n.Speeds.Play(part)
}

// speedScope returns whose samples this instance states to another one, which may relay for
// its zone.
func (n *Network) speedScope(receiver Member, relaying bool) speed.Scope {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.role != roleRelaying {
		return speed.ScopeOwn
	}
	relays := n.relays(n.Self.Zone)
	first := len(relays) > 0 && relays[0].remote == nil
	switch {
	case receiver.Zone != n.Self.Zone && first:
		return speed.ScopeZone
	case receiver.Zone == n.Self.Zone && !relaying && first:
		return speed.ScopeOthers
	}
	return speed.ScopeOwn
}

// StateSpeeds returns what changed of the speeds that this instance states to another one
// after a number, which an earlier call returned, and the number for the next call; nil if
// nothing changed.
func (n *Network) StateSpeeds(receiver Member, relaying bool, after uint64) (*speed.Message, uint64) {
	if n.Speeds == nil {
		return nil, 0
	}
	scope := n.speedScope(receiver, relaying)
	statements, number := n.Speeds.Changes(scope, after, receiver.ID)
	if len(statements) == 0 {
		return nil, number
	}
	return speed.NewMessage(scope, statements), number
}

// MergeSpeeds takes over what an instance states of speeds, up to a number.
func (n *Network) MergeSpeeds(from Member, incarnation string, m *speed.Message, number uint64) error {
	if n.Speeds == nil || m == nil || from.ID == "" || from.ID == n.Self.ID {
		return nil
	}
	statements, err := m.Statements(n.Now())
	if err != nil {
		return err
	}
	n.Speeds.Merge(speed.Source{ID: from.ID, Zone: from.Zone, Incarnation: incarnation, Scope: m.Scope}, statements, number)
	return nil
}

// receiveSpeeds takes over what an instance states of speeds, unless the message is no valid
// one.
func (n *Network) receiveSpeeds(sender *v1.InstanceState, m *v1.TargetSpeeds, number uint64) {
	if m == nil {
		return
	}
	message := &speed.Message{
		Scope: speed.Scope(m.GetScope()), Processes: m.GetProcesses(),
		MomentMeans: m.GetMomentMeans(), MomentWeights: m.GetMomentWeights(), MadeMeans: m.GetMadeMeans(), MadeWeights: m.GetMadeWeights(),
	}
	if err := n.MergeSpeeds(memberFrom(sender.GetMember()), sender.GetIncarnation(), message, number); err != nil {
		n.Log.Warn("speeds of a peer refused", zap.String("peer", sender.GetMember().GetInstanceId()), zap.Error(err))
	}
}

// speedsMessage returns the message of statements; nil if there are none.
func speedsMessage(m *speed.Message) *v1.TargetSpeeds {
	if m == nil {
		return nil
	}
	return &v1.TargetSpeeds{
		Scope: uint32(m.Scope), Processes: m.Processes,
		MomentMeans: m.MomentMeans, MomentWeights: m.MomentWeights, MadeMeans: m.MadeMeans, MadeWeights: m.MadeWeights,
	}
}
