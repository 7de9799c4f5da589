package peer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/origin"
	"heatherrelay/internal/peer"
)

// newConfirmingFleet returns instances that know each other, and one software version. The first
// one does not reach the store; the others do if reach is set.
func newConfirmingFleet(t *testing.T, size int, reach bool) []*member {
	t.Helper()
	fleet := newFleetWith(t, size, func(i int, m *member) {
		m.Versions.Restore(origin.StoredVersions{Services: map[string][]origin.StoredVersion{"s": {{Version: "v1"}}}})
		m.Versions.Observe(versionsOf("v1"))
		m.ConfirmVersions = func(context.Context, time.Time) bool { return reach && i > 0 }
	})
	await(t, "instances know each other", func() bool {
		return allInstances(fleet, func(m *member) bool { return m.MemberCount() == size })
	})
	return fleet
}

// TestOneVersionIsConfirmedByOthers guards against an instance that does not reach the store and
// takes the version that it knows for the only one by itself (ORDER), or refuses all resumes
// though others can tell (LOST).
func TestOneVersionIsConfirmedByOthers(t *testing.T) {
	for name, k := range map[string]struct {
		size  int
		reach bool
		// change is what happens before the look-up.
		change  func([]*member)
		several bool
		want    peer.VersionSource
	}{
		"peers reach the store":                {size: 4, reach: true, want: peer.VersionsByPeer},
		"nobody reaches it, all agree":         {size: 4, want: peer.VersionsByFleet},
		"nobody reaches it, one knows another": {size: 4, change: func(f []*member) { f[3].Versions.Observe(versionsOf("v1", "v2")) }, several: true},
		"peers reach it, all know another": {size: 3, reach: true, change: func(f []*member) {
			f[1].Versions.Observe(versionsOf("v1", "v2"))
			f[2].Versions.Observe(versionsOf("v1", "v2"))
		}, several: true},
		"nobody reaches it, one has ended":           {size: 4, change: func(f []*member) { f[2].stop(); <-f[2].done }, several: true, want: peer.VersionsUnconfirmed},
		"an instance alone":                          {size: 1, several: true, want: peer.VersionsUnconfirmed},
		"more than an instance asks, nobody reaches": {size: 24, several: true, want: peer.VersionsUnconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newConfirmingFleet(t, k.size, k.reach)
			if k.change != nil {
				k.change(fleet)
			}
			found := fleet[0].LookupOrigin(context.Background(), fmt.Sprint("begun elsewhere ", name), "s")
			if found.Several != k.several || k.want != "" && found.ConfirmedBy != k.want {
				t.Errorf("several %t, confirmed by %q, want %t, %q", found.Several, found.ConfirmedBy, k.several, k.want)
			}
		})
	}
}

// TestWordsOfPeersCompleteAConfirmedList guards against an instance that cannot tell by itself
// which versions there were before it, lists the targets anew, and forgets what its peers told it
// of that time: resumes are refused though the fleet can tell (LOST), or go on though a peer knows
// of another version (ORDER).
func TestWordsOfPeersCompleteAConfirmedList(t *testing.T) {
	for name, k := range map[string]struct {
		others  []string
		several bool
	}{
		"peers had one version":   {others: []string{"v1"}},
		"peers had a second, too": {others: []string{"v1", "v2"}, several: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleetWith(t, 3, func(i int, m *member) {
				if i > 0 {
					m.Versions.Restore(origin.StoredVersions{})
					m.Versions.Observe(versionsOf(k.others...))
				}
				m.Versions.Observe(versionsOf("v1"))
				m.ConfirmVersions = func(context.Context, time.Time) bool { return true }
			})
			await(t, "instances know each other", func() bool {
				return allInstances(fleet, func(m *member) bool { return m.MemberCount() == 3 })
			})
			found := fleet[0].LookupOrigin(context.Background(), "begun elsewhere", "s")
			if found.Several != k.several {
				t.Errorf("several %t, confirmed by %q, want %t", found.Several, found.ConfirmedBy, k.several)
			}
		})
	}
}
