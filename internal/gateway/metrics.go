package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/refusal"
)

// Metrics holds the metrics of the gateway.
type Metrics struct {
	inFlight atomic.Int64

	responses    *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	breaks       *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	cacheChoices *prometheus.CounterVec
	cachedTokens prometheus.Counter
	firstEvent   prometheus.Histogram
	responseTime prometheus.Histogram
	loadWait     prometheus.Histogram
	withheld     *prometheus.CounterVec
	startRatio   prometheus.Summary
	assignments  *prometheus.CounterVec
	promptDelay  prometheus.Histogram

	// admissions counts the decisions on requests that compete for engines.
	admissions    *prometheus.CounterVec
	admissionWait *prometheus.HistogramVec
	returns       *prometheus.CounterVec
}

// latencyBuckets are the bucket bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 20}

// NewMetrics returns the gateway's metrics, registered with registry.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_answers_total", Help: "Answers of targets passed on, by status.",
		}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_refusals_total", Help: "Requests refused by this instance, by code.",
		}, []string{"code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_sends_total", Help: "Requests sent to targets, by outcome.",
		}, []string{"outcome"}),
		breaks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_stream_breaks_total", Help: "Streams of targets that ended early, by reason.",
		}, []string{"reason"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_hedges_total", Help: "Attempts beside a silent target, by outcome.",
		}, []string{"outcome"}),
		cacheChoices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_prompt_cache_choices_total", Help: "Engines chosen, by whether they are expected to hold the beginning of the prompt.",
		}, []string{"outcome"}),
		cachedTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_prompt_cached_tokens_total", Help: "Prompt tokens that the chosen engines are known to hold still.",
		}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets,
		}),
		responseTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_answer_seconds", Help: "Time to the end of an answer.", Buckets: latencyBuckets,
		}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_withheld_total", Help: "Choices of a target that left out targets of a zone, by cause.",
		}, []string{"zone", "cause"}),
		loadWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_load_wait_seconds", Help: "Time that a request waited for its adapter.", Buckets: latencyBuckets,
		}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_admissions_total", Help: "Decisions on requests that compete for engines, by rank, action and cause.",
		}, []string{"rank", "action", "cause"}),
		admissionWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_admission_wait_seconds", Help: "Time that a request waited at this instance for room at an engine, by rank.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_returns_total", Help: "Refused requests that came back to this instance, by rank and by whether they were due or early.",
		}, []string{"rank", "kind"}),
	}
	m.assignments = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherrelay_gateway_prompt_assignments_total", Help: "Prompts by who chose their engine: the holder of this zone's lease, that of another zone, or this instance, as no holder did.",
	}, []string{"by"})
	m.promptDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "heatherrelay_gateway_prompt_delay_seconds", Help: "Time for which assigned prompts are held back.", Buckets: latencyBuckets,
	})
	m.startRatio = prometheus.NewSummary(prometheus.SummaryOpts{
		Name: "heatherrelay_gateway_start_ratio", Help: "Time that a target took to start, or for a response, as a multiple of the expected time.",
		Objectives: map[float64]float64{0.1: 0.02, 0.5: 0.02, 0.9: 0.01, 0.99: 0.001},
	})
	inFlight := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heatherrelay_gateway_requests_underway", Help: "Requests that are being answered.",
	}, func() float64 { return float64(m.inFlight.Load()) })
	registry.MustRegister(m.responses, m.refusals, m.attempts, m.breaks, m.hedges, m.firstEvent, m.responseTime, m.loadWait, m.withheld, m.cacheChoices, m.cachedTokens, m.startRatio, m.assignments, m.promptDelay, m.admissions, m.admissionWait, m.returns, inFlight)
	return m
}

func (m *Metrics) countRefusal(code refusal.Code) { m.refusals.WithLabelValues(string(code)).Inc() }

// observeResponse records a forwarded response and the time since its request
// arrived.
func (m *Metrics) observeResponse(status int, elapsed time.Duration) {
	m.responses.WithLabelValues(strconv.Itoa(status)).Inc()
	m.responseTime.Observe(elapsed.Seconds())
}

func (m *Metrics) countBreak(reason breakReason) { m.breaks.WithLabelValues(string(reason)).Inc() }

func (m *Metrics) countAssignment(by string) { m.assignments.WithLabelValues(by).Inc() }

func (m *Metrics) countWithheld(zone, cause string) { m.withheld.WithLabelValues(zone, cause).Inc() }

func (m *Metrics) countHedge(outcome string) { m.hedges.WithLabelValues(outcome).Inc() }

func (m *Metrics) countCacheChoice(outcome cacheOutcome, tokens int) {
	m.cacheChoices.WithLabelValues(string(outcome)).Inc()
	m.cachedTokens.Add(float64(tokens))
}

func (m *Metrics) countAttempt(outcome string) { m.attempts.WithLabelValues(outcome).Inc() }
