package placement_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestHolderKeepsLeaseOverRestore guards against a holder that loses its lease for good,
// or has a lower fencing number than before, after the store was restored from a copy
// that has an older lease object or none; and against a second holder meanwhile.
func TestHolderKeepsLeaseOverRestore(t *testing.T) {
	for _, copyAge := range []time.Duration{4 * time.Second, 500 * time.Millisecond} {
		t.Run(copyAge.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &memoryStore{generation: 1}
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				before := store.snapshot()
				first, second := newLease(store.store(), "a", "1"), newLease(store.store(), "b", "1")
				go first.Run(ctx)
				time.Sleep(4*time.Second - copyAge + 10*time.Millisecond)
				if copyAge < 4*time.Second {
					before = store.snapshot()
				}
				go second.Run(ctx)
				time.Sleep(copyAge)
				fencing, _ := first.Held(time.Now())
				store.restore(before)
				for range 2000 {
					time.Sleep(10 * time.Millisecond)
					if !held(first) || held(second) {
						t.Fatalf("held by the first instance %v, by the second %v", held(first), held(second))
					}
				}
				if next, _ := first.Held(time.Now()); next <= fencing {
					t.Errorf("fencing number %d after %d", next, fencing)
				}
			})
		})
	}
}

// TestRestoredLeaseIsNotTakenEarly guards against a lease that is taken right after the
// store was restored from a copy, because the copy has no lease, a released one or an
// earlier one of the instance itself, while the last holder, which is cut off from the
// store, may still send orders.
func TestRestoredLeaseIsNotTakenEarly(t *testing.T) {
	for name, stored := range map[string]any{
		"no lease":       nil,
		"released lease": map[string]any{"holder": "c", "released": true},
		"own lease":      map[string]any{"holder": "b", "incarnation": "0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &memoryStore{generation: 1}
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				if stored != nil {
					if _, err := store.write("zone", 0, stored); err != nil {
						t.Fatal(err)
					}
				}
				before := store.snapshot()
				var unavailable atomic.Bool
				first, second := newLease(failingStore(store.store(), &unavailable), "a", "1"), newLease(store.store(), "b", "1")
				go first.Run(ctx)
				time.Sleep(20 * time.Second)
				fencing, _ := first.Held(time.Now())
				go second.Run(ctx)
				time.Sleep(time.Second)
				unavailable.Store(true)
				store.restore(before)
				var lastFirst, firstSecond time.Time
				for range 2500 {
					time.Sleep(10 * time.Millisecond)
					if held(first) {
						lastFirst = time.Now()
					}
					if firstSecond.IsZero() && held(second) {
						firstSecond = time.Now()
					}
				}
				if gap := firstSecond.Sub(lastFirst); firstSecond.IsZero() || gap < testQuiet {
					t.Errorf("orders of two holders may be only %s apart", gap)
				}
				if next, _ := second.Held(time.Now()); next <= fencing {
					t.Errorf("fencing number %d after %d", next, fencing)
				}
			})
		})
	}
}
