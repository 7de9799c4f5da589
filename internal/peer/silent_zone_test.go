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

// TestSilentZoneIsProbedUntilItAnswers guards against losing a zone whose
// relays are killed at the same moment: an instance whose own zone has live
// relays must keep calling the silent zone until one of its instances answers.
func TestSilentZoneIsProbedUntilItAnswers(t *testing.T) {
	t.Parallel()
	p := newTestPeer(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	stop := publishMembers(t, p, address)
	t.Cleanup(stop)
	// Longer than an instance counts as alive after it was added.
	time.Sleep(2 * time.Second)
	if p.AliveFraction() == 1 {
		t.Fatal("an instance that does not run counts as alive")
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
	await(t, "the silent zone is reached", func() bool { return p.AliveFraction() == 1 })
}

// publishMembers keeps sending an instance a member list, until stopped: enough
// instances of its own zone to need relays, and one of another zone that was
// last seen a minute ago.
func publishMembers(t *testing.T, p *testPeer, lost netip.AddrPort) (stop func()) {
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
