package objectstore_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"heatherrelay/internal/objectstore"
)

// TestSweeperRemovesOnlyLapsedUnlistedLeases checks that of four leases only one is
// deleted: that of the instance which neither renews nor is in the platform's list.
func TestSweeperRemovesOnlyLapsedUnlistedLeases(t *testing.T) {
	ctx := context.Background()
	var memory objectstore.Memory
	store := memory.Store()
	memory.SetInstances([]objectstore.InstanceEntry{{ID: "partitioned"}, {ID: "leaving", State: objectstore.InstanceLeaving}})
	versions := map[string]uint64{}
	renew := func(id string) {
		version, err := store.Put(ctx, objectstore.InstanceLeaseKey(id), []byte("{}"), versions[id])
		if err != nil {
			t.Fatal(err)
		}
		versions[id] = version
	}
	for _, id := range []string{"crashed", "partitioned", "leaving", "unlisted"} {
		renew(id)
	}
	now := time.Unix(1_000_000, 0)
	var swept []string
	sweeper := objectstore.LeaseSweeper{
		Store:        store,
		MinUnchanged: time.Minute,
		OnDeleted:    func(id string) { swept = append(swept, id) },
		Now:          func() time.Time { return now },
	}
	for range 4 {
		if err := sweeper.Sweep(ctx); err != nil {
			t.Fatal(err)
		}
		if now.Before(time.Unix(1_000_000+60, 0)) && len(swept) > 0 {
			t.Errorf("swept %v at %v", swept, now)
		}
		now = now.Add(30 * time.Second)
		renew("unlisted")
	}
	if !slices.Equal(swept, []string{"crashed"}) {
		t.Errorf("swept %v", swept)
	}
}
