package team_test

import (
	"context"
	"testing"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/team"
)

var guardStart = time.Unix(1_000_000, 0)

// claimed returns a share that owns half of everything under release 5.
func claimed(since uint64) *team.Share {
	s := &team.Share{}
	s.Tick(guardStart)
	read := guardStart.Add(time.Millisecond)
	s.Resize(read, read, team.Claim{Teams: 0.5, Since: since})
	s.SetRates(read, 5, []team.Rate{{Name: "old", TokensPerSecond: 1, BurstTokens: 100}})
	return s
}

func TestATeamStartsFullOnlyOnPartsThatNoHolderHadItOn(t *testing.T) {
	for since, want := range map[uint64]float64{5: 50, 6: 0} {
		s := claimed(since)
		now := guardStart.Add(time.Second)
		s.SetRates(now, 6, []team.Rate{{Name: "new", TokensPerSecond: 1, BurstTokens: 100}})
		if got := s.Balance(now, "new"); got != want {
			t.Errorf("balance on parts held since release %d = %v, want %v", since, got, want)
		}
	}
}

func TestBalancesOfAnotherReleaseAreDropped(t *testing.T) {
	for number, want := range map[uint64]float64{4: 0, 5: 20} {
		s := claimed(9)
		now := guardStart.Add(time.Millisecond)
		s.Deposit(now, team.Grant{Teams: team.TotalParts / 2, Since: 9, Handed: team.Handed{Balances: team.Balances{"old": 20}, Release: number}})
		if got := s.Balance(now, "old"); got != want {
			t.Errorf("balance after a deposit of release %d = %v, want %v", number, got, want)
		}
	}
}

func TestAClaimReadBeforeAPauseIsIgnored(t *testing.T) {
	s := claimed(9)
	read := guardStart.Add(time.Second)
	s.Tick(read)
	woken := read.Add(10 * time.Second)
	s.Resize(woken, read, team.Claim{Teams: 0.5, Since: 9})
	if got := s.Claim().Teams; got != 0 {
		t.Errorf("claim after a pause = %v, want none", got)
	}
	s.Resize(woken.Add(time.Millisecond), woken.Add(time.Millisecond), team.Claim{Teams: 0.5, Since: 9})
	if got := s.Claim().Teams; got != 0.5 {
		t.Errorf("claim read again = %v, want 0.5", got)
	}
}

// guardKeeper returns a keeper whose claim holds 10 tokens for each part that it
// gives up, and the time that it sees.
func guardKeeper(store objectstore.Store) (*team.Keeper, *time.Time) {
	now := guardStart
	spent := 1.0
	smaller := func(claim team.Claim) team.Handed {
		handed := team.Handed{Balances: team.Balances{"old": 100 * max(0, spent-claim.Teams)}, Release: 5}
		spent = claim.Teams
		return handed
	}
	return &team.Keeper{
		Zone: "z", InstanceID: "i", Epoch: "e", Store: store,
		Now:     func() time.Time { return now },
		Spend:   func(_ time.Time, claim team.Claim) team.Handed { return smaller(claim) },
		GiveUp:  func() team.Handed { return smaller(team.Claim{}) },
		Deposit: func(team.Grant) {},
		Release: func() uint64 { return 5 },
		Gone:    func(string) bool { return false },
	}, &now
}

func put(t *testing.T, store objectstore.Store, key string, l team.Ledger) uint64 {
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

func ledger(t *testing.T, store objectstore.Store, key string) team.Ledger {
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

func TestAZoneThatGaveUpPartsIsNotRaisedOnTheOldRoot(t *testing.T) {
	const half = team.TotalParts / 2
	store := new(objectstore.Memory).Store()
	root := team.Ledger{Members: []team.Member{{ID: "z", Teams: team.TotalParts, CedeTeams: half}, {ID: "other"}}}
	version := put(t, store, "allowance/.root", root)
	put(t, store, "allowance/z", team.Ledger{Members: []team.Member{{ID: "i#e", Teams: half}}, RootVersion: version})
	k, _ := guardKeeper(store)
	if _, err := k.Reconcile(context.Background()); err != nil {
		t.Fatal(err)
	}
	zone, root := ledger(t, store, "allowance/z"), ledger(t, store, "allowance/.root")
	if zone.TotalTeams() != half || root.Find("z").Teams != half || root.Free.Teams != half {
		t.Errorf("zone %d, its part in the root %d, free %d, want half each", zone.TotalTeams(), root.Find("z").Teams, root.Free.Teams)
	}
}

func TestBalancesAreHandedOnOnceThoughAnAnswerIsLost(t *testing.T) {
	inner := new(objectstore.Memory).Store()
	version := put(t, inner, "allowance/.root", team.Ledger{Members: []team.Member{{ID: "z", Teams: team.TotalParts, Loads: team.TotalParts}}})
	members := []team.Member{{ID: "i#e", Teams: team.TotalParts, Loads: team.TotalParts, CedeTeams: team.TotalParts / 2}, {ID: "j#e"}}
	put(t, inner, "allowance/z", team.Ledger{Members: members, RootVersion: version})
	store := inner
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		if _, err := inner.Put(ctx, key, value, ifVersion); err != nil {
			return 0, err
		}
		return 0, objectstore.ErrUnavailable.New("answer lost")
	}
	k, now := guardKeeper(store)
	for range 2 {
		_, _ = k.Reconcile(context.Background())
		*now = now.Add(team.LentTerm)
	}
	k.Store = inner
	k.StartLeaving()
	if err := k.FinishLeaving(context.Background()); err != nil {
		t.Fatal(err)
	}
	zone := ledger(t, inner, "allowance/z")
	if got := zone.Free.Balances["old"]; got > 100 {
		t.Errorf("%v tokens handed on, of 100", got)
	}
	if zone.TotalTeams() != team.TotalParts {
		t.Errorf("total = %d parts", zone.TotalTeams())
	}
}
