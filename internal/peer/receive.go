package peer

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/platformstore"
)

// receiveState applies the state that another instance published. A state that
// is not newer than the last one of the same incarnation is ignored. It fails with
// ErrBadMessage, and applies nothing, if the state is no valid one.
func (n *Network) receiveState(s *v1.InstanceState, version uint32) error {
	m := memberFrom(s.GetMember())
	if m.ID == n.Self.ID {
		return nil
	}
	if m.ID == "" || !m.Address.IsValid() {
		return ErrBadMessage.New("member: %q at %q is no instance", m.ID, s.GetMember().GetAddress())
	}
	if version > protocolVersion+1 {
		return ErrBadMessage.New("protocol_version: %d is unknown, %d is spoken", version, protocolVersion)
	}
	n.mu.Lock()
	names := 0
	if r, ok := n.remotes[m.ID]; ok && r.incarnation == s.GetIncarnation() {
		names = len(r.names)
	}
	if err := validateChanges(s.GetChanges(), names); err != nil {
		n.mu.Unlock()
		return err
	}
	r := n.addMember(m)
	if r.Address != m.Address {
		r.client = n.client(m.Address)
	}
	stale := r.incarnation == s.GetIncarnation() && s.GetSequence() <= r.sequence
	if stale {
		n.mu.Unlock()
		return nil
	}
	if r.incarnation != s.GetIncarnation() {
		r.restarted()
	}
	if !r.status.leaving && s.GetMember().GetLeaving() {
		n.Log.Info("peer announced that it leaves", zap.String("peer", m.ID))
	}
	r.Member, r.incarnation, r.sequence, r.protocolVersion = m, s.GetIncarnation(), s.GetSequence(), version
	n.setStatus(r, statusFrom(s.GetMember(), s.GetIncarnation(), s.GetSequence()))
	r.lastSeenAt, r.lastReceivedAt = n.Now(), n.Now()
	if version == 0 {
		n.applyCompleteUses(r, s)
	}
	n.countOwnUses(r, nil, false)
	n.mu.Unlock()
	if version == 0 {
		n.applyCompleteState(m, s)
		return nil
	}
	return n.applyChanges(m.ID, s.GetChanges(), n.Now(), nil)
}

// applyResponse applies the response to a request. sent is what the request said of this
// instance. It fails with ErrBadMessage if a part is not valid; the parts before it are
// applied.
func (n *Network) applyResponse(response *v1.ExchangeResponse, request *v1.ExchangeRequest, sent sentState, sentAt time.Time) error {
	id := response.GetResponder().GetMember().GetInstanceId()
	if err := n.receiveState(response.GetResponder(), response.GetProtocolVersion()); err != nil {
		return err
	}
	if response.GetResponder().GetIncarnation() == request.GetChangesSource() {
		n.recordPushed(id, sent.notices)
	}
	position := n.positionFrom(response.GetReceipt())
	n.mu.Lock()
	included := sent.uses
	if r, ok := n.remotes[id]; ok && response.GetReceipt() != nil {
		r.position = position
		if position.own != sent.number {
			// The responder has ignored the changes in the request.
			included = r.included
		}
	}
	n.mu.Unlock()
	if err := n.applyChanges(id, response.GetChanges(), sentAt, included); err != nil {
		return err
	}
	n.applyCompleteResponse(response, sentAt)
	n.applyNotices(response)
	return nil
}

// typicalRequestDuration is about how long a request runs. A request in flight
// counts as one use spread over that time: each report of it adds the part that
// passed since the report before.
const typicalRequestDuration = 1500 * time.Millisecond

// countAdapterUses tells this instance's Holder which adapters the other instances use
// on the engines that it holds the lease for.
func (n *Network) countAdapterUses() {
	if !n.Holder.Holds() {
		return
	}
	type adapterUse struct {
		target   deployment.TargetID
		adapter  deployment.AdapterName
		requests int
	}
	var uses []adapterUse
	now := n.Now()
	n.mu.Lock()
	elapsed := now.Sub(n.adaptersCountedAt)
	if elapsed < adapterUseInterval {
		n.mu.Unlock()
		return
	}
	n.adaptersCountedAt = now
	own := n.fleetSums.sources[ownSource]
	for id, sum := range n.fleetSums.sums {
		for name, requests := range sum.Adapters {
			if own != nil {
				requests -= own.uses[id].Adapters[name]
			}
			if name.Adapter != "" && requests > 0 {
				uses = append(uses, adapterUse{target: id, adapter: name, requests: requests})
			}
		}
	}
	n.mu.Unlock()
	weight := float64(min(elapsed, 2*adapterUseInterval)) / float64(typicalRequestDuration)
	for _, u := range uses {
		n.Holder.RecordUse(u.target, u.adapter, weight*float64(u.requests))
	}
}

// mergeReplica merges a peer's replica of one kind of store objects. The age of
// the peer's last confirmation counts from sentAt, before the exchange was
// sent, so that the replica never looks newer than it is.
func (n *Network) mergeReplica(b *v1.Belief, sentAt time.Time) {
	f, ok := n.Catalog.Followers()[platformstore.Kind(b.GetState().GetKind())]
	if !ok {
		return
	}
	state := replicaStateFrom(b.GetState(), sentAt)
	if b.GetPartial() {
		f.MergeChanges(state, b.GetChangedAfter(), objectsFrom(b.GetObjects()))
		return
	}
	f.Merge(state, b.GetComplete(), objectsFrom(b.GetObjects()))
}
