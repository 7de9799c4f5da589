package team_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

func ExampleHints_NextPeer() {
	now := time.Unix(1_000_000, 0)
	rate := team.Rate{Name: team.Name("billing"), TokensPerSecond: 10, BurstTokens: 300}
	peers := []team.Peer{{ID: "i1", Zone: "silom"}, {ID: "i2", Zone: "bang_na"}}
	var hints team.Hints
	hints.Record(now, "i1", rate.Name, 5)
	hints.Record(now, "i2", rate.Name, 80)
	peer, ok := hints.NextPeer(now, "silom", peers, rate, 60, nil)
	fmt.Println(peer.ID, ok)
	_, ok = hints.NextPeer(now, "silom", peers, rate, 100, nil)
	fmt.Println("both together hold 100:", ok)
	// Output:
	// i2 true
	// both together hold 100: false
}

func TestCollectorExportsBalancesAndParts(t *testing.T) {
	f := newFleet(t, release.Team{Name: "billing", TokensPerSecond: 0.001, BurstTokens: 1000})
	a := f.start("i1", "silom")
	waitFor(t, "a full balance", func() bool { return a.Balance("billing") >= 1000 })
	want := `
# HELP heatherrelay_allowance_teams_part Part of all teams' rates that this instance owns.
# TYPE heatherrelay_allowance_teams_part gauge
heatherrelay_allowance_teams_part 1
# HELP heatherrelay_allowance_balance_tokens Tokens of a team that this instance may spend now.
# TYPE heatherrelay_allowance_balance_tokens gauge
heatherrelay_allowance_balance_tokens{team="billing"} 1000
`
	names := []string{"heatherrelay_allowance_teams_part", "heatherrelay_allowance_balance_tokens"}
	if err := testutil.CollectAndCompare(team.Collector{Allowances: a}, strings.NewReader(want), names...); err != nil {
		t.Error(err)
	}
}

func TestMetricsDocumentationListsEveryAllowanceMetric(t *testing.T) {
	documentation, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(team.Collector{Allowances: &team.Allowances{}})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if name := strings.TrimPrefix(f.GetName(), "heatherrelay_"); !strings.Contains(string(documentation), "`"+name+"`") {
			t.Errorf("docs/METRICS.md lacks %s", name)
		}
	}
}

func TestLastDonorOfLoadTokensIsTriedFirst(t *testing.T) {
	var hints team.Hints
	rate := team.Rate{Name: team.LoadRate, TokensPerSecond: 3, BurstTokens: 8}
	var peers []team.Peer
	for i := range 339 {
		peers = append(peers, team.Peer{ID: fmt.Sprint("i", i), Zone: "z"})
	}
	hints.RecordGrant("i300", team.LoadRate)
	peer, ok := hints.NextPeer(time.Unix(1_000_000, 0), "z", peers, rate, 1, nil)
	if !ok || peer.ID != "i300" {
		t.Errorf("NextPeer() = %v, %v, want the last donor", peer, ok)
	}
	peer, ok = hints.NextPeer(time.Unix(1_000_000, 0), "z", peers, rate, 1, map[string]bool{"i300": true})
	if peer.ID == "i300" {
		t.Errorf("NextPeer() = %v, %v, want a peer not tried yet", peer, ok)
	}
}
