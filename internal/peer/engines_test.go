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

// testPeer is an instance that serves the protocol, and whose peers are simulated
// by the test.
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

// publish sends the instance the state of another one.
func (p *testPeer) publish(t *testing.T, state *v1.InstanceState) {
	t.Helper()
	if _, err := p.client.Exchange(context.Background(), &v1.ExchangeRequest{Sender: state}); err != nil {
		t.Fatal(err)
	}
}

// TestUnreachableLeaseHolderIsNotCalled guards against a zone that is
// partitioned from a lease holder while other instances still relay the
// holder's state: every request would wait for a call to the holder that fails.
func TestUnreachableLeaseHolderIsNotCalled(t *testing.T) {
	p := newTestPeer(t)
	p.publish(t, &v1.InstanceState{
		// Nothing listens at this address.
		Member:      &v1.Member{InstanceId: "holder", Zone: "zone-1", Address: "127.0.0.1:2", HoldsOrders: true},
		Incarnation: "holder-1",
		Sequence:    1,
	})
	if _, ok := p.WaitingLoads("zone-1"); !ok {
		t.Fatal("the lease holder is not known")
	}
	target := deployment.Target{ID: "engine-1", Zone: "zone-1", Generation: 1}
	if result := p.Load(context.Background(), "r1", target, testAdapter, 0); result == placement.Ready {
		t.Fatal("a load succeeded without a reachable lease holder")
	}
	if _, ok := p.WaitingLoads("zone-1"); ok {
		t.Error("the lease holder counts as reachable right after a call to it failed")
	}
}

// TestStaleEngineStateIsIgnored checks that an engine state of a previous lease
// holder, or an older one of the same holder, does not replace a newer one.
// Requests would be sent to engines that have evicted the adapter.
func TestStaleEngineStateIsIgnored(t *testing.T) {
	m := newTestPeer(t)
	publish := func(holder string, fencing, sequence uint64, adapter string) {
		t.Helper()
		m.publish(t, &v1.InstanceState{
			Member:      &v1.Member{InstanceId: holder, Zone: "zone-0", Address: "127.0.0.1:2"},
			Incarnation: holder + "-1",
			Sequence:    sequence,
			Engines: []*v1.EngineState{{
				TargetId: "engine-1", Born: 1, Models: []string{"base"}, FencingNumber: fencing, Sequence: sequence,
				Adapters: []*v1.AdapterState{{Model: "base", Adapter: adapter, Version: 1}},
			}},
		})
	}
	resident := func(adapter string) bool {
		target := &deployment.Target{ID: "engine-1", Generation: 1}
		_, ok := m.Directory.Resident(target, deployment.AdapterName{Model: "base", Adapter: adapter})
		return ok
	}
	publish("later", 7, 3, "a2")
	publish("previous", 5, 9, "a1")
	if !resident("a2") || resident("a1") {
		t.Errorf("after a state of the previous holder: a1 %v, a2 %v", resident("a1"), resident("a2"))
	}
	publish("later", 7, 4, "a3")
	if !resident("a3") || resident("a2") {
		t.Errorf("after a newer state of the holder: a2 %v, a3 %v", resident("a2"), resident("a3"))
	}
}

// TestReceivedUseCountsImmediately checks that requests in flight at another
// instance count as soon as its state is received, not one exchange later.
func TestReceivedUseCountsImmediately(t *testing.T) {
	p := newTestPeer(t)
	for sequence, requests := range []int64{3, 5} {
		p.publish(t, &v1.InstanceState{
			Member:      &v1.Member{InstanceId: "other", Zone: "zone-0", Address: "127.0.0.1:2"},
			Incarnation: "other-1",
			Sequence:    uint64(sequence + 1),
			Targets:     []*v1.TargetUse{{TargetId: string(testTarget), Requests: requests}},
		})
		if use := p.Use(testTarget); use.Requests != int(requests) {
			t.Errorf("%d requests are counted, %d were published", use.Requests, requests)
		}
	}
}
