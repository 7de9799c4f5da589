package peer

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/inflight"
)

const (
	// aliveTimeout is how long an instance counts as alive after it was last
	// seen.
	aliveTimeout = 1200 * time.Millisecond
	// removeTimeout is how long an instance that is no longer seen still counts
	// as a member.
	removeTimeout = 20 * time.Second
	// removeLeavingTimeout replaces removeTimeout for an instance that
	// announced that it leaves.
	removeLeavingTimeout = 3 * time.Second
)

// Member identifies an instance and where it can be reached.
type Member struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	// Capacity rates the resources that the instance has for relaying besides
	// its own requests. Instances with more capacity become relays first.
	Capacity float64
}

// remote is what this instance knows about another one.
type remote struct {
	Member
	incarnation  string
	sequence     uint64
	leaving      bool
	cutOff       []string
	holdsLease   bool
	waitingLoads int
	// lastSeenAt is when the instance was added, when it last published its
	// state, or when a third instance last saw it, whichever is latest.
	lastSeenAt time.Time
	// memberListSentAt is when the instance was last sent the member list.
	memberListSentAt time.Time
	// lastFailureAt is when a load request to the instance last failed.
	lastFailureAt time.Time
	// uses is what the instance itself reported in flight, at lastReceivedAt.
	uses             map[deployment.TargetID]inflight.TargetUse
	lastReceivedAt   time.Time
	exchangeInFlight bool
	// exchangeStartedAt is when this instance last started an exchange with it.
	exchangeStartedAt time.Time
	client            heatherrelayv1connect.FleetServiceClient
	// cursor holds the numbers of the last changes that the instance sent as a
	// relay or lease holder.
	cursor changeCursor
}

// addMembers applies the member list of another instance.
func (n *Network) addMembers(members []*v1.Member, sentAt time.Time) {
	for _, message := range members {
		m := memberFrom(message)
		n.AddMember(m)
		n.mu.Lock()
		if r, ok := n.remotes[m.ID]; ok {
			r.applyRelayedMember(message, sentAt)
		}
		n.mu.Unlock()
	}
}

// applyRelayedMember applies what a third instance knows about a member, if it
// is newer.
func (r *remote) applyRelayedMember(m *v1.Member, sentAt time.Time) {
	seenAt := sentAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	if !seenAt.After(r.lastSeenAt) {
		return
	}
	r.lastSeenAt, r.Capacity = seenAt, m.GetCapacity()
	r.setStatus(m)
}

func (r *remote) setStatus(m *v1.Member) {
	r.leaving, r.cutOff, r.holdsLease, r.waitingLoads = m.GetLeaving(), m.GetCutOffServices(), m.GetHoldsOrders(), int(m.GetWaitingLoads())
}

// AddMember adds an instance to the known members. It ignores one that is known
// already, this instance itself and one without an address.
func (n *Network) AddMember(m Member) {
	n.init()
	if m.ID == n.Self.ID || !m.Address.IsValid() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.remotes[m.ID]; !ok {
		n.remotes[m.ID] = &remote{Member: m, lastSeenAt: n.Now(), client: n.client(m.Address)}
		n.Log.Debug("peer added", zap.String("peer", m.ID), zap.String("zone", m.Zone), zap.Stringer("address", m.Address))
	}
}

// removeExpired removes the instances that were not seen for their timeout.
func (n *Network) removeExpired() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	for id, r := range n.remotes {
		timeout := removeTimeout
		if r.leaving {
			timeout = removeLeavingTimeout
		}
		if silence := now.Sub(r.lastSeenAt); silence > timeout {
			delete(n.remotes, id)
			n.relayedStates.teamUsage.removeFunc(func(s *v1.Spending) bool { return s.GetInstanceId() == id })
			n.Meter.Forget(id)
			n.Log.Info("instance forgotten", zap.String("peer", id), zap.Duration("silence", silence), zap.Bool("leaving", r.leaving))
		}
	}
}
