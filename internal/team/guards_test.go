package team_test

import (
	"context"
	"testing"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/team"
)

var testStart = time.Unix(1_000_000, 0)

// newClaimedShare returns a share that owns half of every team's allowance
// under release 5.
func newClaimedShare(heldThrough uint64) *team.Share {
	s := &team.Share{}
	s.Tick(testStart)
	readAt := testStart.Add(time.Millisecond)
	s.ApplyClaim(readAt, readAt, team.Claim{Teams: 0.5, HeldThrough: heldThrough})
	s.SetRates(readAt, 5, []team.Rate{{Name: "old", TokensPerSecond: 1, BurstTokens: 100}})
	return s
}

// A previous owner of a claim may already have spent the burst of a team that a
// release added. The team must then not start with a second full burst when the
// new owner applies that release.
func TestNewTeamStartsFullOnlyIfNoPreviousOwnerHadIt(t *testing.T) {
	for heldThrough, want := range map[uint64]float64{5: 50, 6: 0} {
		s := newClaimedShare(heldThrough)
		now := testStart.Add(time.Second)
		s.SetRates(now, 6, []team.Rate{{Name: "new", TokensPerSecond: 1, BurstTokens: 100}})
		if got := s.Balance(now, "new"); got != want {
			t.Errorf("balance on parts held through release %d = %v, want %v", heldThrough, got, want)
		}
	}
}

// Balances counted under another release must not be deposited, since the burst
// may have differed in that release.
func TestDepositedBalancesOfAnotherReleaseAreDropped(t *testing.T) {
	for number, want := range map[uint64]float64{4: 0, 5: 20} {
		s := newClaimedShare(9)
		now := testStart.Add(time.Millisecond)
		s.Deposit(now, team.Parts{Teams: team.TotalParts / 2, HeldThrough: 9, CarryOver: team.CarryOver{Balances: team.Balances{"old": 20}, Release: number}})
		if got := s.Balance(now, "old"); got != want {
			t.Errorf("balance after a deposit of release %d = %v, want %v", number, got, want)
		}
	}
}

// While an instance is paused its claim may be reclaimed, so a claim that it
// read before the pause must not be spent.
func TestClaimReadBeforePauseIsIgnored(t *testing.T) {
	s := newClaimedShare(9)
	readAt := testStart.Add(time.Second)
	s.Tick(readAt)
	resumed := readAt.Add(10 * time.Second)
	s.ApplyClaim(resumed, readAt, team.Claim{Teams: 0.5, HeldThrough: 9})
	if got := s.Claim().Teams; got != 0 {
		t.Errorf("claim after a pause = %v, want none", got)
	}
	s.ApplyClaim(resumed.Add(time.Millisecond), resumed.Add(time.Millisecond), team.Claim{Teams: 0.5, HeldThrough: 9})
	if got := s.Claim().Teams; got != 0.5 {
		t.Errorf("claim read again = %v, want 0.5", got)
	}
}

// newTestReconciler returns a reconciler whose claim holds 100 tokens in total
// and carries over a proportional amount for what it gives up, and a pointer to
// its current time.
func newTestReconciler(store objectstore.Store) (*team.Reconciler, *time.Time) {
	now := testStart
	owned := 1.0
	reduceTo := func(claim team.Claim) team.CarryOver {
		carryOver := team.CarryOver{Balances: team.Balances{"old": 100 * max(0, owned-claim.Teams)}, Release: 5}
		owned = claim.Teams
		return carryOver
	}
	return &team.Reconciler{
		Zone: "z", InstanceID: "i", Epoch: "e", Store: store,
		Now:           func() time.Time { return now },
		ApplyClaim:    func(_ time.Time, claim team.Claim) team.CarryOver { return reduceTo(claim) },
		DropClaim:     func() team.CarryOver { return reduceTo(team.Claim{}) },
		Deposit:       func(team.Parts) {},
		ReleaseNumber: func() uint64 { return 5 },
		Gone:          func(string) bool { return false },
	}, &now
}

func putLedger(t *testing.T, store objectstore.Store, key string, l team.Ledger) uint64 {
	t.Helper()
	value, err := l.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	version, err := store.Put(context.Background(), key, value, 0)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func readLedger(t *testing.T, store objectstore.Store, key string) team.Ledger {
	t.Helper()
	object, err := store.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	l, err := team.ParseLedger(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A zone that has withdrawn parts from its ledger for the root must not put them
// back while the root ledger still shows them as the zone's.
func TestZoneTotalIsNotRaisedOnOldRootVersion(t *testing.T) {
	const half = team.TotalParts / 2
	store := new(objectstore.Memory).Store()
	root := team.Ledger{Members: []team.Member{{ID: "z", Teams: team.TotalParts, CedeTeams: half}, {ID: "other"}}}
	version := putLedger(t, store, "allowance/.root", root)
	putLedger(t, store, "allowance/z", team.Ledger{Members: []team.Member{{ID: "i#e", Teams: half}}, RootVersion: version})
	r, _ := newTestReconciler(store)
	if _, err := r.Reconcile(context.Background()); err != nil {
		t.Fatal(err)
	}
	zone, root := readLedger(t, store, "allowance/z"), readLedger(t, store, "allowance/.root")
	if zone.TotalTeams() != half || root.Find("z").Teams != half || root.Free.Teams != half {
		t.Errorf("zone %d, its part in the root %d, free %d, want half each", zone.TotalTeams(), root.Find("z").Teams, root.Free.Teams)
	}
}

// A write whose reply is lost may have taken effect. Writing the same balances
// again would carry them over twice.
func TestBalancesAreCarriedOverOnceWhenWriteReplyIsLost(t *testing.T) {
	inner := new(objectstore.Memory).Store()
	version := putLedger(t, inner, "allowance/.root", team.Ledger{Members: []team.Member{{ID: "z", Teams: team.TotalParts, Loads: team.TotalParts}}})
	members := []team.Member{{ID: "i#e", Teams: team.TotalParts, Loads: team.TotalParts, CedeTeams: team.TotalParts / 2}, {ID: "j#e"}}
	putLedger(t, inner, "allowance/z", team.Ledger{Members: members, RootVersion: version})
	store := inner
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		if _, err := inner.Put(ctx, key, value, ifVersion); err != nil {
			return 0, err
		}
		return 0, objectstore.ErrUnavailable.New("reply lost")
	}
	r, now := newTestReconciler(store)
	for range 2 {
		_, _ = r.Reconcile(context.Background())
		*now = now.Add(team.GrantedTerm)
	}
	r.Store = inner
	r.StartLeaving()
	if err := r.FinishLeaving(context.Background()); err != nil {
		t.Fatal(err)
	}
	zone := readLedger(t, inner, "allowance/z")
	if got := zone.Free.Balances["old"]; got > 100 {
		t.Errorf("%v tokens carried over, want at most 100", got)
	}
	if zone.TotalTeams() != team.TotalParts {
		t.Errorf("total = %d parts, want all", zone.TotalTeams())
	}
}
