package team_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/team"
)

// zoneFleet holds the reconcilers of one zone's instances in virtual time and
// counts their store calls.
type zoneFleet struct {
	store         objectstore.Memory
	now           time.Time
	reconcilers   []*team.Reconciler
	reads, writes float64
	conflicts     float64
	hasLeft       map[string]bool
}

func (f *zoneFleet) join() {
	id := fmt.Sprintf("entry-%03d", len(f.hasLeft))
	f.hasLeft[id] = false
	inner := f.store.Store()
	store := inner
	store.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		f.reads++
		return inner.Get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		f.writes++
		version, err := inner.Put(ctx, key, value, ifVersion)
		if err != nil {
			f.conflicts++
		}
		return version, err
	}
	s := &team.Share{}
	s.Tick(f.now)
	s.SetRates(f.now, 1, benchRates(5))
	r := &team.Reconciler{
		Zone: "z", InstanceID: id, Epoch: "00000000", Store: store,
		Now:           func() time.Time { return f.now },
		ApplyClaim:    func(at time.Time, c team.Claim) team.CarryOver { s.Tick(f.now); return s.ApplyClaim(f.now, at, c) },
		DropClaim:     func() team.CarryOver { return s.DropClaim(f.now) },
		Deposit:       func(p team.Parts) { s.Deposit(f.now, p) },
		ReleaseNumber: s.ReleaseNumber,
		Gone:          func(id string) bool { return f.hasLeft[id] },
	}
	f.reconcilers = append(f.reconcilers, r)
}

// converge runs the reconcilers in turn until none has another step to take.
func (f *zoneFleet) converge(b *testing.B) {
	for busy := true; busy; {
		busy = false
		for _, r := range f.reconcilers {
			wait, err := r.Reconcile(context.Background())
			busy = busy || wait > 0 || err != nil
			f.now = f.now.Add(time.Millisecond)
		}
		f.now = f.now.Add(team.GrantedTerm)
	}
	if len(f.reconcilers) == 0 {
		b.Fatal("no instances")
	}
}

// BenchmarkReplace counts store writes and conflicts when one instance of a
// zone leaves and another joins.
func BenchmarkReplace(b *testing.B) {
	for _, members := range []int{3, 12, 49, 98} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			f := &zoneFleet{now: time.Unix(1_000_000, 0), hasLeft: map[string]bool{}}
			for range members {
				f.join()
				f.converge(b)
			}
			f.writes, f.conflicts = 0, 0
			for b.Loop() {
				oldest := f.reconcilers[0]
				oldest.StartLeaving()
				f.now = f.now.Add(team.GrantedTerm)
				if err := oldest.FinishLeaving(context.Background()); err != nil {
					b.Fatal(err)
				}
				f.reconcilers = f.reconcilers[1:]
				f.join()
				f.converge(b)
			}
			b.ReportMetric(f.writes/float64(b.N), "writes/op")
			b.ReportMetric(f.conflicts/float64(b.N), "conflicts/op")
			zone, err := f.store.Store().Get(context.Background(), "allowance/z")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(zone.Value)), "ledger_bytes")
		})
	}
}

// BenchmarkShareMemory reports the memory used by one instance's slices.
func BenchmarkShareMemory(b *testing.B) {
	for _, teams := range []int{5, 100, 1000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchShare(teams)
			}
		})
	}
}
