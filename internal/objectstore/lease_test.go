package objectstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/propertytest"
)

// leaseChecks is how many cases the lease's property test needs to meet its
// rare orders of events.
const leaseChecks = 12000

// TestMain fixes the seed and the number of cases of the property tests unless
// they are given.
func TestMain(m *testing.M) { propertytest.Defaults{Checks: leaseChecks}.Main(m) }

// The lease of the test, and how much faster the challenger's clock may run.
const (
	leaseTerm   = 10 * time.Second
	leaseMargin = 500 * time.Millisecond
	maxDriftPPM = 40_000
)

// duel is one holder and one challenger before a platform, on a virtual clock.
type duel struct {
	t      *rapid.T
	memory objectstore.Memory
	start  time.Time
	now    time.Time
	drift  int64
	holder objectstore.Renewer
	seen   objectstore.Sighting
	cut    bool
	// judged is the time of the look after which the challenger found the lease
	// lapsed; it may then take what hangs on it. reread is when the holder last
	// read that anew. A taker's write that is still under way at reread is for
	// the group records to settle, not for the lease.
	judged, reread time.Time
	// busy is set during a renewal.
	busy bool
}

func (d *duel) pass(label string, longest time.Duration) {
	part := rapid.SampledFrom([]time.Duration{0, 1, 5, 20, 95, 99, 100}).Draw(d.t, label)
	d.now = d.now.Add(longest * part / 100)
	d.check()
}

// challengerClock runs faster than the holder's by the drift.
func (d *duel) challengerClock() time.Time {
	passed := d.now.Sub(d.start)
	return d.start.Add(passed + passed*time.Duration(d.drift)/1_000_000)
}

func (d *duel) look() {
	asked := d.challengerClock()
	d.pass("question", time.Second)
	d.renewBetween()
	object, err := d.memory.Store().Get(context.Background(), "lease")
	if err != nil && !objectstore.ErrNotFound.Has(err) {
		d.t.Fatal(err)
	}
	looked := d.now
	d.renewBetween()
	d.pass("answer", time.Second)
	d.seen.See(object.Version, asked, d.challengerClock())
	if object.Version > 0 && d.seen.Lapsed(leaseTerm) && d.judged.IsZero() {
		d.judged = looked
	}
	d.check()
}

// renewBetween lets the holder renew while the challenger's question or answer
// is under way, sometimes.
func (d *duel) renewBetween() {
	if !d.busy && rapid.IntRange(0, 3).Draw(d.t, "renew between") == 0 {
		d.renew()
	}
}

func (d *duel) renew() {
	d.busy = true
	defer func() { d.busy = false }()
	_ = d.holder.Renew(context.Background())
}

// check is the oracle: from the moment a challenger may take what hangs on the
// lease, the holder does not count on it before it has read that anew.
func (d *duel) check() {
	if !d.judged.IsZero() && d.reread.Before(d.judged) && d.holder.Valid() {
		d.t.Fatalf("valid at %v although found lapsed at %v", d.now.Sub(d.start), d.judged.Sub(d.start))
	}
}

// store lets time pass, answers get lost and the challenger look inside each write.
func (d *duel) store() objectstore.Store {
	store := d.memory.Store()
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		if d.cut {
			return 0, objectstore.ErrUnavailable.New("cut")
		}
		d.pass("write under way", 4*time.Second)
		if rapid.Bool().Draw(d.t, "look before") {
			d.look()
		}
		version, err := put(ctx, key, value, ifVersion)
		if rapid.Bool().Draw(d.t, "look after") {
			d.look()
		}
		d.pass("answer under way", 4*time.Second)
		if rapid.IntRange(0, 3).Draw(d.t, "lost") == 0 {
			return 0, objectstore.ErrUnavailable.New("answer lost")
		}
		return version, err
	}
	return store
}

// TestLapsedLeaseIsNotValid drives a holder with slow, lost and failing
// renewals and pauses against a challenger whose clock runs faster.
func TestLapsedLeaseIsNotValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &duel{t: t, start: time.Unix(1_000_000, 0), drift: rapid.SampledFrom([]int64{0, maxDriftPPM}).Draw(t, "drift")}
		d.now = d.start
		d.holder = objectstore.Renewer{
			Store:   d.store(),
			Key:     "lease",
			Holding: objectstore.Holding{Term: leaseTerm, Margin: leaseMargin},
			Value: func(renewals uint64) ([]byte, error) {
				return fmt.Appendf(nil, `{"incarnation":"a","renewals":%d}`, renewals), nil
			},
			Regain: func(context.Context) error {
				d.reread = d.now
				return nil
			},
			Now: func() time.Time { return d.now },
		}
		t.Repeat(map[string]func(*rapid.T){
			"":      func(*rapid.T) { d.check() },
			"renew": func(*rapid.T) { d.renew() },
			"look":  func(*rapid.T) { d.look() },
			"pause": func(*rapid.T) { d.pass("pause", leaseTerm) },
			"cut":   func(*rapid.T) { d.cut = rapid.Bool().Draw(t, "cut") },
		})
	})
}

// TestRestartWaitsForTheEarlierLease checks that a process which finds another
// incarnation's lease under its name takes it over only once it has lapsed.
func TestRestartWaitsForTheEarlierLease(t *testing.T) {
	var memory objectstore.Memory
	ctx := context.Background()
	now := time.Unix(1_000_000, 0)
	renewer := func(incarnation string) *objectstore.Renewer {
		return &objectstore.Renewer{
			Store:   memory.Store(),
			Key:     "lease",
			Holding: objectstore.Holding{Term: leaseTerm, Margin: leaseMargin},
			Value: func(renewals uint64) ([]byte, error) {
				return fmt.Appendf(nil, `{"incarnation":%q,"renewals":%d}`, incarnation, renewals), nil
			},
			Now: func() time.Time { return now },
		}
	}
	first, second := renewer("a"), renewer("b")
	if err := first.Renew(ctx); err != nil || !first.Valid() {
		t.Fatalf("first: %v", err)
	}
	for range 10 {
		if err := second.Renew(ctx); !objectstore.ErrConflict.Has(err) || second.Valid() {
			t.Fatalf("second after %v: %v", now, err)
		}
		now = now.Add(time.Second)
	}
	_ = second.Renew(ctx)
	if err := second.Renew(ctx); err != nil || !second.Valid() || first.Valid() {
		t.Fatalf("second after the term: %v", err)
	}
	if err := first.Renew(ctx); !objectstore.ErrConflict.Has(err) || first.Valid() {
		t.Errorf("first after it lost the lease: %v", err)
	}
}
