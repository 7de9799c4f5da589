package peer_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/peer"
)

// scriptedPeer is a peer that answers exchanges after a time, or stands still.
type scriptedPeer struct {
	heatherrelayv1connect.FleetServiceClient
	peer.Member
	answersAfter time.Duration
	still        bool
	// asked counts the exchanges that ask for objects, spared the others.
	asked, spared *atomic.Int64
	sequence      atomic.Uint64
}

// Exchange answers an exchange.
func (p *scriptedPeer) Exchange(ctx context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	if p.still {
		<-ctx.Done()
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	if request.GetWithoutObjects() {
		p.spared.Add(1)
	} else {
		p.asked.Add(1)
	}
	time.Sleep(p.answersAfter)
	return &v1.ExchangeResponse{Responder: &v1.InstanceState{
		Member:      &v1.Member{InstanceId: p.ID, Zone: p.Zone, Address: p.Address.String()},
		Incarnation: p.ID, Sequence: p.sequence.Add(1), Changes: &v1.Changes{},
	}, ProtocolVersion: 1}, nil
}

// TestPeersThatStandStillDoNotSlowChanges guards against changes that are late (CONFIG) since an
// instance takes the silence of peers that stand still, or a kind of objects that it has no
// replica of, for a congested link, and no longer asks each sound peer for objects at each
// exchange.
func TestPeersThatStandStillDoNotSlowChanges(t *testing.T) {
	const (
		peers, still = 8, 2
		duration     = 5 * time.Second
		latency      = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		var asked, spared atomic.Int64
		clients := map[netip.AddrPort]*scriptedPeer{}
		n := newMember(peer.Member{ID: "instance-00", Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:1")}, netip.MustParseAddrPort("127.0.0.1:1"))
		n.Connect = func(a netip.AddrPort) heatherrelayv1connect.FleetServiceClient { return clients[a] }
		n.Catalog.Followers()[testKind].Merge(incompressible(1))
		for i := range peers {
			m := peer.Member{ID: string(rune('a' + i)), Zone: "zone-0", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+2))}
			clients[m.Address] = &scriptedPeer{Member: m, answersAfter: latency, still: i < still, asked: &asked, spared: &spared}
			n.AddMember(m)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); n.Run(ctx) }()
		time.Sleep(duration)
		cancel()
		<-done
		if spared.Load() > 0 || asked.Load() < peers {
			t.Errorf("%d exchanges with sound peers asked for objects, %d did not", asked.Load(), spared.Load())
		}
	})
}
