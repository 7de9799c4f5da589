package peer

import (
	"net/netip"
	"slices"
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
	// silentTimeout is how long after an instance was last heard it is stated as
	// silent, with the time since then. It is shorter than aliveTimeout, so that the
	// statement has arrived everywhere when the instance no longer counts as alive.
	silentTimeout = 800 * time.Millisecond
	// forgetAdmittedTimeout is how long after its removal an instance's admissions are
	// remembered. One that comes back after a cut reports on since its start.
	forgetAdmittedTimeout = 10 * time.Minute
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

// memberStatus is what an instance states of itself besides its identity. Of two of one
// incarnation the one with the higher sequence number is valid.
type memberStatus struct {
	incarnation  string
	sequence     uint64
	leaving      bool
	cutOff       []string
	holdsLease   bool
	waitingLoads int
}

// remote is what this instance knows about another one.
type remote struct {
	Member
	incarnation string
	sequence    uint64
	status      memberStatus
	// lastSeenAt is when the instance was added, when it last published its
	// state, or when a third instance last saw it, whichever is latest.
	lastSeenAt time.Time
	// reportedAt is when an instance of its zone last stated to have heard it itself.
	reportedAt time.Time
	// stated is set while this instance states to others that it is not silent.
	stated bool
	// memberListSentAt is when the instance was last sent the member list.
	memberListSentAt time.Time
	// lastFailureAt is when a load request to the instance last failed,
	// lastAssignFailureAt when it last did not assign an engine to a prompt.
	lastFailureAt, lastAssignFailureAt time.Time
	// unansweredAt is when the instance last did not answer a probe.
	unansweredAt time.Time
	// uses is what the instance itself reported in flight, at lastReceivedAt.
	uses             map[deployment.TargetID]inflight.TargetUse
	lastReceivedAt   time.Time
	exchangeInFlight bool
	// exchangeStartedAt is when this instance last started an exchange with it.
	exchangeStartedAt time.Time
	client            heatherrelayv1connect.FleetServiceClient
	// protocolVersion is the version of the exchange that the instance speaks, as far as
	// it has stated.
	protocolVersion uint32
	receivedState
	// position is what the instance has of this instance's log.
	position position
	// cursor holds the numbers of the last changes that the instance sent as a
	// relay or lease holder.
	cursor changeCursor
}

// receivedState is what this instance has of the log of another one.
type receivedState struct {
	names []string
	// ownNumber is the last change of the instance's own state, relayedNumber that of
	// relayedScope.
	ownNumber, relayedNumber uint64
	relayedScope             scope
	// heard holds the instances that it states not to be silent.
	heard map[string]bool
	// sums is what it relays to be in flight, included what the sums have of this
	// instance's own requests.
	sums, included map[deployment.TargetID]inflight.TargetUse
}

// restarted drops what was received from, and sent to, an earlier incarnation.
func (r *remote) restarted() {
	r.receivedState, r.position, r.cursor, r.protocolVersion, r.uses = receivedState{}, position{}, changeCursor{}, 0, nil
}

// addMembers applies the member list of another instance.
func (n *Network) addMembers(members []*v1.Member, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, message := range members {
		if r := n.addMember(memberFrom(message)); r != nil {
			n.applyRelayedMember(r, message, sentAt)
		}
	}
}

// applyRelayedMember applies what a third instance knows about a member, if it
// is newer. The caller holds the lock.
func (n *Network) applyRelayedMember(r *remote, m *v1.Member, sentAt time.Time) {
	at := seenAt(m, sentAt)
	if !at.After(r.lastSeenAt) {
		return
	}
	r.lastSeenAt, r.Capacity = at, m.GetCapacity()
	if at.After(r.reportedAt) {
		r.reportedAt = at
	}
	n.setStatus(r, statusFrom(m, r.status.incarnation, r.status.sequence))
}

// applyMembers applies the members that another instance states, and the statement that
// those which it did not state as silent are still heard. The caller holds the lock.
func (n *Network) applyMembers(from *remote, c *v1.Changes, sentAt time.Time) {
	if c.GetAfter() == 0 || from.heard == nil {
		from.heard = map[string]bool{}
	}
	for _, change := range c.GetMembers() {
		r := n.addMember(memberFrom(change.GetMember()))
		if r == nil {
			continue
		}
		from.heard[r.ID] = !change.GetSilent()
		if change.GetSilent() {
			r.markSilent(from, seenAt(change.GetMember(), sentAt))
		}
		status := statusFrom(change.GetMember(), change.GetIncarnation(), change.GetStatusSequence())
		if status.newerThan(r.status) && sentAt.Sub(r.lastReceivedAt) > aliveTimeout {
			r.Capacity = change.GetMember().GetCapacity()
			n.setStatus(r, status)
		}
	}
	for id, heard := range from.heard {
		if r, ok := n.remotes[id]; ok && heard {
			r.markHeard(from, sentAt)
		}
	}
}

// markHeard records that another instance states to hear this one.
func (r *remote) markHeard(by *remote, at time.Time) {
	if at.After(r.lastSeenAt) {
		r.lastSeenAt = at
	}
	if by.Zone == r.Zone && at.After(r.reportedAt) {
		r.reportedAt = at
	}
}

// markSilent records that another instance states not to have heard this one since a
// time. Until it did so its statements counted as newer than that.
func (r *remote) markSilent(by *remote, since time.Time) {
	latest := func(a, b time.Time) time.Time {
		if a.After(b) {
			return a
		}
		return b
	}
	r.lastSeenAt = latest(r.lastReceivedAt, since)
	if by.Zone == r.Zone {
		r.reportedAt = since
	}
}

// newerThan reports whether a status replaces another one.
func (s memberStatus) newerThan(known memberStatus) bool {
	return s.incarnation != "" && (s.incarnation != known.incarnation || s.sequence > known.sequence)
}

func statusFrom(m *v1.Member, incarnation string, sequence uint64) memberStatus {
	return memberStatus{
		incarnation: incarnation, sequence: sequence, leaving: m.GetLeaving(), cutOff: m.GetCutOffServices(),
		holdsLease: m.GetHoldsOrders(), waitingLoads: int(m.GetWaitingLoads()),
	}
}

// setStatus replaces the status of an instance, and logs it if it says something new. The
// caller holds the lock.
func (n *Network) setStatus(r *remote, next memberStatus) {
	known := r.status
	r.status = next
	if known.incarnation != next.incarnation || known.leaving != next.leaving || known.holdsLease != next.holdsLease ||
		known.waitingLoads != next.waitingLoads || !slices.Equal(known.cutOff, next.cutOff) {
		n.log.members.touch(r.ID, n.log.next())
	}
}

// stateSilence logs the instances that have become silent or are heard again. The caller
// holds the lock.
func (n *Network) stateSilence() {
	now := n.Now()
	for _, r := range n.remotes {
		if stated := now.Sub(r.hearsayAt(n.Self.Zone)) <= silentTimeout; stated != r.stated {
			r.stated = stated
			n.log.members.touch(r.ID, n.log.next())
		}
	}
}

// hearsayAt returns when the instance was last heard, as far as an instance of a zone may
// state it: by itself, or for one of another zone by an instance of that zone. What others
// pass on is not passed on again, since instances would keep each other's statements
// alive.
func (r *remote) hearsayAt(zone string) time.Time {
	if r.Zone != zone && r.reportedAt.After(r.lastReceivedAt) {
		return r.reportedAt
	}
	return r.lastReceivedAt
}

// AddMember adds an instance to the known members. It ignores one that is known
// already, this instance itself and one without an address.
func (n *Network) AddMember(m Member) {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addMember(m)
}

// addMember is AddMember for a caller that holds the lock. It returns what is known of
// the instance; nil for this instance itself and one without an address.
func (n *Network) addMember(m Member) *remote {
	if m.ID == "" || m.ID == n.Self.ID || !m.Address.IsValid() {
		return nil
	}
	r, ok := n.remotes[m.ID]
	if !ok {
		r = &remote{Member: m, lastSeenAt: n.Now(), client: n.client(m.Address)}
		n.remotes[m.ID] = r
		delete(n.removedAt, m.ID)
		n.log.members.touch(m.ID, n.log.next())
		n.Log.Debug("peer added", zap.String("peer", m.ID), zap.String("zone", m.Zone), zap.Stringer("address", m.Address))
	}
	return r
}

// removeExpired removes the instances that were not seen for their timeout, and what
// those admitted that were removed long ago. The caller holds the lock.
func (n *Network) removeExpired() {
	now := n.Now()
	for id, at := range n.removedAt {
		if now.Sub(at) > forgetAdmittedTimeout {
			delete(n.removedAt, id)
			n.forgetAdmitted(id)
		}
	}
	for id, r := range n.remotes {
		timeout := removeTimeout
		if r.status.leaving {
			timeout = removeLeavingTimeout
		}
		if silence := now.Sub(r.lastSeenAt); silence > timeout {
			delete(n.remotes, id)
			n.removedAt[id] = now
			n.log.members.remove(id)
			n.Log.Info("instance forgotten", zap.String("peer", id), zap.Duration("silence", silence), zap.Bool("leaving", r.status.leaving))
		}
	}
}
