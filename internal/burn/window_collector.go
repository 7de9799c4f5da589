package burn

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// tokensRequested is the objective label of the series that count tokens instead of
// requests; the report needs them to distinguish justified from unjustified refusals.
const tokensRequested Objective = "tokens_asked"

// Names of the metrics that the report reads.
const (
	windowEventsName   = namespace + "_window_events"
	windowCoveredName  = namespace + "_window_covered_seconds"
	objectiveShareName = namespace + "_objective_share"
	teamRateName       = namespace + "_team_rate_tokens_per_second"
	teamBurstName      = namespace + "_team_burst_tokens"
)

var (
	windowEvents = prometheus.NewDesc(windowEventsName,
		"Events over the last part of time that the window names, by objective.",
		[]string{"window", "team", "class", "objective", "good", "reason"}, nil)
	windowCovered = prometheus.NewDesc(windowCoveredName,
		"How much of a window this process has counted.", []string{"window"}, nil)
	objectiveShare = prometheus.NewDesc(objectiveShareName,
		"The share of good events that is promised.", []string{"class", "objective"}, nil)
	teamRate = prometheus.NewDesc(teamRateName,
		"A team's rate over all instances together.", []string{"team"}, nil)
	teamBurst = prometheus.NewDesc(teamBurstName,
		"A team's burst over all instances together.", []string{"team"}, nil)
)

// windowCollector exports the event counts over the windows, and the objectives and
// team limits with which the report compares them.
type windowCollector struct {
	metrics *Metrics
}

// Describe implements prometheus.Collector.
func (w *windowCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{windowEvents, windowCovered, objectiveShare, teamRate, teamBurst} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (w *windowCollector) Collect(metrics chan<- prometheus.Metric) {
	m := w.metrics
	now := m.now()
	m.counts.Each(now, func(s Series, win Window, n uint64) {
		metrics <- prometheus.MustNewConstMetric(windowEvents, prometheus.GaugeValue, float64(n),
			win.Name, s.Team, string(s.Class), string(s.Objective), strconv.FormatBool(s.Good), s.Reason)
	})
	for _, win := range Windows {
		metrics <- prometheus.MustNewConstMetric(windowCovered, prometheus.GaugeValue, m.counts.CoveredSpan(now, win).Seconds(), win.Name)
	}
	for class, goal := range m.Goals {
		for objective, share := range goal.Shares {
			metrics <- prometheus.MustNewConstMetric(objectiveShare, prometheus.GaugeValue, share, string(class), string(objective))
		}
	}
	w.collectTeams(metrics)
}

func (w *windowCollector) collectTeams(metrics chan<- prometheus.Metric) {
	if w.metrics.Gauges.Teams == nil {
		return
	}
	for i, t := range w.metrics.Gauges.Teams() {
		if i == maxTeams {
			return
		}
		metrics <- prometheus.MustNewConstMetric(teamRate, prometheus.GaugeValue, t.TokensPerSecond, t.Name)
		metrics <- prometheus.MustNewConstMetric(teamBurst, prometheus.GaugeValue, t.BurstTokens, t.Name)
	}
}
