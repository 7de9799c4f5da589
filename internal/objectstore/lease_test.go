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

// leaseChecks is the number of cases that the property test of the lease needs to
// reach the rare orders of events.
const leaseChecks = 12000

// TestMain fixes the seed and the number of cases of the property tests unless
// the command line sets them.
func TestMain(m *testing.M) { propertytest.Defaults{Checks: leaseChecks}.Main(m) }

// The lease of the tests, and how much faster the challenger's clock may run.
const (
	leaseTerm   = 10 * time.Second
	leaseMargin = 500 * time.Millisecond
	maxDriftPPM = 40_000
)

// simulation has one lease holder and one challenger on the same store, on a
// virtual clock.
type simulation struct {
	t           *rapid.T
	memory      objectstore.Memory
	start       time.Time
	now         time.Time
	drift       int64
	holder      objectstore.Renewer
	seen        objectstore.LeaseObservation
	partitioned bool
	// lapsedAt is the time of the read from which the challenger concluded that
	// the lease had lapsed; from then on it may take over the state that the
	// lease protects. resyncedAt is the time at which the holder last read that
	// state again. A takeover write still in flight at resyncedAt is resolved by
	// the versions of the group records, not by the lease.
	lapsedAt, resyncedAt time.Time
	// renewing is set during a renewal, which must not start another one.
	renewing bool
}

// advance moves the clock by a drawn part of longest and checks the invariant.
func (s *simulation) advance(label string, longest time.Duration) {
	part := rapid.SampledFrom([]time.Duration{0, 1, 5, 20, 95, 99, 100}).Draw(s.t, label)
	s.now = s.now.Add(longest * part / 100)
	s.check()
}

// challengerClock returns the challenger's time; its clock runs faster than the
// holder's by drift parts per million.
func (s *simulation) challengerClock() time.Time {
	passed := s.now.Sub(s.start)
	return s.start.Add(passed + passed*time.Duration(s.drift)/1_000_000)
}

// observe lets the challenger read the lease object, with delays before and after
// the read.
func (s *simulation) observe() {
	requested := s.challengerClock()
	s.advance("read request", time.Second)
	s.maybeRenew()
	object, err := s.memory.Store().Get(context.Background(), "lease")
	if err != nil && !objectstore.ErrNotFound.Has(err) {
		s.t.Fatal(err)
	}
	readAt := s.now
	s.maybeRenew()
	s.advance("read response", time.Second)
	s.seen.Observe(object.Version, requested, s.challengerClock())
	if object.Version > 0 && s.seen.Lapsed(leaseTerm) && s.lapsedAt.IsZero() {
		s.lapsedAt = readAt
	}
	s.check()
}

// maybeRenew lets the holder renew, in one of four cases, while the challenger's
// request or response is in flight.
func (s *simulation) maybeRenew() {
	if !s.renewing && rapid.IntRange(0, 3).Draw(s.t, "renew between") == 0 {
		s.renew()
	}
}

func (s *simulation) renew() {
	s.renewing = true
	defer func() { s.renewing = false }()
	_ = s.holder.Renew(context.Background())
}

// check asserts the invariant: once the challenger may take over the state that the
// lease protects, the holder's lease is not valid until the holder has read that
// state again.
func (s *simulation) check() {
	if !s.lapsedAt.IsZero() && s.resyncedAt.Before(s.lapsedAt) && s.holder.Valid() {
		s.t.Fatalf("lease still valid at %v, although the challenger saw it lapse at %v", s.now.Sub(s.start), s.lapsedAt.Sub(s.start))
	}
}

// store wraps the store so that during each write time passes, the challenger may
// read the lease, and the response may be lost.
func (s *simulation) store() objectstore.Store {
	store := s.memory.Store()
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		if s.partitioned {
			return 0, objectstore.ErrUnavailable.New("partitioned")
		}
		s.advance("request in flight", 4*time.Second)
		if rapid.Bool().Draw(s.t, "observe before") {
			s.observe()
		}
		version, err := put(ctx, key, value, ifVersion)
		if rapid.Bool().Draw(s.t, "observe after") {
			s.observe()
		}
		s.advance("response in flight", 4*time.Second)
		if rapid.IntRange(0, 3).Draw(s.t, "lost") == 0 {
			return 0, objectstore.ErrUnavailable.New("response lost")
		}
		return version, err
	}
	return store
}

// TestLapsedLeaseIsNotValid guards against two instances using the same state: a
// holder that still relies on its lease although a challenger may take over. The
// holder's renewals are slow, lost or failing, it pauses, and the challenger's
// clock runs up to 4 % faster.
func TestLapsedLeaseIsNotValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, start: time.Unix(1_000_000, 0), drift: rapid.SampledFrom([]int64{0, maxDriftPPM}).Draw(t, "drift")}
		s.now = s.start
		s.holder = objectstore.Renewer{
			Store: s.store(),
			Key:   "lease",
			Lease: objectstore.HeldLease{Term: leaseTerm, Margin: leaseMargin},
			Value: func(renewals uint64) ([]byte, error) {
				return fmt.Appendf(nil, `{"incarnation":"a","renewals":%d}`, renewals), nil
			},
			Resync: func(context.Context) error {
				s.resyncedAt = s.now
				return nil
			},
			Now: func() time.Time { return s.now },
		}
		t.Repeat(map[string]func(*rapid.T){
			"":           func(*rapid.T) { s.check() },
			"renew":      func(*rapid.T) { s.renew() },
			"observe":    func(*rapid.T) { s.observe() },
			"pause":      func(*rapid.T) { s.advance("pause", leaseTerm) },
			"disconnect": func(*rapid.T) { s.partitioned = rapid.Bool().Draw(t, "partitioned") },
		})
	})
}

// TestRestartWaitsForPreviousLease checks that a restarted process, which finds the
// lease of its previous incarnation under its key, takes it over only once that
// lease has lapsed.
func TestRestartWaitsForPreviousLease(t *testing.T) {
	var memory objectstore.Memory
	ctx := context.Background()
	now := time.Unix(1_000_000, 0)
	renewer := func(incarnation string) *objectstore.Renewer {
		return &objectstore.Renewer{
			Store: memory.Store(),
			Key:   "lease",
			Lease: objectstore.HeldLease{Term: leaseTerm, Margin: leaseMargin},
			Value: func(renewals uint64) ([]byte, error) {
				return fmt.Appendf(nil, `{"incarnation":%q,"renewals":%d}`, incarnation, renewals), nil
			},
			Now: func() time.Time { return now },
		}
	}
	first, second := renewer("a"), renewer("b")
	if err := first.Renew(ctx); err != nil || !first.Valid() {
		t.Fatalf("first incarnation, first renewal: %v", err)
	}
	for range 10 {
		if err := second.Renew(ctx); !objectstore.ErrConflict.Has(err) || second.Valid() {
			t.Fatalf("second incarnation at %v, before the lease lapsed: %v", now, err)
		}
		now = now.Add(time.Second)
	}
	_ = second.Renew(ctx)
	if err := second.Renew(ctx); err != nil || !second.Valid() || first.Valid() {
		t.Fatalf("second incarnation after the term: %v", err)
	}
	if err := first.Renew(ctx); !objectstore.ErrConflict.Has(err) || first.Valid() {
		t.Errorf("first incarnation after it lost the lease: %v", err)
	}
}
