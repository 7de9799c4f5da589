package team_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

// waitForTimeout fails a test whose goroutines do not converge. Normally that
// takes about a second.
const waitForTimeout = 30 * time.Second

// fleet runs the Allowances of several instances against one in-memory store.
type fleet struct {
	store objectstore.Memory
	state *release.State

	mu        sync.Mutex
	instances map[string]*team.Allowances
	stopFuncs map[string]func()
}

func newFleet(t *testing.T, teams ...release.Team) *fleet {
	t.Helper()
	state, err := new(release.State).Apply(1, release.Note{Teams: teams})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{state: state, instances: map[string]*team.Allowances{}, stopFuncs: map[string]func(){}}
	t.Cleanup(func() {
		for id := range f.stopFuncs {
			f.stop(id)
		}
	})
	return f
}

func (f *fleet) start(id, zone string) *team.Allowances {
	a := &team.Allowances{
		Zone: zone, InstanceID: id, Store: f.store.Store(),
		State: func() *release.State { return f.state },
		Peers: func() []team.Peer { return f.peers(id) },
		RequestTransfer: func(_ context.Context, peerID string, request team.TransferRequest) (team.TransferReply, error) {
			f.mu.Lock()
			peer := f.instances[peerID]
			f.mu.Unlock()
			if peer == nil {
				return team.TransferReply{}, errors.New("no such peer")
			}
			return peer.GrantTransfer(request), nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = a.Run(ctx) })
	f.mu.Lock()
	f.instances[id] = a
	f.stopFuncs[id] = func() { cancel(); tasks.Wait() }
	f.mu.Unlock()
	return a
}

func (f *fleet) stop(id string) {
	f.mu.Lock()
	stop := f.stopFuncs[id]
	delete(f.instances, id)
	delete(f.stopFuncs, id)
	f.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (f *fleet) peers(excludedID string) []team.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []team.Peer
	for id, a := range f.instances {
		if id != excludedID {
			peers = append(peers, team.Peer{ID: id, Zone: a.Zone})
		}
	}
	return peers
}

// waitFor polls until the condition holds, and fails the test after
// waitForTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitForTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// minAndSum returns the smallest claim of an instance and the sum of all
// claims.
func (f *fleet) minAndSum() (minPart, sum float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	minPart = 1
	for _, a := range f.instances {
		c := a.Claim().Teams
		sum += c
		minPart = min(minPart, c)
	}
	return minPart, sum
}

func TestFirstInstanceOwnsWholeClaim(t *testing.T) {
	f := newFleet(t, release.Team{Name: "billing", TokensPerSecond: 1, BurstTokens: 1000})
	a := f.start("i1", "silom")
	waitFor(t, "a full balance", func() bool { return a.Balance("billing") >= 1000 })
	r, err := a.Admit(context.Background(), "billing", 900)
	if err != nil {
		t.Fatal(err)
	}
	_, err = a.Admit(context.Background(), "billing", 900)
	if got := refusal.From(err); got.Code != refusal.CodeRateLimited || !got.NotRun || got.RetryAfter <= 0 {
		t.Errorf("second Admit() = %v", err)
	}
	r.Settle(0)
	r.Settle(0)
	if balance := a.Balance("billing"); balance < 1000 || balance > 1000 {
		t.Errorf("balance after settling twice = %v, want 1000", balance)
	}
	_, err = a.Admit(context.Background(), "billing", 1001)
	if got := refusal.From(err); got.Code != refusal.CodeOverBurst || !got.NotRun {
		t.Errorf("Admit() over the burst = %v", err)
	}
}

func TestNineInstancesShareAndTransfer(t *testing.T) {
	f := newFleet(t, release.Team{Name: "billing", TokensPerSecond: 0.001, BurstTokens: 9000})
	first := f.start("i0", "zone0")
	waitFor(t, "the first claim", func() bool { return first.Claim().Teams == 1 })
	for i := 1; i < 9; i++ {
		f.start(fmt.Sprint("i", i), fmt.Sprint("zone", i%3))
	}
	waitFor(t, "nine parts", func() bool {
		minPart, sum := f.minAndSum()
		return minPart > 0.03 && sum > 0.999 && sum < 1.001
	})
	f.mu.Lock()
	last := f.instances["i8"]
	f.mu.Unlock()
	admitted := 0.0
	for range 100 {
		if _, err := last.Admit(context.Background(), "billing", 100); err == nil {
			admitted += 100
		}
	}
	if admitted > 9001 {
		t.Errorf("admitted %v tokens, over the burst", admitted)
	}
	if localSlice := 9000 * last.Claim().Teams; admitted <= localSlice {
		t.Errorf("admitted %v tokens, want more than the local slice of %v", admitted, localSlice)
	}
}

func TestRestartOfAllInstancesGrantsNoSecondBurst(t *testing.T) {
	f := newFleet(t, release.Team{Name: "billing", TokensPerSecond: 0.001, BurstTokens: 1000})
	a := f.start("i1", "silom")
	waitFor(t, "a full balance", func() bool { return a.Balance("billing") >= 1000 })
	if _, err := a.Admit(context.Background(), "billing", 600); err != nil {
		t.Fatal(err)
	}
	f.stop("i1")
	b := f.start("i2", "silom")
	waitFor(t, "the complete claim", func() bool { return b.Claim().Teams == 1 })
	waitFor(t, "the carried-over balance", func() bool { return b.Balance("billing") > 399 })
	if balance := b.Balance("billing"); balance > 401 {
		t.Errorf("balance = %v, want the 400 that were left", balance)
	}
}
