package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
)

// testPeer is an instance that serves its protocol and is told by hand what
// others would tell.
type testPeer struct {
	*member
	client heatherrelayv1connect.FleetServiceClient
}

func newTestPeer(t *testing.T) *testPeer {
	t.Helper()
	m := newMember(peer.Member{ID: "self", Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:1")}, netip.AddrPort{})
	server := httptest.NewServer(m.Handler())
	t.Cleanup(server.Close)
	return &testPeer{member: m, client: heatherrelayv1connect.NewFleetServiceClient(http.DefaultClient, server.URL)}
}

func (p *testPeer) tell(t *testing.T, state *v1.InstanceState) {
	t.Helper()
	if _, err := p.client.Exchange(context.Background(), &v1.ExchangeRequest{Sender: state}); err != nil {
		t.Fatal(err)
	}
}

// TestHolderThatCannotBeReachedIsNotAsked answers the pattern of a zone that is
// cut off while its instances still hear of the others through one another: each
// request would ask the same holder of orders in vain.
func TestHolderThatCannotBeReachedIsNotAsked(t *testing.T) {
	p := newTestPeer(t)
	p.tell(t, &v1.InstanceState{
		// Nothing listens there.
		Member:      &v1.Member{InstanceId: "holder", Zone: "zone-1", Address: "127.0.0.1:2", HoldsOrders: true},
		Incarnation: "holder-1",
		Sequence:    1,
	})
	if _, ok := p.Orders("zone-1"); !ok {
		t.Fatal("the holder is not known")
	}
	target := deployment.Target{ID: "engine-1", Zone: "zone-1", Born: 1}
	if result := p.Load(context.Background(), "r1", target, testAdapter, 0); result == placement.Ready {
		t.Fatal("a load without a holder")
	}
	if _, ok := p.Orders("zone-1"); ok {
		t.Error("the holder counts as reachable right after a call to it failed")
	}
}

// TestOlderWordOfAnEngineIsPassedOver checks that what an earlier holder of an
// engine's orders tells, or what a holder told before, does not replace what is
// known: requests would be sent for adapters that have left.
func TestOlderWordOfAnEngineIsPassedOver(t *testing.T) {
	m := newTestPeer(t)
	tell := func(holder string, fencing, sequence uint64, adapter string) {
		t.Helper()
		m.tell(t, &v1.InstanceState{
			Member:      &v1.Member{InstanceId: holder, Zone: "zone-0", Address: "127.0.0.1:2"},
			Incarnation: holder + "-1",
			Sequence:    sequence,
			Engines: []*v1.EngineState{{
				TargetId: "engine-1", Born: 1, Models: []string{"base"}, FencingNumber: fencing, Sequence: sequence,
				Adapters: []*v1.AdapterState{{Model: "base", Adapter: adapter, Version: 1}},
			}},
		})
	}
	holds := func(adapter string) bool {
		target := &deployment.Target{ID: "engine-1", Born: 1}
		_, ok := m.Directory.Resident(target, deployment.AdapterName{Model: "base", Adapter: adapter})
		return ok
	}
	tell("later", 7, 3, "a2")
	tell("former", 5, 9, "a1")
	if !holds("a2") || holds("a1") {
		t.Errorf("after word of the former holder: a1 %v, a2 %v", holds("a1"), holds("a2"))
	}
	tell("later", 7, 4, "a3")
	if !holds("a3") || holds("a2") {
		t.Errorf("after newer word of the holder: a2 %v, a3 %v", holds("a2"), holds("a3"))
	}
}

// TestWordOfOthersCountsAtOnce checks that what another instance has under way is
// seen with its next word, not an exchange later.
func TestWordOfOthersCountsAtOnce(t *testing.T) {
	p := newTestPeer(t)
	for sequence, requests := range []int64{3, 5} {
		p.tell(t, &v1.InstanceState{
			Member:      &v1.Member{InstanceId: "other", Zone: "zone-0", Address: "127.0.0.1:2"},
			Incarnation: "other-1",
			Sequence:    uint64(sequence + 1),
			Targets:     []*v1.TargetUse{{TargetId: string(testTarget), Requests: requests}},
		})
		if use := p.Use(testTarget); use.Requests != int(requests) {
			t.Errorf("%d requests are seen, %d were told of", use.Requests, requests)
		}
	}
}
