package peer_test

import (
	"net/netip"
	"testing"
	"time"

	"heatherrelay/internal/peer"
)

// TestFirstStartLeavesTheStoreToOthers guards against a fleet whose instances all read the
// store when they start together, since none knows the others yet; and against a
// restarted instance that answers no requests because it waits for its peers.
func TestFirstStartLeavesTheStoreToOthers(t *testing.T) {
	for name, c := range map[string]struct {
		bootstrap bool
		after     time.Duration
		reads     bool
	}{
		"first start":           {bootstrap: true, reads: false},
		"first start, no peers": {bootstrap: true, after: time.Second, reads: true},
		"restart":               {bootstrap: false, reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := newMember(peer.Member{ID: "self", Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:1")}, netip.MustParseAddrPort("127.0.0.1:2"))
			m.Bootstrap, m.Now = c.bootstrap, func() time.Time { return now }
			m.Handler()
			now = now.Add(c.after)
			if reads := m.ReadsStore(); reads != c.reads {
				t.Errorf("reads the store: %t, want %t", reads, c.reads)
			}
		})
	}
}
