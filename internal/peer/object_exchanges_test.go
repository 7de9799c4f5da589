package peer_test

import (
	"testing"
	"time"
)

// TestPeersThatStandStillDoNotSlowChanges guards against changes that are late (CONFIG) since an
// instance takes the silence of a peer that stands still for a congested link, and asks its peers
// one by one.
func TestPeersThatStandStillDoNotSlowChanges(t *testing.T) {
	const (
		size, still = 9, 2
		stall       = 5 * time.Second
		changes     = 4
		// limit is the time in which peers that exchange state every 0.3 s pass a change on.
		limit = time.Second
	)
	fleet := newFleet(t, size)
	for _, m := range fleet {
		m.Catalog.Followers()[testKind].Merge(incompressible(1))
	}
	await(t, "fleet", func() bool { return fleet[size-1].MemberCount() == size })
	for _, m := range fleet[:still] {
		m.listener.stall(stall)
	}
	source, last := fleet[still], fleet[size-1].Catalog.Followers()[testKind]
	for revision := uint64(2); revision < 2+changes; revision++ {
		changedAt := time.Now()
		state, complete, objects := incompressible(revision)
		source.Catalog.Followers()[testKind].Merge(state, complete, objects)
		await(t, "change", func() bool { return last.State().Revision == revision })
		if after := time.Since(changedAt); after > limit {
			t.Errorf("change %d arrived after %s, want %s at most", revision, after, limit)
		}
	}
}
