package team_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherrelay/internal/team"
)

// convergeWatched runs only the reconcilers that have a step to take according
// to the zone's ledger, as the watch does in production.
func (f *zoneFleet) convergeWatched(b *testing.B) {
	ctx := context.Background()
	hasStep := map[*team.Reconciler]bool{f.reconcilers[len(f.reconcilers)-1]: true}
	for busy := true; busy; {
		busy = false
		for _, r := range f.reconcilers {
			object, err := f.store.Store().Get(ctx, "allowance/z")
			if err != nil {
				b.Fatal(err)
			}
			l, err := team.ParseLedger(object.Value)
			if err != nil {
				b.Fatal(err)
			}
			if !hasStep[r] && !l.NeedsAction(r.InstanceID+"#"+r.Epoch) {
				continue
			}
			wait, err := r.Reconcile(ctx)
			hasStep[r] = wait > 0 || err != nil
			busy = busy || hasStep[r]
			f.now = f.now.Add(time.Millisecond)
		}
		f.now = f.now.Add(team.GrantedTerm)
	}
}

// BenchmarkReplaceWatched counts store reads and writes when one instance of a
// zone leaves and another joins, and a watch decides which instances reconcile.
func BenchmarkReplaceWatched(b *testing.B) {
	for _, members := range []int{3, 12, 49, 98} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			f := &zoneFleet{now: time.Unix(1_000_000, 0), hasLeft: map[string]bool{}}
			for range members {
				f.join()
				f.converge(b)
			}
			f.reads, f.writes = 0, 0
			for b.Loop() {
				oldest := f.reconcilers[0]
				oldest.StartLeaving()
				f.now = f.now.Add(team.GrantedTerm)
				if err := oldest.FinishLeaving(context.Background()); err != nil {
					b.Fatal(err)
				}
				f.reconcilers = f.reconcilers[1:]
				f.join()
				f.convergeWatched(b)
			}
			b.ReportMetric(f.reads/float64(b.N), "reads/op")
			b.ReportMetric(f.writes/float64(b.N), "writes/op")
		})
	}
}
