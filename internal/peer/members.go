package peer

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/load"
)

const (
	// heardTime is how long an instance counts as heard after its last word.
	heardTime = 1200 * time.Millisecond
	// forgetTime is how long a silent instance still counts as a member.
	forgetTime = 20 * time.Second
	// leaveTime is the same for one that said that it leaves.
	leaveTime = 3 * time.Second
)

// Member is an instance.
type Member struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	// Capacity says how much the instance can carry beside its own work.
	Capacity float64
}

// remote is what this instance knows of another.
type remote struct {
	Member
	incarnation string
	sequence    uint64
	leaving     bool
	holds       bool
	waiting     int
	// heardAt is when this instance, or one that told of it, last heard of it.
	heardAt time.Time
	// membersAt is when it was last told of the others.
	membersAt time.Time
	// failedAt is when a call to it last failed.
	failedAt time.Time
	// uses are what it told this instance itself, at toldAt.
	uses    map[deployment.TargetID]load.TargetUse
	toldAt  time.Time
	calling bool
	// calledAt is when the last exchange with it was started.
	calledAt time.Time
	client   heatherrelayv1connect.FleetServiceClient
	// received is what it relayed last.
	received received
}

// learnMembers takes what another instance knows of the others.
func (n *Network) learnMembers(members []*v1.Member, sentAt time.Time) {
	for _, message := range members {
		m := memberFrom(message)
		n.Learn(m)
		n.mu.Lock()
		if r, ok := n.remotes[m.ID]; ok {
			r.hearsay(message, sentAt)
		}
		n.mu.Unlock()
	}
}

// hearsay takes what a third instance heard, if that is newer.
func (r *remote) hearsay(m *v1.Member, sentAt time.Time) {
	heardAt := sentAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	if !heardAt.After(r.heardAt) {
		return
	}
	r.heardAt, r.Capacity = heardAt, m.GetCapacity()
	r.takeStatus(m)
}

func (r *remote) takeStatus(m *v1.Member) {
	r.leaving, r.holds, r.waiting = m.GetLeaving(), m.GetHoldsOrders(), int(m.GetWaitingLoads())
}

// Learn adds an instance that was not known.
func (n *Network) Learn(m Member) {
	n.init()
	if m.ID == n.Self.ID || !m.Address.IsValid() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.remotes[m.ID]; !ok {
		n.remotes[m.ID] = &remote{Member: m, heardAt: n.Now(), client: n.client(m.Address)}
		n.Log.Debug("instance learned of", zap.String("peer", m.ID), zap.String("zone", m.Zone), zap.Stringer("address", m.Address))
	}
}

// forget drops instances that have been silent for long.
func (n *Network) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	for id, r := range n.remotes {
		limit := forgetTime
		if r.leaving {
			limit = leaveTime
		}
		if silence := now.Sub(r.heardAt); silence > limit {
			delete(n.remotes, id)
			n.originals.spendings.drop(func(s *v1.Spending) bool { return s.GetInstanceId() == id })
			n.Meter.Forget(id)
			n.Log.Info("instance forgotten", zap.String("peer", id), zap.Duration("silence", silence), zap.Bool("leaving", r.leaving))
		}
	}
}
