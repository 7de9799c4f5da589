package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherrelay/pkg/release"
)

// Urgency says how soon somebody should look.
type Urgency string

// The urgencies, by burn rates over two windows each, so that a short peak and an
// old one are both left out.
const (
	// Now: the budget of 3 days is gone within 5 hours at this rate.
	Now Urgency = "now"
	// Today: the budget of 3 days is gone within 12 hours at this rate.
	Today Urgency = "today"
	// Quiet: within the budget, or too few events to tell.
	Quiet Urgency = "quiet"
)

const (
	nowBurnRate   = 14.4
	todayBurnRate = 6
	// urgentBadEvents is the bad events of an hour below which nothing is urgent.
	urgentBadEvents = 10
)

// Report is how fast each team's objectives are used up over all instances.
type Report struct {
	At        time.Time        `json:"at"`
	Instances []InstanceStatus `json:"instances"`
	// CoveredSeconds is how far back the counts go at most.
	CoveredSeconds float64 `json:"covered_seconds"`
	// Rows are sorted by team, class and objective.
	Rows []Row `json:"rows"`
	// Fastest is the index in Rows of the objective that burns fastest; -1 for none.
	Fastest int `json:"fastest"`
}

// InstanceStatus says whether an instance's counts are in the report.
type InstanceStatus struct {
	Source
	// Error says why the instance could not be read; empty when it was.
	Error string `json:"error,omitempty"`
}

// Row is one objective of one team and route class.
type Row struct {
	Team      string        `json:"team"`
	Class     release.Class `json:"class"`
	Objective Objective     `json:"objective"`
	// PromisedShare is the share of good events that is promised.
	PromisedShare float64      `json:"promised_share"`
	Windows       []WindowBurn `json:"windows"`
	// BudgetLeft is the part of the longest window's budget that is left, as far
	// as the counts go back; below zero it is overdrawn.
	BudgetLeft float64  `json:"budget_left"`
	Urgency    Urgency  `json:"urgency"`
	Reasons    []Reason `json:"reasons,omitempty"`
}

// WindowBurn is the burn over one window. A rate of 1 uses the budget up exactly
// over the window.
type WindowBurn struct {
	Window string `json:"window"`
	// CoveredSeconds is how much of the window the counts span at most.
	CoveredSeconds float64 `json:"covered_seconds"`
	Good           float64 `json:"good"`
	Bad            float64 `json:"bad"`
	BurnRate       float64 `json:"burn_rate"`
	// Unknown says that the window says nothing about this objective.
	Unknown bool `json:"unknown,omitempty"`
}

// Reason is how many bad events of the last hour had one reason.
type Reason struct {
	Code  string  `json:"code"`
	Count float64 `json:"count"`
}

// rowKey names a row.
type rowKey struct {
	team      string
	class     release.Class
	objective Objective
}

// tally is the events of one row in one window.
type tally struct {
	good, bad        float64
	granted, refused float64
	reasons          map[string]float64
}

// NewReport computes the report from the samples of all instances. Events of
// instances that have gone are missing from it.
func NewReport(at time.Time, samples []Sample) Report {
	r := Report{At: at, Fastest: -1}
	totals := map[rowKey]map[string]*tally{}
	f := fleet{shares: map[Promise]float64{}, rates: map[string]Rate{}, covered: map[string]time.Duration{}}
	for _, s := range samples {
		r.Instances = append(r.Instances, InstanceStatus{Source: s.Source, Error: s.Error})
		f.add(s)
		for _, e := range s.Events {
			add(totals, e)
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

// add counts events into their row. Tokens count beside the requests that were
// refused for want of allowance.
func add(totals map[rowKey]map[string]*tally, e Events) {
	key := rowKey{team: e.Team, class: e.Class, objective: e.Objective}
	if e.Objective == tokensAsked {
		key.objective = RightlyRefused
	}
	if totals[key] == nil {
		totals[key] = map[string]*tally{}
	}
	t := totals[key][e.Window]
	if t == nil {
		t = &tally{reasons: map[string]float64{}}
		totals[key][e.Window] = t
	}
	switch {
	case e.Objective == tokensAsked && e.Good:
		t.granted += e.Count
	case e.Objective == tokensAsked:
		t.refused += e.Count
	case e.Good:
		t.good += e.Count
	default:
		t.bad += e.Count
		t.reasons[e.Reason] += e.Count
	}
}

// fleet is what the instances say of promises and rates.
type fleet struct {
	shares  map[Promise]float64
	rates   map[string]Rate
	covered map[string]time.Duration
}

// add takes the strictest promise, and the longest time covered.
func (f *fleet) add(s Sample) {
	for p, share := range s.Shares {
		f.shares[p] = max(f.shares[p], share)
	}
	for team, rate := range s.Rates {
		f.rates[team] = rate
	}
	for window, covered := range s.Covered {
		f.covered[window] = max(f.covered[window], covered)
	}
}

func (f *fleet) row(key rowKey, windows map[string]*tally) Row {
	row := Row{
		Team:          key.team,
		Class:         key.class,
		Objective:     key.objective,
		PromisedShare: f.shares[Promise{Class: key.class, Objective: key.objective}],
		BudgetLeft:    1,
	}
	for _, w := range Windows {
		t := windows[w.Name]
		if t == nil {
			t = &tally{}
		}
		row.Windows = append(row.Windows, f.burn(key, w, t, row.PromisedShare))
	}
	for _, w := range row.Windows {
		if !w.Unknown && w.Good+w.Bad > 0 {
			row.BudgetLeft = 1 - w.BurnRate*coveredPart(w)
		}
	}
	row.Urgency = urgency(row.Windows)
	if t := windows["1h"]; t != nil {
		row.Reasons = reasons(t.reasons)
	}
	return row
}

// burn computes one window. Refusals for want of allowance count as bad only as
// far as the whole fleet's use left tokens over; that can be told of the
// shortest window alone, and is the most that can have been wrongful.
func (f *fleet) burn(key rowKey, w Window, t *tally, promised float64) WindowBurn {
	b := WindowBurn{Window: w.Name, CoveredSeconds: f.covered[w.Name].Seconds(), Good: t.good, Bad: t.bad}
	if key.objective == RightlyRefused {
		if w.Name != Windows[0].Name {
			b.Unknown = true
			return b
		}
		wrongful := t.bad * wrongfulPart(f.rates[key.team], f.covered[w.Name], t)
		b.Good, b.Bad = t.good+t.bad-wrongful, wrongful
	}
	b.BurnRate = burnRate(b.Good, b.Bad, promised)
	return b
}

// coveredPart returns how much of a window was counted, as a part of 1.
func coveredPart(w WindowBurn) float64 {
	for _, window := range Windows {
		if window.Name == w.Window {
			return min(1, w.CoveredSeconds/window.Span.Seconds())
		}
	}
	return 1
}

// wrongfulPart returns the largest part of the refused tokens that the team's
// rate and burst would have covered.
func wrongfulPart(rate Rate, covered time.Duration, t *tally) float64 {
	if t.refused <= 0 {
		return 0
	}
	spare := rate.TokensPerSecond*covered.Seconds() + rate.BurstTokens - t.granted
	return min(1, max(0, spare/t.refused))
}

// burnRate is the share of bad events as a multiple of the share that is allowed.
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

func urgency(windows []WindowBurn) Urgency {
	rates, bad := map[string]float64{}, map[string]float64{}
	for _, w := range windows {
		rates[w.Window], bad[w.Window] = w.BurnRate, w.Bad
	}
	switch {
	case bad["1h"] < urgentBadEvents:
		return Quiet
	case rates["5m"] > nowBurnRate && rates["1h"] > nowBurnRate:
		return Now
	case rates["1h"] > todayBurnRate && rates["6h"] > todayBurnRate:
		return Today
	default:
		return Quiet
	}
}

func reasons(counts map[string]float64) []Reason {
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

// fastest returns the row with the highest burn rate over an hour, or over five
// minutes where that is all that is known.
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
