package team_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/team"
)

// zoneFleet is the state machines of one zone's instances in virtual time, with
// the platform calls that they make.
type zoneFleet struct {
	store         objectstore.Memory
	now           time.Time
	keepers       []*team.Keeper
	reads, writes float64
	conflicts     float64
	left          map[string]bool
}

func (f *zoneFleet) join() {
	id := fmt.Sprintf("entry-%03d", len(f.left))
	f.left[id] = false
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
	share := &team.Share{}
	share.Tick(f.now)
	share.SetRates(f.now, 1, benchRates(5))
	k := &team.Keeper{
		Zone: "z", InstanceID: id, Epoch: "00000000", Store: store,
		Now:     func() time.Time { return f.now },
		Spend:   func(at time.Time, c team.Claim) team.Handed { share.Tick(f.now); return share.Resize(f.now, at, c) },
		GiveUp:  func() team.Handed { return share.Release(f.now) },
		Deposit: func(g team.Grant) { share.Deposit(f.now, g) },
		Release: share.Number,
		Gone:    func(id string) bool { return f.left[id] },
	}
	f.keepers = append(f.keepers, k)
}

// converge lets every instance take steps, in turn, until none has more to do.
func (f *zoneFleet) converge(b *testing.B) {
	for busy := true; busy; {
		busy = false
		for _, k := range f.keepers {
			wait, err := k.Reconcile(context.Background())
			busy = busy || wait > 0 || err != nil
			f.now = f.now.Add(time.Millisecond)
		}
		f.now = f.now.Add(team.LentTerm)
	}
	if len(f.keepers) == 0 {
		b.Fatal("no instances")
	}
}

// BenchmarkReplace counts what it costs the platform to replace one instance
// of a zone: one leaves and another joins.
func BenchmarkReplace(b *testing.B) {
	for _, members := range []int{3, 12, 49, 98} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			f := &zoneFleet{now: time.Unix(1_000_000, 0), left: map[string]bool{}}
			for range members {
				f.join()
				f.converge(b)
			}
			f.writes, f.conflicts = 0, 0
			for b.Loop() {
				oldest := f.keepers[0]
				oldest.StartLeaving()
				f.now = f.now.Add(team.LentTerm)
				if err := oldest.FinishLeaving(context.Background()); err != nil {
					b.Fatal(err)
				}
				f.keepers = f.keepers[1:]
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

// BenchmarkShareMemory reports the memory of one instance's slices.
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
