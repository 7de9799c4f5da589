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
)

// TestOlderWordOfAnEngineIsPassedOver checks that what an earlier holder of an
// engine's orders tells, or what a holder told before, does not replace what is
// known: requests would be sent for adapters that have left.
func TestOlderWordOfAnEngineIsPassedOver(t *testing.T) {
	m := newMember(peer.Member{ID: "self", Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:1")}, netip.AddrPort{})
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	client := heatherrelayv1connect.NewFleetServiceClient(http.DefaultClient, server.URL)
	tell := func(holder string, fencing, sequence uint64, adapter string) {
		t.Helper()
		state := &v1.InstanceState{
			Member:      &v1.Member{InstanceId: holder, Zone: "zone-0", Address: "127.0.0.1:2"},
			Incarnation: holder + "-1",
			Sequence:    sequence,
			Engines: []*v1.EngineState{{
				TargetId: "engine-1", Born: 1, Models: []string{"base"}, FencingNumber: fencing, Sequence: sequence,
				Adapters: []*v1.AdapterState{{Model: "base", Adapter: adapter, Version: 1}},
			}},
		}
		if _, err := client.Exchange(context.Background(), &v1.ExchangeRequest{Sender: state}); err != nil {
			t.Fatal(err)
		}
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
