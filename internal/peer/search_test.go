package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/loopback"
	"heatherrelay/internal/peer"
)

// TestSilentZoneIsTriedAgain answers the pattern in which all instances of a zone
// that relay are killed at the same moment: an instance that relays and hears
// those of its own zone must go on trying the silent zone, until one answers.
func TestSilentZoneIsTriedAgain(t *testing.T) {
	t.Parallel()
	p := newTestPeer(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	stop := keepTelling(t, p, address)
	t.Cleanup(stop)
	// Longer than an instance counts as heard that was learned of just now.
	time.Sleep(2 * time.Second)
	if p.Fraction() == 1 {
		t.Fatal("the instance that is not there counts as heard")
	}
	lost := newMember(peer.Member{ID: "lost", Zone: "zone-1", Address: address}, netip.AddrPort{})
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := lost.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	}()
	await(t, "the silent zone is heard", func() bool { return p.Fraction() == 1 })
}

// keepTelling has an instance hear, by hearsay, enough instances of its own zone
// for relays, and of one elsewhere that nobody has heard for long.
func keepTelling(t *testing.T, p *testPeer, lost netip.AddrPort) (stop func()) {
	t.Helper()
	members := []*v1.Member{{InstanceId: "lost", Zone: "zone-1", Address: lost.String(), AgeMs: time.Minute.Milliseconds()}}
	for i := range 20 {
		members = append(members, &v1.Member{InstanceId: fmt.Sprintf("near-%02d", i), Zone: "zone-0", Address: "127.0.0.1:2"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			request := &v1.ExchangeRequest{
				Sender: &v1.InstanceState{
					Member:      &v1.Member{InstanceId: "near-00", Zone: "zone-0", Address: "127.0.0.1:2"},
					Incarnation: "near-00-1",
					Sequence:    sequence,
				},
				Members: members,
			}
			if _, err := p.client.Exchange(ctx, request); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return func() { cancel(); <-done }
}
