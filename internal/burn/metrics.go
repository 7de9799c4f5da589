package burn

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

const (
	namespace = "heatherrelay"
	// maxTeams is the maximum number of teams with their own label value.
	maxTeams = 500
	// answeredResult is the result label of requests that were answered completely.
	answeredResult = "answered"
)

// Result describes the outcome of one request.
type Result struct {
	Team  string
	Kind  release.RouteKind
	Class release.Class
	// Code is the refusal's code; empty when the caller got the complete answer.
	Code refusal.Code
	// Tokens is the number of tokens requested from the team's allowance.
	Tokens float64
	// FirstToken is the time from the request to the first token of its answer;
	// zero if there was none.
	FirstToken time.Duration
	// Duration is the time from the request to the end of its answer.
	Duration time.Duration
}

// Gauges holds the functions that are called when the metrics are read. A nil field
// omits its metric.
type Gauges struct {
	// ReleaseInForce is the number of the last release note applied.
	ReleaseInForce func() uint64
	// KeysConfirmedAge is the time since the withdrawals of keys were last
	// confirmed to be current.
	KeysConfirmedAge func() time.Duration
	// OwnedTargets is the number of targets that this instance owns.
	OwnedTargets func() int
	// QueuedTokens is the number of tokens of requests waiting for owned targets.
	QueuedTokens func() int
	// DroppedOutcomes is the number of pending writes and deletes of stored outcomes
	// of non-repeatable calls that were dropped.
	DroppedOutcomes func() uint64
	// Teams returns the teams of the current configuration, with their rates.
	Teams func() []release.Team
}

// Metrics holds the metrics of one instance. The number of label values is bounded:
// labels are classes, codes and at most maxTeams teams, never adapters or keys. Set
// the exported fields, then call Register before any other method.
type Metrics struct {
	Goals  Goals
	Gauges Gauges
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	registry *prometheus.Registry
	counts   Counts

	requests        *prometheus.CounterVec
	tokens          *prometheus.CounterVec
	requestDuration *prometheus.HistogramVec
	firstToken      *prometheus.HistogramVec
	queueWait       *prometheus.HistogramVec
	loadStalls      *prometheus.CounterVec
	loads           *prometheus.CounterVec
	loadDuration    prometheus.Histogram

	mu    sync.Mutex
	teams map[string]bool
}

// secondsBuckets are the upper bounds of the buckets of all histograms, in seconds.
var secondsBuckets = []float64{.005, .01, .025, .05, .1, .2, .42, .75, 1.5, 3, 6, 15, 30, 60, 120, 300}

// Register creates the metrics and their registry, and starts the window counts.
func (m *Metrics) Register() {
	m.counts.StartedAt = m.now()
	m.registry = prometheus.NewRegistry()
	m.requests = counter("requests_total", "Requests by how they ended: answered, or the code of the refusal.", "team", "kind", "class", "result")
	m.tokens = counter("requested_tokens_total", "Tokens that requests asked of their team's allowance, by whether it was granted.", "team", "result")
	m.requestDuration = histogram("request_duration_seconds", "Time from a request to the end of its answer.", "kind", "class")
	m.firstToken = histogram("first_token_seconds", "Time from a request to the first token of its answer.", "class")
	m.queueWait = histogram("queue_wait_seconds", "Time that a request waited for an owned target.", "class", "stalled")
	m.loadStalls = counter("load_stalls_total", "Requests to owned targets by whether they waited for a load.", "team", "class", "stalled")
	m.loads = counter("loads_total", "Load orders to owned targets by result.", "result")
	m.loadDuration = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "load_duration_seconds", Help: "Time that load orders took.", Buckets: secondsBuckets,
	})
	m.registry.MustRegister(m.requests, m.tokens, m.requestDuration, m.firstToken, m.queueWait, m.loadStalls, m.loads, m.loadDuration,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		&windowCollector{metrics: m})
	m.registerGauges()
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: secondsBuckets,
	}, labels)
}

// Registry returns the registry created by Register.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

func (m *Metrics) registerGauges() {
	g := m.Gauges
	if g.ReleaseInForce != nil {
		m.gauge("release_in_force", "Number of the last release note applied.", func() float64 { return float64(g.ReleaseInForce()) })
	}
	if g.KeysConfirmedAge != nil {
		m.gauge("keys_confirmed_age_seconds", "Time since withdrawals of keys were last known.", func() float64 { return g.KeysConfirmedAge().Seconds() })
	}
	if g.OwnedTargets != nil {
		m.gauge("owned_targets", "Targets that this instance owns.", func() float64 { return float64(g.OwnedTargets()) })
	}
	if g.QueuedTokens != nil {
		m.gauge("queued_tokens", "Tokens that wait for the owned targets.", func() float64 { return float64(g.QueuedTokens()) })
	}
	if g.DroppedOutcomes != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "outcomes_dropped_total", Help: "Outcomes of calls that may not be repeated which could not be kept.",
		}, func() float64 { return float64(g.DroppedOutcomes()) }))
	}
}

func (m *Metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

func (m *Metrics) now() time.Time {
	if m.Now != nil {
		return m.Now()
	}
	return time.Now()
}

// team returns the label value of a team: its name, or OtherTeam once maxTeams
// other teams have been seen.
func (m *Metrics) team(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.teams == nil {
		m.teams = map[string]bool{}
	}
	if !m.teams[name] {
		if len(m.teams) >= maxTeams {
			return OtherTeam
		}
		m.teams[name] = true
	}
	return name
}
