package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/load"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/quota"
)

const (
	testTarget = deployment.TargetID("engine-1")
	waitLimit  = 15 * time.Second
)

var (
	testTeam    = &deployment.Team{Name: "roads", CountsTokens: true, RatePerSecond: 1, Burst: 1_000_000}
	testAdapter = deployment.AdapterName{Model: "base", Adapter: "a1"}
)

// member is one instance of a test fleet.
type member struct {
	*peer.Network
	stop context.CancelFunc
	done chan struct{}
}

// newFleet starts instances that know the first one, in three zones.
func newFleet(t *testing.T, size int) []*member {
	t.Helper()
	var seed netip.AddrPort
	var fleet []*member
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		if i == 0 {
			seed = address
		}
		m := newMember(peer.Member{ID: fmt.Sprintf("instance-%02d", i), Zone: fmt.Sprint("zone-", i%3), Address: address, Capacity: float64(i % 5)}, seed)
		ctx, cancel := context.WithCancel(context.Background())
		m.stop, m.done = cancel, make(chan struct{})
		go func() {
			defer close(m.done)
			go m.Run(ctx)
			if err := m.Serve(ctx, listener); err != nil {
				t.Error(err)
			}
		}()
		t.Cleanup(m.stop)
		fleet = append(fleet, m)
	}
	return fleet
}

func newMember(self peer.Member, seed netip.AddrPort) *member {
	directory := &placement.Directory{Now: time.Now}
	n := &peer.Network{
		Self:        self,
		Incarnation: self.ID + "-1",
		Seeds:       []netip.AddrPort{seed},
		Catalog:     &catalog.Catalog{Now: time.Now, Log: zap.NewNop()},
		Tracker:     &load.Tracker{},
		Directory:   directory,
		Holder:      &placement.Holder{Zone: self.Zone, Lease: &placement.Lease{Now: time.Now}, Now: time.Now, Log: zap.NewNop()},
		Leaving:     func() bool { return false },
		Now:         time.Now,
		Log:         zap.NewNop(),
	}
	n.Meter = &quota.Meter{Now: time.Now, Fraction: n.Fraction}
	n.Meter.Prepare([]*deployment.Team{testTeam})
	return &member{Network: n}
}

func await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		if reached() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: not reached", what)
}

// everyone says whether all instances that run see it.
func everyone(fleet []*member, sees func(*member) bool) bool {
	for _, m := range fleet {
		if !sees(m) {
			return false
		}
	}
	return true
}

// TestEveryInstanceSeesTheWhole checks, in a small fleet where all exchange with
// all and in a large one with relays, that each instance sees what all of them
// have under way, once and not twice, also after the instances that relay first
// have gone, and that it is told of the others' use of an adapter.
func TestEveryInstanceSeesTheWhole(t *testing.T) {
	for name, size := range map[string]int{"small": 6, "large": 24} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, size)
			await(t, "all know each other", func() bool {
				return everyone(fleet, func(m *member) bool { return m.Members() == size && m.Fraction() == 1 })
			})
			for _, m := range fleet {
				m.Tracker.Begin(testTarget, testAdapter, 100, 150)
			}
			await(t, "all requests are seen", func() bool {
				return everyone(fleet, func(m *member) bool { return m.Use(testTarget).Requests == size })
			})
			time.Sleep(time.Second)
			for _, m := range fleet {
				if n := m.Use(testTarget).Requests; n != size {
					t.Errorf("%s sees %d requests, there are %d", m.Self.ID, n, size)
				}
			}
			// Those with the most capacity relay first.
			var left []*member
			for _, m := range fleet {
				if m.Self.Capacity == 4 {
					m.stop()
					continue
				}
				left = append(left, m)
			}
			await(t, "the rest is seen", func() bool {
				return everyone(left, func(m *member) bool { return m.Use(testTarget).Requests == len(left) })
			})
		})
	}
}

// checkAdmissions has each instance admit a request, and checks that all count
// each of them once.
func checkAdmissions(t *testing.T, fleet []*member) {
	t.Helper()
	before := map[string]float64{}
	for _, m := range fleet {
		before[m.Self.ID] = m.Meter.Level(testTeam)
	}
	const cost = 1000
	for _, m := range fleet {
		if ok, _ := m.Meter.Admit(testTeam, cost); !ok {
			t.Fatal("refused")
		}
	}
	want := float64(len(fleet) * cost)
	near := func(m *member) bool {
		spent := before[m.Self.ID] - m.Meter.Level(testTeam)
		return spent > want-100 && spent < want+100
	}
	await(t, "all admissions are counted", func() bool { return everyone(fleet, near) })
	time.Sleep(time.Second)
	for _, m := range fleet {
		if !near(m) {
			t.Errorf("%s counted %.0f, admitted were %.0f", m.Self.ID, before[m.Self.ID]-m.Meter.Level(testTeam), want)
		}
	}
}

// TestAdmissionsAreCountedOnce checks that what instances admit reaches all
// others' buckets once, through relays too.
func TestAdmissionsAreCountedOnce(t *testing.T) {
	for name, size := range map[string]int{"small": 6, "large": 24} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, size)
			await(t, "all know each other", func() bool {
				return everyone(fleet, func(m *member) bool { return m.Members() == size && m.Fraction() == 1 })
			})
			// Roles and first counts settle.
			time.Sleep(2 * time.Second)
			checkAdmissions(t, fleet)
		})
	}
}

// TestAdmissionsAreCountedWhenRelaysEnd checks that what instances admit while
// the relays that they exchange with end reaches all others' buckets, once, by
// way of the relays that follow.
func TestAdmissionsAreCountedWhenRelaysEnd(t *testing.T) {
	t.Parallel()
	const size = 24
	fleet := newFleet(t, size)
	await(t, "all know each other", func() bool {
		return everyone(fleet, func(m *member) bool { return m.Members() == size && m.Fraction() == 1 })
	})
	time.Sleep(2 * time.Second)
	var left []*member
	for _, m := range fleet {
		if m.Self.Capacity == 4 {
			m.stop()
			continue
		}
		left = append(left, m)
	}
	checkAdmissions(t, left)
}
