package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/throttle"
)

const (
	testTarget = deployment.TargetID("engine-1")
	waitLimit  = 15 * time.Second
	// testKind is the kind of the objects in the replicas of configurations.
	testKind = platformstore.Kind("config")
)

var (
	testTeam    = &deployment.Team{Name: "roads", CountsTokens: true, RatePerSecond: 1, Burst: 1_000_000}
	testAdapter = deployment.AdapterName{Model: "base", Adapter: "a1"}
)

// member is an instance of a test fleet.
type member struct {
	*peer.Network
	stop     context.CancelFunc
	done     chan struct{}
	listener *stallingListener
	// wrap replaces the listener; nil keeps it.
	wrap func(net.Listener) net.Listener
}

// stallingListener is a listener whose connections can be stalled for a while, as those
// of a busy process: what arrives is read later.
type stallingListener struct {
	net.Listener
	mu           sync.Mutex
	stalledUntil time.Time
}

func (l *stallingListener) stall(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledUntil = time.Now().Add(d)
}

// Accept returns the next connection.
func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{Conn: c, listener: l}, nil
}

type stallingConn struct {
	net.Conn
	listener *stallingListener
}

// Read reads from the connection and returns what it has read once the stall is over.
func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	remaining := time.Until(c.listener.stalledUntil)
	c.listener.mu.Unlock()
	time.Sleep(remaining)
	return n, err
}

// newFleet starts instances in three zones that have the first one as their
// seed. Tests with a fleet run one after the other: several fleets at once exceed the
// processors of a small machine, where exchanges time out.
func newFleet(t *testing.T, size int) []*member {
	t.Helper()
	return newFleetWith(t, size, func(int, *member) {})
}

// newFleetWith is newFleet of instances that edit changes before they run.
func newFleetWith(t *testing.T, size int, edit func(i int, m *member)) []*member {
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
		edit(i, m)
		if m.wrap != nil {
			listener = m.wrap(listener)
		}
		listener = &stallingListener{Listener: listener}
		ctx, cancel := context.WithCancel(context.Background())
		m.stop, m.done, m.listener = cancel, make(chan struct{}), listener.(*stallingListener)
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

// newMember returns an instance without a store that is not running yet.
func newMember(self peer.Member, seed netip.AddrPort) *member {
	directory := &placement.Directory{Now: time.Now}
	n := &peer.Network{
		Self:        self,
		Incarnation: self.ID + "-1",
		Seeds:       []netip.AddrPort{seed},
		Catalog:     &catalog.Catalog{Kinds: catalog.Kinds{Configuration: testKind}, Now: time.Now, Log: zap.NewNop()},
		Tracker:     &inflight.Tracker{},
		Directory:   directory,
		Holder:      &placement.Holder{Zone: self.Zone, Lease: &placement.Lease{Now: time.Now}, Now: time.Now, Log: zap.NewNop()},
		Origins:     &origin.Table{Now: time.Now},
		Versions:    &origin.Versions{Now: time.Now},
		Leaving:     func() bool { return false },
		Now:         time.Now,
		Log:         zap.NewNop(),
	}
	n.Crashes = &crash.Ledger{OnChange: n.PublishCrash, Now: time.Now, Log: zap.NewNop()}
	n.Limits = &throttle.Limiter{Self: self.ID, Members: n.MemberIDs, OnChange: n.PublishLimit, Now: time.Now, Log: zap.NewNop()}
	n.Meter = &quota.Meter{Now: time.Now, ReachableFraction: n.AliveFraction}
	n.Meter.Prepare([]*deployment.Team{testTeam})
	return &member{Network: n}
}

// await polls a condition and fails the test if it is not reached in waitLimit.
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

// allInstances reports whether a condition holds on all instances of a fleet.
func allInstances(fleet []*member, holds func(*member) bool) bool {
	for _, m := range fleet {
		if !holds(m) {
			return false
		}
	}
	return true
}

// TestEveryInstanceSeesTheTotalUse checks, in a full mesh and in a fleet with
// relays, that each instance counts the requests in flight at all instances
// exactly once, also after the first relays have stopped.
func TestEveryInstanceSeesTheTotalUse(t *testing.T) {
	for name, size := range map[string]int{"small": 6, "large": 24} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, size)
			await(t, "all know each other", func() bool {
				return allInstances(fleet, func(m *member) bool { return m.MemberCount() == size && m.AliveFraction() == 1 })
			})
			for _, m := range fleet {
				m.Tracker.Begin(testTarget, testAdapter, 100, 150)
			}
			await(t, "all requests are counted", func() bool {
				return allInstances(fleet, func(m *member) bool { return m.Use(testTarget).Requests == size })
			})
			time.Sleep(time.Second)
			for _, m := range fleet {
				if n := m.Use(testTarget).Requests; n != size {
					t.Errorf("%s counts %d requests, %d are in flight", m.Self.ID, n, size)
				}
			}
			// Instances with the most capacity are the first relays.
			var remaining []*member
			for _, m := range fleet {
				if m.Self.Capacity == 4 {
					m.stop()
					continue
				}
				remaining = append(remaining, m)
			}
			await(t, "only the requests of the remaining instances are counted", func() bool {
				return allInstances(remaining, func(m *member) bool { return m.Use(testTarget).Requests == len(remaining) })
			})
		})
	}
}

// checkAdmissions has each instance admit a request, and checks that every
// instance counts each of them once.
func checkAdmissions(t *testing.T, fleet []*member) {
	t.Helper()
	before := map[string]float64{}
	for _, m := range fleet {
		before[m.Self.ID] = m.Meter.Level(testTeam)
	}
	const cost = 1000
	for _, m := range fleet {
		if ok, _ := m.Meter.Admit(testTeam, quota.Request{Cost: cost}); !ok {
			t.Fatal("the request was not admitted")
		}
	}
	want := float64(len(fleet) * cost)
	counted := func(m *member) bool {
		spent := before[m.Self.ID] - m.Meter.Level(testTeam)
		return spent > want-100 && spent < want+100
	}
	await(t, "all admissions are counted", func() bool { return allInstances(fleet, counted) })
	time.Sleep(time.Second)
	for _, m := range fleet {
		if !counted(m) {
			t.Errorf("%s counted %.0f tokens, %.0f were admitted", m.Self.ID, before[m.Self.ID]-m.Meter.Level(testTeam), want)
		}
	}
}

// TestAdmissionsAreCountedOnce checks that an admission reaches the buckets of
// all other instances exactly once, also through relays.
func TestAdmissionsAreCountedOnce(t *testing.T) {
	for name, size := range map[string]int{"small": 6, "large": 24} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, size)
			await(t, "all know each other", func() bool {
				return allInstances(fleet, func(m *member) bool { return m.MemberCount() == size && m.AliveFraction() == 1 })
			})
			// Wait until roles and the first counts are stable.
			time.Sleep(2 * time.Second)
			checkAdmissions(t, fleet)
		})
	}
}

// TestAdmissionsAreCountedWhenRelaysStop checks that admissions made while the
// current relays stop reach the buckets of all other instances exactly once,
// through the relays that replace them.
func TestAdmissionsAreCountedWhenRelaysStop(t *testing.T) {
	const size = 24
	fleet := newFleet(t, size)
	await(t, "all know each other", func() bool {
		return allInstances(fleet, func(m *member) bool { return m.MemberCount() == size && m.AliveFraction() == 1 })
	})
	time.Sleep(2 * time.Second)
	var remaining []*member
	for _, m := range fleet {
		if m.Self.Capacity == 4 {
			m.stop()
			continue
		}
		remaining = append(remaining, m)
	}
	checkAdmissions(t, remaining)
}
