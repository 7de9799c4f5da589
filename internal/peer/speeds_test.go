package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/speed"
)

// speedsClient calls an instance of a simulated fleet, with what both know of speeds beside
// the exchange. It fails for instances that are down.
type speedsClient struct {
	simulatedClient
	down    map[netip.AddrPort]bool
	cursors map[[2]string]uint64
}

// Exchange exchanges state and speeds.
func (c *speedsClient) Exchange(ctx context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	if c.down[c.from] || c.down[c.to] {
		return nil, errors.New("down")
	}
	from, to := c.fleet.sources[c.from], c.fleet.sources[c.to]
	response, err := c.simulatedClient.Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := c.pass(from, to, true); err != nil {
		return nil, err
	}
	return response, c.pass(to, from, request.GetRelaying())
}

// pass takes what one instance states of speeds to another one.
func (c *speedsClient) pass(from, to *member, relaying bool) error {
	key := [2]string{from.Self.ID, to.Self.ID}
	message, number := from.StateSpeeds(to.Self, relaying, c.cursors[key])
	c.cursors[key] = number
	return to.MergeSpeeds(from.Self, from.Incarnation, message, number)
}

// newFleetWithSpeeds returns a fleet of three zones whose first two instances a zone are
// large, with books that know the given targets, and the addresses that are down.
func newFleetWithSpeeds(size int, targets map[deployment.TargetID]deployment.Target) (*simulatedFleet, map[netip.AddrPort]bool) {
	f := newSimulatedFleet(size, 3)
	down, cursors := map[netip.AddrPort]bool{}, map[[2]string]uint64{}
	for i, m := range f.members {
		m.Self.Capacity = 0.3
		if i < 6 {
			m.Self.Capacity = 1
		}
		m.Speeds = &speed.Book{Now: m.Now}
		m.Speeds.Retain(targets)
		from := m.Self.Address
		m.Connect = func(to netip.AddrPort) heatherrelayv1connect.FleetServiceClient {
			return &speedsClient{simulatedClient{fleet: f, from: from, to: to}, down, cursors}
		}
	}
	return f, down
}

// TestSmallInstanceIsNoRelayWhileALargeOneLives covers a fleet of 30 of two sizes: the large
// ones relay, and the small ones take their place when these are gone.
func TestSmallInstanceIsNoRelayWhileALargeOneLives(t *testing.T) {
	f, down := newFleetWithSpeeds(30, nil)
	f.run(3*time.Second, 30)
	relays := func() (large, small int) {
		for _, m := range f.members {
			switch rank := m.Rank(); {
			case down[m.Self.Address] || rank < 0 || rank > 1:
			case m.Self.Capacity == 1:
				large++
			default:
				small++
			}
		}
		return large, small
	}
	if large, small := relays(); large != 6 || small != 0 {
		t.Errorf("%d large and %d small relays", large, small)
	}
	for _, m := range f.members[:6] {
		down[m.Self.Address] = true
	}
	f.run(3*time.Second, 30)
	if large, small := relays(); large != 0 || small != 6 {
		t.Errorf("without the large ones: %d large and %d small relays", large, small)
	}
}

// TestSpeedsReachAllInstancesOnce covers fleets in a full mesh and with relays, whose
// instances see few answers each, and lose their first relays: all learn which targets are
// slow, and no sample counts twice.
func TestSpeedsReachAllInstancesOnce(t *testing.T) {
	for _, size := range []int{9, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			targets := map[deployment.TargetID]deployment.Target{}
			for i := range 9 {
				id := deployment.TargetID(fmt.Sprint("engine-", i))
				targets[id] = deployment.Target{ID: id, Service: "models", Generation: 1}
			}
			f, down := newFleetWithSpeeds(size, targets)
			f.run(2*time.Second, 30)
			observed := 0
			play := func(rounds int) {
				for range rounds {
					for id, target := range targets {
						took := 30 * time.Millisecond
						if id == "engine-3" {
							took *= 2
						}
						m := f.members[f.draw(len(f.members))]
						if !down[m.Self.Address] {
							m.Speeds.Observe(target, speed.Event, speed.Load{Nominal: time.Second, Requests: 5}, took)
							observed++
						}
					}
					f.run(100*time.Millisecond, 30)
				}
			}
			check := func(when string) {
				t.Helper()
				for _, m := range f.members {
					if down[m.Self.Address] {
						continue
					}
					view, sum := m.Speeds.View("models"), 0.0
					for id, target := range targets {
						e := view.Of(&target)
						sum += e.Samples
						if (e.Factor() > 1.5) != (id == "engine-3") {
							t.Errorf("%s, %s: %s takes %.2f times as long as usual", when, m.Self.ID, id, e.Factor())
						}
					}
					if sum > float64(observed) {
						t.Errorf("%s, %s counts %.0f samples of %d", when, m.Self.ID, sum, observed)
					}
				}
			}
			play(60)
			check("all there")
			down[f.members[0].Self.Address], down[f.members[1].Self.Address] = true, true
			play(40)
			check("first relays gone")
		})
	}
}

// TestOddMessagesAboutSpeedsAreRefused covers lists that do not fit together, an unknown scope
// and values beyond all bounds, from an instance that is not to be trusted.
func TestOddMessagesAboutSpeedsAreRefused(t *testing.T) {
	targets := map[deployment.TargetID]deployment.Target{}
	for i := range 3 {
		id := deployment.TargetID(fmt.Sprint("engine-", i))
		targets[id] = deployment.Target{ID: id, Service: "models", Generation: 1}
	}
	f, _ := newFleetWithSpeeds(2, targets)
	f.run(time.Second, 10)
	from := peer.Member{ID: "front-001", Zone: "zone-1"}
	key := uint32(speed.KeyOf(speed.Process{ID: "engine-0", Generation: 1}))
	good := speed.Message{Processes: []uint32{key}, MomentMeans: []int32{0}, MomentWeights: []uint32{10}, MadeMeans: []int32{0}, MadeWeights: []uint32{10}}
	short, unknown, extreme := good, good, good
	short.MadeWeights = nil
	unknown.Scope = 9
	extreme.MadeMeans, extreme.MadeWeights = []int32{1 << 30}, []uint32{1 << 31}
	for name, c := range map[string]struct {
		message speed.Message
		refused bool
	}{"good": {good, false}, "short": {short, true}, "unknown": {unknown, true}, "extreme": {extreme, false}} {
		if err := f.members[0].MergeSpeeds(from, "one", &c.message, 1); (err != nil) != c.refused {
			t.Errorf("%s: %v", name, err)
		}
	}
	for id, target := range targets {
		if factor := f.members[0].Speeds.View("models").Of(&target).Factor(); factor > 25 {
			t.Errorf("%s takes %.0f times as long as usual", id, factor)
		}
	}
}
