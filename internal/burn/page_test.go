package burn_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/burn"
	"heatherrelay/pkg/release"
)

// TestMetricsPageListsEveryMetric checks that docs/METRICS.md has exactly one row for
// each metric.
func TestMetricsPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	m := &burn.Metrics{
		Goals: testGoals,
		Gauges: burn.Gauges{
			ReleaseInForce:   func() uint64 { return 1 },
			KeysConfirmedAge: func() time.Duration { return 0 },
			OwnedTargets:     func() int { return 1 },
			QueuedTokens:     func() int { return 1 },
			DroppedOutcomes:  func() uint64 { return 1 },
			Teams:            func() []release.Team { return []release.Team{{Name: "regie"}} },
		},
	}
	m.Register()
	m.RecordRequest(answeredResult(time.Millisecond))
	m.RecordStart("regie", release.Interactive, 0, true)
	m.RecordLoad(time.Second, nil)
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, f := range families {
		name, ok := strings.CutPrefix(f.GetName(), "heatherrelay_")
		if !ok {
			continue
		}
		seen++
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("docs/METRICS.md does not list %s", name)
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != seen {
		t.Errorf("docs/METRICS.md has %d rows for %d metrics", rows, seen)
	}
}
