package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/refusal"
)

// Metrics counts what the gateway does.
type Metrics struct {
	underway atomic.Int64

	answers    *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	sends      *prometheus.CounterVec
	firstEvent prometheus.Histogram
	whole      prometheus.Histogram
	loadWait   prometheus.Histogram
}

// latencyBuckets are the bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 20}

// NewMetrics returns metrics that are registered.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_answers_total", Help: "Answers of targets passed on, by status.",
		}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_refusals_total", Help: "Requests refused by this instance, by code.",
		}, []string{"code"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherrelay_gateway_sends_total", Help: "Requests sent to targets, by outcome.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets,
		}),
		whole: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_answer_seconds", Help: "Time to the end of an answer.", Buckets: latencyBuckets,
		}),
		loadWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "heatherrelay_gateway_load_wait_seconds", Help: "Time that a request waited for its adapter.", Buckets: latencyBuckets,
		}),
	}
	underway := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heatherrelay_gateway_requests_underway", Help: "Requests that are being answered.",
	}, func() float64 { return float64(m.underway.Load()) })
	registry.MustRegister(m.answers, m.refusals, m.sends, m.firstEvent, m.whole, m.loadWait, underway)
	return m
}

func (m *Metrics) refused(code refusal.Code) { m.refusals.WithLabelValues(string(code)).Inc() }

func (m *Metrics) answered(status int, after time.Duration) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.whole.Observe(after.Seconds())
}

func (m *Metrics) sent(outcome string) { m.sends.WithLabelValues(outcome).Inc() }
