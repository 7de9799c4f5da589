package team_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/team"
)

// settle lets only those instances take steps whom the zone's ledger concerns,
// as the watch does.
func (f *zoneFleet) settle(b *testing.B) {
	ctx := context.Background()
	waits := map[*team.Keeper]bool{f.keepers[len(f.keepers)-1]: true}
	for busy := true; busy; {
		busy = false
		for _, k := range f.keepers {
			object, err := f.store.Store().Get(ctx, "allowance/z")
			if err != nil {
				b.Fatal(err)
			}
			l, err := team.ParseLedger(object.Value)
			if err != nil {
				b.Fatal(err)
			}
			if !waits[k] && !l.Concerns(k.InstanceID+"#"+k.Epoch) {
				continue
			}
			wait, err := k.Reconcile(ctx)
			waits[k] = wait > 0 || err != nil
			busy = busy || waits[k]
			f.now = f.now.Add(time.Millisecond)
		}
		f.now = f.now.Add(team.LentTerm)
	}
}

// BenchmarkReplaceWatched counts the platform's reads and writes when one
// instance of a zone leaves and another joins, and watches tell who has a step
// to take.
func BenchmarkReplaceWatched(b *testing.B) {
	for _, members := range []int{3, 12, 49, 98} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			f := &zoneFleet{now: time.Unix(1_000_000, 0), left: map[string]bool{}}
			for range members {
				f.join()
				f.converge(b)
			}
			f.reads, f.writes = 0, 0
			for b.Loop() {
				oldest := f.keepers[0]
				oldest.StartLeaving()
				f.now = f.now.Add(team.LentTerm)
				if err := oldest.FinishLeaving(context.Background()); err != nil {
					b.Fatal(err)
				}
				f.keepers = f.keepers[1:]
				f.join()
				f.settle(b)
			}
			b.ReportMetric(f.reads/float64(b.N), "reads/op")
			b.ReportMetric(f.writes/float64(b.N), "writes/op")
		})
	}
}
