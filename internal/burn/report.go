package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherrelay/pkg/release"
)

// Urgency is how soon an operator should look at a row.
type Urgency string

// The urgencies. Now and Today each require a high burn rate over two windows: the
// longer one excludes a short peak, the shorter one a peak that is already over.
const (
	// Now: at this rate the error budget of 3 days is used up within 5 hours.
	Now Urgency = "now"
	// Today: at this rate the error budget of 3 days is used up within 12 hours.
	Today Urgency = "today"
	// Quiet: the burn rate is lower, or there are too few bad events to classify it.
	Quiet Urgency = "quiet"
)

const (
	nowBurnRate   = 14.4
	todayBurnRate = 6
	// minUrgentBadEvents is the number of bad events in an hour below which a row
	// is Quiet.
	minUrgentBadEvents = 10
)

// Report holds the burn rates of each team's objectives over all instances.
type Report struct {
	At        time.Time        `json:"at"`
	Instances []InstanceStatus `json:"instances"`
	// CoveredSeconds is how far back the counts of any instance go.
	CoveredSeconds float64 `json:"covered_seconds"`
	// Rows are sorted by team, class and objective.
	Rows []Row `json:"rows"`
	// Fastest is the index in Rows of the objective with the highest burn rate; -1
	// if no budget is being used.
	Fastest int `json:"fastest"`
}

// InstanceStatus reports whether an instance's counts are included in the report.
type InstanceStatus struct {
	Source
	// Error is the reason why the instance could not be read; empty if it was read.
	Error string `json:"error,omitempty"`
}

// Row is one objective of one team and route class.
type Row struct {
	Team      string        `json:"team"`
	Class     release.Class `json:"class"`
	Objective Objective     `json:"objective"`
	// PromisedShare is the promised share of good events, between 0 and 1.
	PromisedShare float64      `json:"promised_share"`
	Windows       []WindowBurn `json:"windows"`
	// BudgetLeft is the unused fraction of the error budget of the longest window
	// with events, as far back as the counts go; negative when it is overdrawn.
	BudgetLeft float64  `json:"budget_left"`
	Urgency    Urgency  `json:"urgency"`
	Reasons    []Reason `json:"reasons,omitempty"`
}

// WindowBurn holds the event counts and the burn rate over one window. A burn rate
// of 1 uses up the error budget in exactly the span of the window.
type WindowBurn struct {
	Window string `json:"window"`
	// CoveredSeconds is the longest part of the window that any instance's counts
	// span.
	CoveredSeconds float64 `json:"covered_seconds"`
	Good           float64 `json:"good"`
	Bad            float64 `json:"bad"`
	BurnRate       float64 `json:"burn_rate"`
	// Unknown is set when the objective cannot be evaluated over this window.
	Unknown bool `json:"unknown,omitempty"`
}

// Reason is the number of bad events in the last hour with one reason.
type Reason struct {
	Code  string  `json:"code"`
	Count float64 `json:"count"`
}

// rowKey identifies a row.
type rowKey struct {
	team      string
	class     release.Class
	objective Objective
}

// windowTotals holds the events of one row in one window, summed over all instances.
type windowTotals struct {
	good, bad float64
	// granted and refused are the tokens granted and refused by the allowance; set
	// in the totals of JustifiedRefusals only.
	granted, refused float64
	reasons          map[string]float64
}

// NewReport computes the report from the samples of all instances. It lacks the
// events counted by processes that have ended since.
func NewReport(at time.Time, samples []InstanceSample) Report {
	r := Report{At: at, Fastest: -1}
	totals := map[rowKey]map[string]*windowTotals{}
	f := fleetInfo{shares: map[ObjectiveKey]float64{}, rates: map[string]TeamRate{}, covered: map[string]time.Duration{}}
	for _, s := range samples {
		r.Instances = append(r.Instances, InstanceStatus{Source: s.Source, Error: s.Error})
		f.merge(s)
		for _, e := range s.Events {
			addEvents(totals, e)
		}
	}
	r.CoveredSeconds = f.covered[Windows[len(Windows)-1].Name].Seconds()
	for key, windows := range totals {
		r.Rows = append(r.Rows, f.row(key, windows))
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(slices.Index(Objectives, a.Objective), slices.Index(Objectives, b.Objective)))
	})
	r.Fastest = fastest(r.Rows)
	return r
}

// addEvents adds events to the totals of their row. Counts of tokens go to the row of
// the objective JustifiedRefusals.
func addEvents(totals map[rowKey]map[string]*windowTotals, e SeriesCount) {
	key := rowKey{team: e.Team, class: e.Class, objective: e.Objective}
	if e.Objective == tokensRequested {
		key.objective = JustifiedRefusals
	}
	if totals[key] == nil {
		totals[key] = map[string]*windowTotals{}
	}
	t := totals[key][e.Window]
	if t == nil {
		t = &windowTotals{reasons: map[string]float64{}}
		totals[key][e.Window] = t
	}
	switch {
	case e.Objective == tokensRequested && e.Good:
		t.granted += e.Count
	case e.Objective == tokensRequested:
		t.refused += e.Count
	case e.Good:
		t.good += e.Count
	default:
		t.bad += e.Count
		t.reasons[e.Reason] += e.Count
	}
}

// fleetInfo merges what the instances report besides events: the promised shares,
// the rates of the teams, and how much of each window their counts span.
type fleetInfo struct {
	shares  map[ObjectiveKey]float64
	rates   map[string]TeamRate
	covered map[string]time.Duration
}

// merge keeps the highest promised share and the longest covered span; of the rates
// it keeps the last.
func (f *fleetInfo) merge(s InstanceSample) {
	for key, share := range s.Shares {
		f.shares[key] = max(f.shares[key], share)
	}
	for team, rate := range s.Rates {
		f.rates[team] = rate
	}
	for window, covered := range s.Covered {
		f.covered[window] = max(f.covered[window], covered)
	}
}

// row computes a row of the report from its totals by window.
func (f *fleetInfo) row(key rowKey, windows map[string]*windowTotals) Row {
	row := Row{
		Team:          key.team,
		Class:         key.class,
		Objective:     key.objective,
		PromisedShare: f.shares[ObjectiveKey{Class: key.class, Objective: key.objective}],
		BudgetLeft:    1,
	}
	for _, w := range Windows {
		t := windows[w.Name]
		if t == nil {
			t = &windowTotals{}
		}
		row.Windows = append(row.Windows, f.burn(key, w, t, row.PromisedShare))
	}
	for _, w := range row.Windows {
		if !w.Unknown && w.Good+w.Bad > 0 {
			row.BudgetLeft = 1 - w.BurnRate*coveredFraction(w)
		}
	}
	row.Urgency = urgency(row.Windows)
	if t := windows["1h"]; t != nil {
		row.Reasons = sortedReasons(t.reasons)
	}
	return row
}

// burn computes one window. Refusals for lack of allowance count as bad only up to
// the tokens that the whole fleet left unused in the window, which is an upper bound
// on the unjustified ones. The bound is meaningful for the shortest window only; the
// longer ones are Unknown.
func (f *fleetInfo) burn(key rowKey, w Window, t *windowTotals, promised float64) WindowBurn {
	b := WindowBurn{Window: w.Name, CoveredSeconds: f.covered[w.Name].Seconds(), Good: t.good, Bad: t.bad}
	if key.objective == JustifiedRefusals {
		if w.Name != Windows[0].Name {
			b.Unknown = true
			return b
		}
		unjustified := t.bad * unjustifiedFraction(f.rates[key.team], f.covered[w.Name], t)
		b.Good, b.Bad = t.good+t.bad-unjustified, unjustified
	}
	b.BurnRate = burnRate(b.Good, b.Bad, promised)
	return b
}

// coveredFraction returns the fraction of a window that the counts span.
func coveredFraction(w WindowBurn) float64 {
	for _, window := range Windows {
		if window.Name == w.Window {
			return min(1, w.CoveredSeconds/window.Span.Seconds())
		}
	}
	return 1
}

// unjustifiedFraction returns the largest fraction of the refused tokens that the
// team's rate and burst would still have admitted.
func unjustifiedFraction(rate TeamRate, covered time.Duration, t *windowTotals) float64 {
	if t.refused <= 0 {
		return 0
	}
	unused := rate.TokensPerSecond*covered.Seconds() + rate.BurstTokens - t.granted
	return min(1, max(0, unused/t.refused))
}

// burnRate returns the share of bad events as a multiple of the allowed share, which
// is 1 - promised.
func burnRate(good, bad, promised float64) float64 {
	if good+bad <= 0 || bad <= 0 {
		return 0
	}
	allowed := 1 - promised
	if allowed <= 0 {
		return math.MaxFloat64
	}
	return bad / (good + bad) / allowed
}

// urgency classifies a row by its burn rates; see the constants of Urgency.
func urgency(windows []WindowBurn) Urgency {
	rates, bad := map[string]float64{}, map[string]float64{}
	for _, w := range windows {
		rates[w.Window], bad[w.Window] = w.BurnRate, w.Bad
	}
	switch {
	case bad["1h"] < minUrgentBadEvents:
		return Quiet
	case rates["5m"] > nowBurnRate && rates["1h"] > nowBurnRate:
		return Now
	case rates["1h"] > todayBurnRate && rates["6h"] > todayBurnRate:
		return Today
	default:
		return Quiet
	}
}

// sortedReasons returns the reasons in descending order of their counts.
func sortedReasons(counts map[string]float64) []Reason {
	var list []Reason
	for code, n := range counts {
		if n > 0 {
			list = append(list, Reason{Code: code, Count: n})
		}
	}
	slices.SortFunc(list, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
	return list
}

// fastest returns the index of the row with the highest burn rate over five minutes
// or one hour, or -1 if no budget is being used. Longer windows are not considered.
func fastest(rows []Row) int {
	best, index := 0.0, -1
	for i, row := range rows {
		for _, w := range row.Windows[:2] {
			if !w.Unknown && w.BurnRate > best {
				best, index = w.BurnRate, i
			}
		}
	}
	return index
}
