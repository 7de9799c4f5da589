package placement_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
)

func mustJSON(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

const testQuiet = 3 * time.Second

func newLease(store platformstore.Store, holder, incarnation string) *placement.Lease {
	return &placement.Lease{Store: store, Name: "zone", Holder: holder, Incarnation: incarnation, QuietTime: testQuiet, Now: time.Now, Log: zap.NewNop()}
}

// failingStore wraps a store whose reads and replacements fail while unavailable is
// set.
func failingStore(store platformstore.Store, unavailable *atomic.Bool) platformstore.Store {
	refuse := func() error {
		if unavailable.Load() {
			return platformstore.ErrRefused.New("unavailable")
		}
		return nil
	}
	return platformstore.Store{
		Get: func(ctx context.Context, kind platformstore.Kind, name string) (platformstore.Object, error) {
			if err := refuse(); err != nil {
				return platformstore.Object{}, err
			}
			return store.Get(ctx, kind, name)
		},
		Create: store.Create,
		Replace: func(ctx context.Context, kind platformstore.Kind, name string, revision uint64, value any) (platformstore.Object, error) {
			if err := refuse(); err != nil {
				return platformstore.Object{}, err
			}
			return store.Replace(ctx, kind, name, revision, value)
		},
	}
}

func held(l *placement.Lease) bool {
	_, ok := l.Held(time.Now())
	return ok
}

// TestTakeoverWaitsForQuietTime checks that a lease whose holder loses the store is
// taken over, that the two never hold it at once, and that their orders are at least
// the quiet time apart.
func TestTakeoverWaitsForQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		var unavailable atomic.Bool
		first, second := newLease(failingStore(store.store(), &unavailable), "a", "1"), newLease(store.store(), "b", "1")
		firstCtx, stopFirst := context.WithCancel(context.Background())
		secondCtx, stopSecond := context.WithCancel(context.Background())
		go first.Run(firstCtx)
		time.Sleep(10 * time.Millisecond)
		go second.Run(secondCtx)
		time.Sleep(20 * time.Second)
		if !held(first) || held(second) {
			t.Fatal("the first instance must be the only holder")
		}
		fencing, _ := first.Held(time.Now())
		// From now on the holder's calls fail while the other instance's reach the store.
		unavailable.Store(true)
		var lastFirst, firstSecond time.Time
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			if held(first) {
				lastFirst = time.Now()
			}
			if firstSecond.IsZero() && held(second) {
				firstSecond = time.Now()
			}
		}
		if firstSecond.IsZero() || held(first) {
			t.Fatal("the lease was not taken over")
		}
		if gap := firstSecond.Sub(lastFirst); gap < testQuiet {
			t.Errorf("orders of two holders may be only %s apart", gap)
		}
		if next, _ := second.Held(time.Now()); next <= fencing {
			t.Errorf("fencing number %d does not exceed the previous %d", next, fencing)
		}
		stopFirst()
		stopSecond()
		synctest.Wait()
	})
}

// TestRestartedHolderSkipsQuietTime checks that a process that was killed and
// restarted under the same instance id sends orders without the quiet time.
func TestRestartedHolderSkipsQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first := newLease(store.store(), "a", "1")
		go first.Run(ctx)
		time.Sleep(time.Second)
		before, _ := first.Held(time.Now())
		second := newLease(store.store(), "a", "2")
		go second.Run(ctx)
		time.Sleep(time.Second)
		after, ok := second.Held(time.Now())
		if !ok || after <= before {
			t.Errorf("held %v with fencing number %d after %d", ok, after, before)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRestartInQuietTimeWaits guards against a process that takes a lease over, is
// restarted before the quiet time is over, and then sends orders at once, while the
// previous holder may just have sent one.
func TestRestartInQuietTimeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		if _, err := store.write("zone", 0, map[string]any{"holder": "a", "incarnation": "1"}); err != nil {
			t.Fatal(err)
		}
		go newLease(store.store(), "b", "1").Run(ctx)
		var acquired time.Time
		for acquired.IsZero() {
			time.Sleep(10 * time.Millisecond)
			if o, err := store.get(ctx, "", "zone"); err == nil && strings.Contains(string(o.Value), `"b"`) {
				acquired = time.Now()
			}
		}
		time.Sleep(500 * time.Millisecond)
		second := newLease(store.store(), "b", "2")
		go second.Run(ctx)
		for !held(second) {
			time.Sleep(10 * time.Millisecond)
		}
		if quiet := time.Since(acquired); quiet < testQuiet-10*time.Millisecond {
			t.Errorf("orders %s after a takeover", quiet)
		}
	})
}

// TestReadBackExtendsFromTheStoredRenewal guards against a holder that reads its lease
// back after renewals without an answer, and counts its term from the last of them
// although the store carried out only the first: others count from that one.
func TestReadBackExtendsFromTheStoredRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		l := newLease(store.store(), "a", "1")
		var unanswered, unreadable atomic.Bool
		var unansweredWrites atomic.Int64
		l.Store.Replace = func(ctx context.Context, kind platformstore.Kind, name string, revision uint64, value any) (platformstore.Object, error) {
			if !unanswered.Load() {
				return store.replace(ctx, kind, name, revision, value)
			}
			if unansweredWrites.Add(1) == 1 {
				if _, err := store.replace(ctx, kind, name, revision, value); err != nil {
					t.Error(err)
				}
			}
			return platformstore.Object{}, platformstore.ErrUnavailable.New("no answer")
		}
		l.Store.Get = func(ctx context.Context, kind platformstore.Kind, name string) (platformstore.Object, error) {
			if unreadable.Load() {
				return platformstore.Object{}, platformstore.ErrUnavailable.New("no answer")
			}
			return store.get(ctx, kind, name)
		}
		started := time.Now()
		go l.Run(ctx)
		time.Sleep(2 * time.Second)
		unanswered.Store(true)
		unreadable.Store(true)
		time.Sleep(4500 * time.Millisecond)
		unreadable.Store(false)
		const lastRenewal, term = 3 * time.Second, 6 * time.Second
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			if since := time.Since(started) - lastRenewal; held(l) && since > term {
				t.Fatalf("the lease is held %s after the last renewal that was carried out", since)
			}
		}
	})
}

// TestReleasedLeaseWaitsForQuietTime checks that a released lease is acquired by
// another instance only after the quiet time.
func TestReleasedLeaseWaitsForQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		firstCtx, stopFirst := context.WithCancel(context.Background())
		first := newLease(store.store(), "a", "1")
		go first.Run(firstCtx)
		time.Sleep(time.Second)
		stopFirst()
		synctest.Wait()
		released := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		second := newLease(store.store(), "b", "1")
		go second.Run(ctx)
		for !held(second) {
			time.Sleep(10 * time.Millisecond)
		}
		if quiet := time.Since(released); quiet < testQuiet {
			t.Errorf("lease acquired only %s after its release", quiet)
		}
		cancel()
		synctest.Wait()
	})
}

// TestConflictEndsOrdersAtOnce guards against orders of a previous holder that
// cannot read back a lease that was taken over: the refused renewal alone must end
// its orders.
func TestConflictEndsOrdersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first := newLease(store.store(), "a", "1")
		first.Store.Get = func(ctx context.Context, kind platformstore.Kind, name string) (platformstore.Object, error) {
			if store.revision > 1 {
				return platformstore.Object{}, platformstore.ErrRefused.New("unavailable")
			}
			return store.get(ctx, kind, name)
		}
		go first.Run(ctx)
		time.Sleep(time.Second)
		o, err := store.get(ctx, "", "zone")
		if err != nil || !held(first) {
			t.Fatalf("held %v, %v", held(first), err)
		}
		if _, err := store.replace(ctx, "", "zone", o.Revision, map[string]string{"holder": "b"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if held(first) {
			t.Error("lease still held after a refused renewal")
		}
		cancel()
		synctest.Wait()
	})
}
