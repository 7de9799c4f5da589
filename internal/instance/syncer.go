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

// peersQueriedWindow is how long a query of a peer counts as recent.
const peersQueriedWindow = 3 * time.Second

// Syncer keeps the router's view of the zone's targets up to date. It requests the
// target changes of each peer of the zone, and adds the targets that this instance
// owns. A target stays in the view while a sync with its owner succeeded within
// StaleAfter.
type Syncer struct {
	Router    *Router
	Ownership *Ownership
	Directory *Directory
	Peers     *Peers
	// Interval is the time between syncs with a peer.
	Interval time.Duration
	// StaleAfter is the age after which the states received from a peer are dropped.
	StaleAfter time.Duration
	Log        *zap.Logger

	mu    sync.Mutex
	peers map[string]*syncedPeer
}

// syncedPeer is the state of the syncs with one peer.
type syncedPeer struct {
	peerTargets
	// receivedAt is when the last response was received.
	receivedAt time.Time
	// syncing is set while a sync is in flight.
	syncing bool
	// startedAt is when the current or last sync began.
	startedAt time.Time
	// lastAttemptStart is when the last sync that has ended, with or without a
	// response, began.
	lastAttemptStart time.Time
	// lastSuccessStart is when the last sync that got a response began.
	lastSuccessStart time.Time
}

// Run syncs with all live peers of the zone at each interval until ctx ends. A
// peer whose previous sync is still in flight is skipped.
func (s *Syncer) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		s.updateOwnedTargets()
		for _, l := range s.Directory.Live(s.Router.Zone) {
			if l.ID == s.Router.InstanceID {
				continue
			}
			if p, ok := s.beginSync(l.ID); ok {
				tasks.Go(func() { s.sync(ctx, l.ID, l.Peer, p) })
			}
		}
		s.removeStale(time.Now())
		if !sleep(ctx, s.Interval) {
			return
		}
	}
}

// beginSync marks a sync with a peer as in flight. It returns false if one
// already is.
func (s *Syncer) beginSync(id string) (*syncedPeer, bool) {
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
	if p.syncing {
		return nil, false
	}
	p.syncing = true
	p.startedAt = time.Now()
	return p, true
}

// sync requests the changes of a peer and applies them to the group records and
// the router's view.
func (s *Syncer) sync(ctx context.Context, id string, address netip.AddrPort, p *syncedPeer) {
	m, err := s.Peers.SyncTargets(ctx, address, p.epoch, p.sequence)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.syncing = false
	p.lastAttemptStart = p.startedAt
	if err != nil {
		s.Log.Debug("sync_failed", zap.String("peer", id), zap.Error(err))
		return
	}
	p.receivedAt = time.Now()
	p.lastSuccessStart = p.startedAt
	s.Ownership.ApplyClaims(id, s.claimsFrom(m))
	for _, targetID := range p.apply(m) {
		s.updatePeerTarget(id, targetID, p.targets[targetID])
	}
}

// claimsFrom returns the target groups that a peer reports as its own in a sync
// response.
func (s *Syncer) claimsFrom(m *v1.SyncTargetsResponse) []*v1.GroupClaim {
	var claims []*v1.GroupClaim
	for _, t := range m.GetTargets() {
		if t.GetOwned() {
			group := groupOf(s.Router.Zone, t.GetTargetId(), s.Ownership.GroupCount)
			claims = append(claims, &v1.GroupClaim{Group: group, Fencing: t.GetFencing(), Incarnation: m.GetEpoch()})
		}
	}
	return claims
}

// PeersQueried reports whether a sync with every live peer of the zone began
// within peersQueriedWindow and has ended, with or without a response.
func (s *Syncer) PeersQueried(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.Directory.Live(s.Router.Zone) {
		if l.ID == s.Router.InstanceID {
			continue
		}
		if p, ok := s.peers[l.ID]; !ok || now.Sub(p.lastAttemptStart) > peersQueriedWindow {
			return false
		}
	}
	return true
}

// updatePeerTarget updates the view with one target of a peer, if that peer is the
// known holder. A target that the peer no longer owns is removed.
func (s *Syncer) updatePeerTarget(peer, targetID string, t *v1.TargetState) {
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
	r.view.SetTarget(targetInfo(r.Zone, t))
	r.view.SetLoad(targetID, targetLoad(t))
	r.view.SetResident(targetID, idsFromStrings(t.GetResident()))
}

// updateOwnedTargets updates the view with the targets that this instance owns.
func (s *Syncer) updateOwnedTargets() {
	states := s.Ownership.States()
	r := s.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range states {
		if !state.Owned {
			continue
		}
		snapshot := state.Snapshot
		r.view.SetTarget(adapter.TargetInfo{
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

// removeStale removes targets from the view that their holder has not reported
// within StaleAfter, or that the platform no longer lists in this zone or lists
// as leaving. It also drops the states received from stale peers.
func (s *Syncer) removeStale(now time.Time) {
	listed := map[string]bool{}
	for _, e := range s.Directory.Targets() {
		listed[e.ID] = e.Zone == s.Router.Zone && !e.Leaving
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		stale := now.Sub(p.receivedAt) > s.StaleAfter
		for targetID := range p.targets {
			holder, _ := s.Ownership.Holder(targetID)
			if stale && holder == id || !listed[targetID] {
				s.Router.RemoveTarget(targetID)
			}
		}
		if stale {
			p.peerTargets = peerTargets{}
		}
	}
}

// PreviousInUse returns a function that returns the adapters that a peer, as the
// previous owner, still uses on a target. Only syncs that began after the first
// call count; until one has succeeded, and while the peer reports that it still
// owns the target, the function returns false. A peer that released its lease
// uses none.
func (s *Syncer) PreviousInUse(peer, targetID string) func() ([]adapter.ID, bool) {
	var once sync.Once
	var since time.Time
	return func() ([]adapter.ID, bool) {
		once.Do(func() { since = time.Now() })
		if s.Directory.Released(peer) {
			return nil, true
		}
		return s.inUseAfter(peer, targetID, since)
	}
}

// inUseAfter returns the adapters in use on a target according to a sync with the
// peer that began after since, and false if there is none or the peer still owns
// the target.
func (s *Syncer) inUseAfter(peer, targetID string, since time.Time) ([]adapter.ID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[peer]
	if !ok || p.targets == nil || !p.lastSuccessStart.After(since) {
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

// RemoveTarget removes a target from the router's view.
func (r *Router) RemoveTarget(targetID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RemoveTarget(targetID)
}
