package peer

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/object"
)

// hear takes another instance's state.
func (n *Network) hear(s *v1.InstanceState) {
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
	since := n.Now().Sub(r.toldAt)
	if !stale {
		if !r.leaving && s.GetMember().GetLeaving() {
			n.Log.Info("instance leaves", zap.String("peer", m.ID))
		}
		if r.incarnation != s.GetIncarnation() {
			r.received = received{}
		}
		r.Member, r.incarnation, r.sequence = m, s.GetIncarnation(), s.GetSequence()
		r.takeStatus(s.GetMember())
		r.heardAt, r.toldAt = n.Now(), n.Now()
		r.uses = usesFrom(s.GetTargets())
		n.summed = false
	}
	direct := n.countsDirectly(r)
	n.mu.Unlock()
	if stale {
		return
	}
	if direct {
		n.noteUses(s.GetTargets(), since)
	}
	n.takeSpending(spendingOf(s))
	for _, e := range s.GetEngines() {
		n.takeEngine(e, n.Now())
	}
}

// usualDuration is about how long a request runs. A request that is seen under
// way counts as used by the part of it that passed since the last sighting.
const usualDuration = 1500 * time.Millisecond

// noteUses tells the holder of orders which adapters other instances use, as seen
// a while after the last sighting.
func (n *Network) noteUses(uses []*v1.TargetUse, since time.Duration) {
	weight := float64(min(max(since, 0), exchangeInterval)) / float64(usualDuration)
	for _, u := range uses {
		for _, a := range u.GetAdapters() {
			name := deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}
			n.Holder.Used(deployment.TargetID(u.GetTargetId()), name, weight*float64(a.GetRequests()))
		}
	}
}

// takeBelief takes a peer's copy of objects of the store. The peer's age counts
// from before the exchange was sent.
func (n *Network) takeBelief(b *v1.Belief, sentAt time.Time) {
	f, ok := n.Catalog.Followers()[object.Kind(b.GetState().GetKind())]
	if !ok {
		return
	}
	f.Merge(stateFrom(b.GetState(), sentAt), b.GetComplete(), objectsFrom(b.GetObjects()))
}
