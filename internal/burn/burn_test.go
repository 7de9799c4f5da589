package burn_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"heatherrelay/internal/burn"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var testGoals = burn.Goals{
	release.Interactive: {
		FirstTokenLimit: 420 * time.Millisecond,
		Shares: map[burn.Objective]float64{
			burn.FirstToken: 0.95, burn.Answered: 0.99, burn.Unstalled: 0.9, burn.JustifiedRefusals: 0.999,
		},
	},
}

// newMetrics returns registered metrics whose clock the test sets through now.
func newMetrics(now *time.Time) *burn.Metrics {
	m := &burn.Metrics{
		Goals: testGoals,
		Now:   func() time.Time { return *now },
		Gauges: burn.Gauges{
			Teams: func() []release.Team { return []release.Team{{Name: "regie", TokensPerSecond: 10, BurstTokens: 100}} },
		},
	}
	m.Register()
	return m
}

func answeredResult(firstToken time.Duration) burn.Result {
	return burn.Result{
		Team: "regie", Kind: release.ModelRoute, Class: release.Interactive, Tokens: 100,
		FirstToken: firstToken, Duration: time.Second,
	}
}

func refusedResult(code refusal.Code) burn.Result {
	r := answeredResult(0)
	r.Code = code
	return r
}

// serve serves the metrics of an instance under a name and returns its source.
func serve(t *testing.T, m *burn.Metrics, name string) burn.Source {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e := &burn.Endpoint{Listener: listener, Registry: m.Registry(), Ready: func() error { return nil }}
	go func() { _ = e.Run(ctx) }()
	return burn.Source{Instance: name, Zone: "lesneven", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// TestCountsExpireFromWindows adds one event a minute for two hours. Windows are
// cleared a slot at a time, so they may miss events of the oldest slot.
func TestCountsExpireFromWindows(t *testing.T) {
	c := burn.Counts{StartedAt: start}
	s := burn.Series{Team: "regie", Objective: burn.Answered, Good: true}
	for i := range 120 {
		c.Add(start.Add(time.Duration(i)*time.Minute), s, 1)
	}
	got := map[string]uint64{}
	end := start.Add(2 * time.Hour)
	c.Each(end, func(_ burn.Series, w burn.Window, n uint64) { got[w.Name] = n })
	if got["5m"] != 4 || got["1h"] < 57 || got["1h"] > 60 || got["6h"] != 120 || got["3d"] != 120 {
		t.Errorf("counts = %v", got)
	}
	if covered := c.CoveredSpan(end, burn.Windows[2]); covered != 2*time.Hour {
		t.Errorf("covered = %v", covered)
	}
}

// TestReportAggregatesInstances checks the burn rates over two instances while a third
// cannot be reached.
func TestReportAggregatesInstances(t *testing.T) {
	now := start
	first, second := newMetrics(&now), newMetrics(&now)
	for range 90 {
		first.RecordRequest(answeredResult(100 * time.Millisecond))
		second.RecordRequest(answeredResult(100 * time.Millisecond))
	}
	for range 20 {
		second.RecordRequest(answeredResult(time.Second))
	}
	for range 2 {
		first.RecordRequest(refusedResult(refusal.CodeNoTarget))
		first.RecordRequest(refusedResult(refusal.CodeInvalidRequest))
	}
	first.RecordStart("regie", release.Interactive, time.Second, true)
	first.RecordStart("regie", release.Interactive, 0, false)
	now = now.Add(time.Minute)
	unreachable := burn.Source{Instance: "unreachable", Zone: "landerneau", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	scraper := burn.Scraper{Timeout: 10 * time.Second}
	samples := scraper.Scrape(context.Background(), []burn.Source{serve(t, first, "a"), unreachable, serve(t, second, "b")})
	r := burn.NewReport(now, samples)
	if r.Instances[1].Error == "" || r.Instances[0].Error != "" || r.Instances[2].Error != "" {
		t.Errorf("instances = %+v", r.Instances)
	}
	want := map[burn.Objective]float64{burn.FirstToken: 2, burn.Answered: 2.0 / 202 / 0.01, burn.Unstalled: 5}
	for _, row := range r.Rows {
		rate, ok := want[row.Objective]
		if ok && fmt.Sprintf("%.6f", row.Windows[1].BurnRate) != fmt.Sprintf("%.6f", rate) {
			t.Errorf("burn rate of %s = %v, want %v", row.Objective, row.Windows[1].BurnRate, rate)
		}
	}
	if row := r.Rows[r.Fastest]; row.Objective != burn.Unstalled || row.Reasons[0].Code != "waited_for_load" || math.Abs(row.BudgetLeft-(1-5*60/(72*3600.0))) > 1e-9 {
		t.Errorf("fastest = %+v", row)
	}
	writeAll(t, r)
}

// writeAll writes the report as table, HTML page and JSON and checks them. If the
// environment variable BURN_PAGE is set, the page is written to the file it names.
func writeAll(t *testing.T, r burn.Report) {
	t.Helper()
	var table, page bytes.Buffer
	if err := burn.WriteTable(&table, r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 of 3 instances read", "not read: unreachable (landerneau, 127.0.0.1:1)", "burns fastest: regie interactive unstalled"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table does not contain %q:\n%s", want, table.String())
		}
	}
	if err := burn.WriteHTML(&page, r); err != nil {
		t.Fatal(err)
	}
	if text := page.String(); !strings.Contains(text, "<svg") || strings.Contains(text, "http://www.w3.org/1999/xlink\" href") ||
		strings.Contains(text, "src=") {
		t.Error("the page has no plot, or refers to external resources")
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
	if name := os.Getenv("BURN_PAGE"); name != "" {
		if err := os.WriteFile(name, page.Bytes(), 0o600); err != nil {
			t.Error(err)
		}
	}
}

// TestUnjustifiedRefusalsAreBoundedByUnusedTokens checks that refusals for lack of
// allowance count as bad only up to the tokens that the team had left.
func TestUnjustifiedRefusalsAreBoundedByUnusedTokens(t *testing.T) {
	cases := []struct {
		granted, refused int
		unjustified      float64
	}{
		// The team may use 10*60 + 100 tokens in the minute; each request takes 100.
		{granted: 7, refused: 4, unjustified: 0},
		{granted: 5, refused: 4, unjustified: 2},
		{granted: 0, refused: 4, unjustified: 4},
	}
	for _, c := range cases {
		now := start
		m := newMetrics(&now)
		for range c.granted {
			m.RecordRequest(answeredResult(time.Millisecond))
		}
		for range c.refused {
			m.RecordRequest(refusedResult(refusal.CodeRateLimited))
		}
		now = now.Add(time.Minute)
		scraper := burn.Scraper{Timeout: 10 * time.Second}
		r := burn.NewReport(now, scraper.Scrape(context.Background(), []burn.Source{serve(t, m, "a")}))
		for _, row := range r.Rows {
			if row.Objective != burn.JustifiedRefusals {
				continue
			}
			if row.Windows[0].Bad != c.unjustified || !row.Windows[3].Unknown {
				t.Errorf("%+v: windows %+v", c, row.Windows)
			}
		}
	}
}

func TestMetricsPassTheLinter(t *testing.T) {
	now := start
	m := newMetrics(&now)
	m.RecordRequest(answeredResult(time.Millisecond))
	m.RecordStart("regie", release.Interactive, time.Second, true)
	m.RecordLoad(time.Second, nil)
	problems, err := testutil.GatherAndLint(m.Registry())
	if err != nil || len(problems) > 0 {
		t.Errorf("problems %v, error %v", problems, err)
	}
}

func TestUrgencyNeedsBothWindowsAndEnoughEvents(t *testing.T) {
	cases := []struct {
		bad  int
		age  time.Duration
		want burn.Urgency
	}{
		{bad: 9, want: burn.Quiet},
		{bad: 20, want: burn.Now},
		{bad: 20, age: 20 * time.Minute, want: burn.Today},
		{bad: 20, age: 2 * time.Hour, want: burn.Quiet},
	}
	for _, c := range cases {
		now := start
		m := newMetrics(&now)
		for range c.bad {
			m.RecordRequest(refusedResult(refusal.CodeNoTarget))
		}
		now = now.Add(c.age)
		m.RecordRequest(answeredResult(time.Millisecond))
		scraper := burn.Scraper{Timeout: 10 * time.Second}
		r := burn.NewReport(now, scraper.Scrape(context.Background(), []burn.Source{serve(t, m, "a")}))
		for _, row := range r.Rows {
			if row.Objective == burn.Answered && row.Urgency != c.want {
				t.Errorf("%+v: urgency %s in %+v", c, row.Urgency, row)
			}
		}
	}
}

// TestExcessTeamsShareOneLabel checks that 2000 teams give 501 series: 500 for the
// first teams, and one for all others.
func TestExcessTeamsShareOneLabel(t *testing.T) {
	now := start
	m := newMetrics(&now)
	for i := range 2000 {
		r := answeredResult(time.Millisecond)
		r.Team = fmt.Sprint("team", i)
		m.RecordRequest(r)
	}
	if n := testutil.CollectAndCount(m.Registry(), "heatherrelay_requests_total"); n != 501 {
		t.Errorf("%d series of requests, want 501", n)
	}
}
