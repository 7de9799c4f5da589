package instance

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// askedFreshness is how long the answers of peers count as those of just now.
const askedFreshness = 3 * time.Second

// Syncer keeps the router's view of the zone's targets up to date: it asks each
// peer of the zone for what changed, and takes over what this instance owns. A
// target is usable while its owner was heard within StaleAfter.
type Syncer struct {
	Router    *Router
	Ownership *Ownership
	Directory *Directory
	Peers     *Peers
	// Every is the time between syncs with a peer.
	Every time.Duration
	// StaleAfter is the age from which a peer's word does not count.
	StaleAfter time.Duration
	Log        *zap.Logger

	mu    sync.Mutex
	peers map[string]*syncedPeer
}

type syncedPeer struct {
	peerStates
	heardAt time.Time
	busy    bool
	// startedAt is when the sync under way began, askedAt when the last one that
	// has ended did, with an answer or without.
	startedAt time.Time
	askedAt   time.Time
	// answeredAt is when the last sync that was answered began.
	answeredAt time.Time
}

// Run syncs until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		s.own()
		for _, l := range s.Directory.Live(s.Router.Zone) {
			if l.ID == s.Router.Self {
				continue
			}
			if p, ok := s.begin(l.ID); ok {
				tasks.Go(func() { s.sync(ctx, l.ID, l.Peer, p) })
			}
		}
		s.drop(time.Now())
		if !sleep(ctx, s.Every) {
			return
		}
	}
}

// begin marks a peer as being asked, unless it is already.
func (s *Syncer) begin(id string) (*syncedPeer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]*syncedPeer{}
	}
	p, ok := s.peers[id]
	if !ok {
		p = &syncedPeer{}
		s.peers[id] = p
	}
	if p.busy {
		return nil, false
	}
	p.busy = true
	p.startedAt = time.Now()
	return p, true
}

func (s *Syncer) sync(ctx context.Context, id string, address netip.AddrPort, p *syncedPeer) {
	m, err := s.Peers.SyncTargets(ctx, address, p.epoch, p.sequence)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.busy = false
	p.askedAt = p.startedAt
	if err != nil {
		s.Log.Debug("sync_failed", zap.String("peer", id), zap.Error(err))
		return
	}
	p.heardAt = time.Now()
	p.answeredAt = p.startedAt
	s.Ownership.Heard(id, s.claims(m))
	for _, targetID := range p.apply(m) {
		s.show(id, targetID, p.targets[targetID])
	}
}

// claims returns the target groups that a peer's answer says it owns.
func (s *Syncer) claims(m *v1.SyncTargetsResponse) []*v1.GroupClaim {
	var claims []*v1.GroupClaim
	for _, t := range m.GetTargets() {
		if t.GetOwned() {
			group := groupOf(s.Router.Zone, t.GetTargetId(), s.Ownership.GroupCount)
			claims = append(claims, &v1.GroupClaim{Group: group, Fencing: t.GetFencing(), Incarnation: m.GetEpoch()})
		}
	}
	return claims
}

// Asked reports whether every live peer of the zone has been asked within
// askedFreshness, whether it answered or not.
func (s *Syncer) Asked(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.Directory.Live(s.Router.Zone) {
		if l.ID == s.Router.Self {
			continue
		}
		if p, ok := s.peers[l.ID]; !ok || now.Sub(p.askedAt) > askedFreshness {
			return false
		}
	}
	return true
}

// show puts one target of a peer into the view, if that peer owns it.
func (s *Syncer) show(peer, targetID string, t *v1.TargetState) {
	holder, _ := s.Ownership.Holder(targetID)
	if holder != peer {
		return
	}
	r := s.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	if t == nil || !t.GetOwned() {
		r.view.RemoveTarget(targetID)
		return
	}
	r.view.Set(infoOf(r.Zone, t))
	r.view.SetLoad(targetID, loadOf(t))
	r.view.SetResident(targetID, idsFromStrings(t.GetResident()))
}

// own shows the targets of this instance.
func (s *Syncer) own() {
	states := s.Ownership.States()
	r := s.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range states {
		if !state.Owned {
			continue
		}
		snapshot := state.Snapshot
		r.view.Set(adapter.TargetInfo{
			ID:        state.Entry.ID,
			Zone:      r.Zone,
			BaseModel: state.Entry.BaseModel,
			Slots:     snapshot.Slots,
			Capacity:  snapshot.Capacity,
			Usable:    snapshot.Usable,
		})
		r.view.SetLoad(state.Entry.ID, adapter.TargetLoad{
			QueuedTokens: snapshot.QueuedTokens,
			Running:      snapshot.Running,
			Capacity:     snapshot.Capacity,
		})
		r.view.SetResident(state.Entry.ID, snapshot.Residents)
	}
}

// drop makes unusable what no listed owner speaks for any more.
func (s *Syncer) drop(now time.Time) {
	listed := map[string]bool{}
	for _, e := range s.Directory.Targets() {
		listed[e.ID] = e.Zone == s.Router.Zone && !e.Leaving
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		stale := now.Sub(p.heardAt) > s.StaleAfter
		for targetID := range p.targets {
			holder, _ := s.Ownership.Holder(targetID)
			if stale && holder == id || !listed[targetID] {
				s.Router.Forget(targetID)
			}
		}
		if stale {
			p.peerStates = peerStates{}
		}
	}
}

// Former returns what tells which adapters a former owner still uses on a
// target, from syncs that begin after the first call; false means not known yet.
func (s *Syncer) Former(peer, targetID string) func() ([]adapter.ID, bool) {
	var once sync.Once
	var since time.Time
	return func() ([]adapter.ID, bool) {
		once.Do(func() { since = time.Now() })
		if s.Directory.Released(peer) {
			return nil, true
		}
		return s.inUse(peer, targetID, since)
	}
}

func (s *Syncer) inUse(peer, targetID string, since time.Time) ([]adapter.ID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[peer]
	if !ok || p.targets == nil || !p.answeredAt.After(since) {
		return nil, false
	}
	t, ok := p.targets[targetID]
	if !ok {
		return nil, true
	}
	if t.GetOwned() {
		return nil, false
	}
	return idsFromStrings(t.GetInUse()), true
}

// Forget takes a target out of the view.
func (r *Router) Forget(targetID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RemoveTarget(targetID)
}
