package peer_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/quota"
)

// oldInstance speaks version 0 of the exchange, in which every message lists all state.
type oldInstance struct {
	heatherrelayv1connect.UnimplementedFleetServiceHandler
	member *v1.Member

	mu       sync.Mutex
	sequence uint64
	admitted float64
	requests int64
	// zones are the sums that it returns as a relay.
	zones []*v1.ZoneSummary
	// received is the last request that came.
	received *v1.ExchangeRequest
}

func newOldInstance(t *testing.T, id string) *oldInstance {
	t.Helper()
	o := &oldInstance{}
	_, handler := heatherrelayv1connect.NewFleetServiceHandler(o)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	o.member = &v1.Member{InstanceId: id, Zone: "zone-0", Address: strings.TrimPrefix(server.URL, "http://")}
	return o
}

func (o *oldInstance) state() *v1.InstanceState {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	return &v1.InstanceState{
		Member: o.member, Incarnation: o.member.GetInstanceId() + "-1", Sequence: o.sequence,
		Teams:   []*v1.TeamUse{{Team: testTeam.Name, Admitted: o.admitted}},
		Targets: []*v1.TargetUse{{TargetId: string(testTarget), Requests: o.requests}},
	}
}

// Exchange answers as version 0 does, and keeps the request.
func (o *oldInstance) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	response := &v1.ExchangeResponse{Responder: o.state()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.received, response.Zones = request, o.zones
	return response, nil
}

func (o *oldInstance) lastRequest() *v1.ExchangeRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.received
}

// TestUpgradedInstanceExchangesWithOldOnes guards against upgrades in which old and new
// instances, which run side by side, do not count each other's requests and admissions.
func TestUpgradedInstanceExchangesWithOldOnes(t *testing.T) {
	t.Parallel()
	p, old := newTestPeer(t), newOldInstance(t, "old")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	p.publish(t, old.state())
	p.Tracker.Begin(testTarget, testAdapter, 100, 150)
	if ok, _ := p.Meter.Admit(testTeam, quota.Request{Cost: 500}); !ok {
		t.Fatal("the request was not admitted")
	}
	await(t, "the old instance receives complete lists", func() bool {
		s := old.lastRequest().GetSender()
		return len(s.GetTargets()) == 1 && s.GetTargets()[0].GetRequests() == 1 && len(s.GetTeams()) == 1 && s.GetTeams()[0].GetAdmitted() == 500
	})
	level := p.Meter.Level(testTeam)
	old.mu.Lock()
	old.requests, old.admitted = 3, 700
	old.mu.Unlock()
	await(t, "the old instance's state is counted", func() bool {
		return p.Use(testTarget).Requests == 4 && level-p.Meter.Level(testTeam) > 690
	})
	response, err := p.client.Exchange(ctx, &v1.ExchangeRequest{Sender: old.state(), ChangesSource: "self-1"})
	if err != nil {
		t.Fatal(err)
	}
	if s := response.GetResponder(); s.GetChanges() != nil || len(s.GetTargets()) != 1 || len(s.GetTeams()) != 1 {
		t.Errorf("an old instance was answered with %v", s)
	}
}

// TestNewRelayServesOldInstances checks what a relay returns to an instance of version 0
// of its zone: the members, the sums without the instance's own part, and what the others
// admitted and hold.
func TestNewRelayServesOldInstances(t *testing.T) {
	t.Parallel()
	p := newTestPeer(t)
	p.Self.Capacity = 9
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	for i := range 20 {
		p.AddMember(peer.Member{ID: fmt.Sprint("near-", i), Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:2")})
	}
	publish := func(id string, sequence uint64, requests int64) *v1.ExchangeResponse {
		t.Helper()
		response, err := p.client.Exchange(ctx, &v1.ExchangeRequest{ChangesSource: "other", Sender: &v1.InstanceState{
			Member: &v1.Member{InstanceId: id, Zone: "zone-0", Address: "127.0.0.1:2"}, Incarnation: id + "-1", Sequence: sequence,
			Teams:   []*v1.TeamUse{{Team: testTeam.Name, Admitted: 100}},
			Targets: []*v1.TargetUse{{TargetId: string(testTarget), Requests: requests}},
			Engines: []*v1.EngineState{{TargetId: id, Born: 1, FencingNumber: 1, Sequence: sequence, Zone: "zone-0"}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	sequence := uint64(0)
	await(t, "the relay sums what the zone has in flight", func() bool {
		sequence++
		publish("near-0", sequence, 2)
		response := publish("near-1", sequence, 5)
		for _, z := range response.GetZones() {
			if z.GetZone() == "zone-0" && len(z.GetTargets()) == 1 && z.GetTargets()[0].GetRequests() == 2 {
				return len(response.GetMembers()) >= 20 && len(response.GetSpendings()) == 1 && len(response.GetEngines()) == 2
			}
		}
		return false
	})
}

// TestSumsOfOldRelayReplaceEarlierOnes guards against targets that count as loaded for
// good behind a relay of version 0, which leaves a target out once nothing is in flight
// there.
func TestSumsOfOldRelayReplaceEarlierOnes(t *testing.T) {
	t.Parallel()
	p, relay := newTestPeer(t), newOldInstance(t, "relay")
	relay.member.Capacity = 9
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	p.publish(t, relay.state())
	for i := range 20 {
		p.AddMember(peer.Member{ID: fmt.Sprint("near-", i), Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:2"), Capacity: 5})
	}
	sum := func(requests ...int64) {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		z := &v1.ZoneSummary{Zone: "zone-0", Source: "relay"}
		for i, n := range requests {
			z.Targets = append(z.Targets, &v1.TargetUse{TargetId: fmt.Sprint("engine-", i+1), Requests: n})
		}
		relay.zones = []*v1.ZoneSummary{z}
	}
	sum(3, 4)
	await(t, "the sums are counted", func() bool { return p.Use("engine-1").Requests == 3 && p.Use("engine-2").Requests == 4 })
	sum(2)
	await(t, "a target that is left out has none", func() bool { return p.Use("engine-1").Requests == 2 && p.Use("engine-2").Requests == 0 })
}

// TestBadMessagesChangeNothing checks that a message that no instance of a known version
// sends is refused whole.
func TestBadMessagesChangeNothing(t *testing.T) {
	t.Parallel()
	member := &v1.Member{InstanceId: "other", Zone: "zone-0", Address: "127.0.0.1:2"}
	twice := &v1.Changes{Scope: 1, Number: 1, Members: []*v1.MemberChange{{Member: member}, {Member: member}}}
	uses := &v1.UseChanges{Targets: []uint32{0}, Requests: []uint32{7}, WaitingTokens: []uint32{0}, Tokens: []uint32{0}}
	for name, c := range map[string]struct {
		member  *v1.Member
		version uint32
		changes *v1.Changes
	}{
		"no id":                {member: &v1.Member{Zone: "zone-0", Address: "127.0.0.1:2"}},
		"no address":           {member: &v1.Member{InstanceId: "other", Zone: "zone-0"}},
		"unknown version":      {member: member, version: 1000},
		"member listed twice":  {member: member, version: 1, changes: twice},
		"name that is missing": {member: member, version: 1, changes: &v1.Changes{Scope: 1, Number: 1, Uses: uses}},
		"lists of two lengths": {member: member, version: 1, changes: &v1.Changes{Scope: 1, Number: 1, Names: []string{string(testTarget)}, Uses: &v1.UseChanges{Targets: []uint32{0}}}},
		"ranks of two lengths": {member: member, version: 1, changes: &v1.Changes{Scope: 1, Number: 1, Names: []string{string(testTarget)}, Uses: &v1.UseChanges{
			Targets: []uint32{0}, Requests: []uint32{7}, WaitingTokens: []uint32{0}, Tokens: []uint32{0}, RankedRequests: []uint32{7},
		}}},
		"names with a gap":     {member: member, version: 1, changes: &v1.Changes{Scope: 1, Number: 1, FirstName: 4, Names: []string{string(testTarget)}}},
		"number that is lower": {member: member, version: 1, changes: &v1.Changes{Scope: 1, After: 9, Number: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPeer(t)
			_, err := p.client.Exchange(context.Background(), &v1.ExchangeRequest{
				ProtocolVersion: c.version,
				Sender:          &v1.InstanceState{Member: c.member, Incarnation: "other-1", Sequence: 1, Changes: c.changes},
			})
			if err == nil || !strings.Contains(err.Error(), peer.ErrBadMessage.New("").Error()[:10]) {
				t.Errorf("the message was not refused: %v", err)
			}
			if use := p.Use(testTarget); use.Requests != 0 {
				t.Errorf("%d requests are counted", use.Requests)
			}
		})
	}
}

// TestAdaptersOfEnginesTravelAsChanges checks that an instance that follows an engine by
// changes alone holds the same adapters as its lease holder, after loads and evictions,
// and that an older state does not bring an adapter back.
func TestAdaptersOfEnginesTravelAsChanges(t *testing.T) {
	t.Parallel()
	p := newTestPeer(t)
	member := &v1.Member{InstanceId: "holder", Zone: "zone-0", Address: "127.0.0.1:2"}
	sequence := uint64(0)
	send := func(after, number uint64, e *v1.EngineChange) {
		t.Helper()
		sequence++
		c := &v1.Changes{Scope: 1, After: after, Number: number, Names: []string{"engine-1"}, Engines: []*v1.EngineChange{e}}
		request := &v1.ExchangeRequest{ProtocolVersion: 1, Sender: &v1.InstanceState{Member: member, Incarnation: "holder-1", Sequence: sequence, Changes: c}}
		if _, err := p.client.Exchange(context.Background(), request); err != nil {
			t.Fatal(err)
		}
	}
	adapter := func(name string) []*v1.AdapterState {
		return []*v1.AdapterState{{Model: "base", Adapter: name, Version: 1}}
	}
	holds := func(name string) bool {
		_, ok := p.Directory.Resident(&deployment.Target{ID: "engine-1", Generation: 1}, deployment.AdapterName{Model: "base", Adapter: name})
		return ok
	}
	send(0, 3, &v1.EngineChange{Born: 1, FencingNumber: 7, Sequence: 3, Complete: true, Models: []string{"base"}, Adapters: adapter("a1")})
	send(3, 5, &v1.EngineChange{Born: 1, FencingNumber: 7, Sequence: 5, Adapters: adapter("a2"), Removed: adapter("a1")})
	if holds("a1") || !holds("a2") {
		t.Errorf("after a change: a1 %t, a2 %t", holds("a1"), holds("a2"))
	}
	send(5, 6, &v1.EngineChange{Born: 1, FencingNumber: 7, Sequence: 4, Adapters: adapter("a1")})
	send(9, 12, &v1.EngineChange{Born: 1, FencingNumber: 7, Sequence: 12, Adapters: adapter("a3")})
	if holds("a1") || holds("a3") {
		t.Errorf("after an older state a1 %t, after changes with a gap a3 %t", holds("a1"), holds("a3"))
	}
}
