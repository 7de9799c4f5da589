package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/evacuation"
)

const limit = 5 * time.Second

// testZones are the evacuated zones of one instance on a fake clock.
type testZones struct {
	*evacuation.Zones
	clock.Beats
	now, confirmedAt time.Time
}

func newZones() *testZones {
	z := &testZones{now: time.Unix(1_000_000, 0)}
	z.Zones = &evacuation.Zones{
		Limit: limit, ConfirmedAt: func() time.Time { return z.confirmedAt }, WokeWithin: z.Beats.WokeWithin, Now: z.clock, Log: zap.NewNop(),
	}
	z.Beats.Now = z.clock
	return z
}

func (z *testZones) clock() time.Time { return z.now }

// run lets time pass in which the process runs. confirmed is set if reads of the store
// confirm the zones meanwhile.
func (z *testZones) run(d time.Duration, confirmed bool) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(500 * time.Millisecond) {
		z.Beat()
		if confirmed {
			z.confirmedAt = z.now
		}
	}
}

func (z *testZones) evacuate(zones ...string) []string {
	named := map[string]bool{}
	for _, zone := range zones {
		named[zone] = true
	}
	return z.Apply(named)
}

func (z *testZones) check(t *testing.T, when, zone string, want evacuation.Status) {
	t.Helper()
	if got := z.Status(zone); got != want {
		t.Errorf("%s: zone %s is %s, want %s", when, zone, got, want)
	}
	if got := z.Statuses()(zone); got != want {
		t.Errorf("%s: zone %s is %s among others, want %s", when, zone, got, want)
	}
}

// TestNothingIsSentBeforeTheEvacuationsAreKnown guards against an instance that starts during
// an evacuation and sends to the zone until it has learned of it.
func TestNothingIsSentBeforeTheEvacuationsAreKnown(t *testing.T) {
	z := newZones()
	z.run(2*time.Second, false)
	z.check(t, "without a replica", "north", evacuation.Unconfirmed)
	if z.Known() {
		t.Error("the evacuated zones count as known without a replica")
	}
	z.run(time.Second, true)
	z.evacuate("north", "nowhere")
	z.check(t, "with a replica", "north", evacuation.Evacuated)
	z.check(t, "with a replica", "south", evacuation.Open)
}

// TestEvacuationOutlastsAnOutage checks that a zone stays evacuated while nothing is confirmed,
// and that the others stay in use: callers of all instances need them when the store is away.
func TestEvacuationOutlastsAnOutage(t *testing.T) {
	z := newZones()
	z.run(time.Second, true)
	z.evacuate("north")
	z.run(time.Minute, false)
	z.check(t, "in an outage", "north", evacuation.Evacuated)
	z.check(t, "in an outage", "south", evacuation.Open)
	z.run(time.Second, true)
	if ended := z.evacuate(); !slices.Equal(ended, []string{"north"}) {
		t.Errorf("the evacuations of %v have ended, want that of north", ended)
	}
	z.check(t, "after its end", "north", evacuation.Open)
}

// TestSuspendedInstanceConfirmsFirst guards against an instance that was suspended while a
// zone was evacuated and goes on sending there with what it knew.
func TestSuspendedInstanceConfirmsFirst(t *testing.T) {
	z := newZones()
	z.run(time.Second, true)
	z.now = z.now.Add(6 * time.Second)
	z.check(t, "before the first beat", "south", evacuation.Unconfirmed)
	z.run(time.Second, false)
	z.check(t, "a second later", "south", evacuation.Unconfirmed)
	z.confirmedAt = z.now
	z.check(t, "after a confirmation", "south", evacuation.Open)
}

// TestSuspendedInstanceServesWithoutTheStore checks that an instance that reaches neither the
// store nor a peer after a suspension serves callers again after a while.
func TestSuspendedInstanceServesWithoutTheStore(t *testing.T) {
	z := newZones()
	z.run(time.Second, true)
	z.now = z.now.Add(6 * time.Second)
	z.run(2500*time.Millisecond, false)
	z.check(t, "without a confirmation", "south", evacuation.Open)
}

// TestAllZonesAreOpenWithoutALimit checks that deployments without evacuations decide as
// before.
func TestAllZonesAreOpenWithoutALimit(t *testing.T) {
	var none *evacuation.Zones
	for _, z := range []*evacuation.Zones{none, {}} {
		if !z.Allows("north") || z.Statuses()("north") != evacuation.Open || !z.Known() {
			t.Error("a zone is not open though there are no evacuations")
		}
	}
}
