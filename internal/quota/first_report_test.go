package quota_test

import (
	"testing"
	"time"

	"heatherrelay/internal/deployment"
)

// TestFirstReportOfAPeerCountsFromTheStartOfTheBuckets guards against admissions that are
// never counted: the first report of a peer arrives after the admissions if the exchanges
// before it timed out. The part of it that falls into the time since this instance's
// buckets were created is deducted.
func TestFirstReportOfAPeerCountsFromTheStartOfTheBuckets(t *testing.T) {
	const admitted = 6000
	for name, c := range map[string]struct {
		admittingFor time.Duration
		want         float64
	}{
		"peer started with this instance":      {10 * time.Second, admitted},
		"peer started later":                   {time.Second, admitted},
		"peer admitted for twice as long":      {20 * time.Second, admitted / 2},
		"peer of a version that does not tell": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			m := f.meters[0]
			m.Prepare([]*deployment.Team{testTeam})
			f.now = f.now.Add(10 * time.Second)
			before := m.Level(testTeam)
			m.Observe("peer", "first", c.admittingFor, map[string]float64{testTeam.Name: admitted})
			if deducted := before - m.Level(testTeam); deducted != c.want {
				t.Errorf("%.0f tokens deducted, want %.0f", deducted, c.want)
			}
		})
	}
}

// TestEarlierIncarnationsAreNotChargedToAStartedInstance guards against an instance that
// starts in a fleet whose members have restarted before, and refuses teams within their
// rate: relays list to it what the ended incarnations admitted, in any order.
func TestEarlierIncarnationsAreNotChargedToAStartedInstance(t *testing.T) {
	f := newFleet(1)
	m := f.meters[0]
	m.Prepare([]*deployment.Team{testTeam})
	f.now = f.now.Add(100 * time.Millisecond)
	before := m.Level(testTeam)
	m.Observe("peer", "second", 20*time.Second, map[string]float64{testTeam.Name: 1_000_000})
	m.Observe("peer", "first", 10*time.Second, map[string]float64{testTeam.Name: 1_000_000})
	if deducted := before - m.Level(testTeam); deducted > 20_000 {
		t.Errorf("%.0f tokens deducted for the time before the start", deducted)
	}
}

// TestReportsOfChangedTeamsOnly checks that a report that names only the teams whose
// amount has changed leaves the others as they are.
func TestReportsOfChangedTeamsOnly(t *testing.T) {
	f := newFleet(1)
	m := f.meters[0]
	other := &deployment.Team{Name: "other", CountsTokens: true, RatePerSecond: 60_000, Burst: 60_000}
	m.Prepare([]*deployment.Team{testTeam, other})
	f.now = f.now.Add(10 * time.Second)
	m.Observe("peer", "first", time.Second, map[string]float64{testTeam.Name: 100, other.Name: 200})
	m.Observe("peer", "first", time.Second, map[string]float64{other.Name: 300})
	before := m.Level(testTeam)
	m.Observe("peer", "first", time.Second, map[string]float64{testTeam.Name: 150})
	if deducted := before - m.Level(testTeam); deducted != 50 {
		t.Errorf("%.0f tokens deducted, want 50", deducted)
	}
}
