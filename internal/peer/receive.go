package peer

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/platformstore"
)

// receiveState applies the state that another instance published. A state that
// is not newer than the last one of the same incarnation is ignored.
func (n *Network) receiveState(s *v1.InstanceState) {
	m := memberFrom(s.GetMember())
	if m.ID == "" || m.ID == n.Self.ID || !m.Address.IsValid() {
		return
	}
	n.mu.Lock()
	r, ok := n.remotes[m.ID]
	if !ok || r.Address != m.Address {
		r = &remote{Member: m, client: n.client(m.Address)}
		n.remotes[m.ID] = r
	}
	stale := r.incarnation == s.GetIncarnation() && s.GetSequence() <= r.sequence
	elapsed := n.Now().Sub(r.lastReceivedAt)
	if !stale {
		if !r.leaving && s.GetMember().GetLeaving() {
			n.Log.Info("peer announced that it leaves", zap.String("peer", m.ID))
		}
		if r.incarnation != s.GetIncarnation() {
			r.cursor = changeCursor{}
		}
		r.Member, r.incarnation, r.sequence = m, s.GetIncarnation(), s.GetSequence()
		r.setStatus(s.GetMember())
		r.lastSeenAt, r.lastReceivedAt = n.Now(), n.Now()
		r.uses = targetUsesFrom(s.GetTargets())
		n.remoteUsesValid = false
	}
	direct := n.countsDirectly(r)
	n.mu.Unlock()
	if stale {
		return
	}
	if direct {
		n.recordAdapterUses(s.GetTargets(), elapsed)
	}
	n.applyTeamUsage(teamUsageOf(s))
	for _, e := range s.GetEngines() {
		n.applyEngine(e, n.Now())
	}
}

// typicalRequestDuration is about how long a request runs. A request in flight
// counts as one use spread over that time: each report of it adds the part that
// passed since the report before.
const typicalRequestDuration = 1500 * time.Millisecond

// recordAdapterUses passes the adapters that other instances use to this
// instance's Holder, which counts uses on the engines that it holds the lease
// for. elapsed is the time since the previous report of the same source.
func (n *Network) recordAdapterUses(uses []*v1.TargetUse, elapsed time.Duration) {
	weight := float64(min(max(elapsed, 0), exchangeInterval)) / float64(typicalRequestDuration)
	for _, u := range uses {
		for _, a := range u.GetAdapters() {
			name := deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}
			n.Holder.RecordUse(deployment.TargetID(u.GetTargetId()), name, weight*float64(a.GetRequests()))
		}
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
	f.Merge(replicaStateFrom(b.GetState(), sentAt), b.GetComplete(), objectsFrom(b.GetObjects()))
}
