package burn

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"heatherrelay/internal/connection"
	"heatherrelay/pkg/release"
)

const (
	// maxConcurrentScrapes is the maximum number of instances read at the same time.
	maxConcurrentScrapes = 32
	maxMetricsBytes      = 64 << 20
	// metricsPath is the path at which an Endpoint serves the metrics.
	metricsPath = "/metrics"
)

// Source identifies an instance whose metrics are read.
type Source struct {
	Instance string         `json:"instance"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
}

// InstanceSample holds the counts read from one instance. If it could not be read,
// only Source and Error are set.
type InstanceSample struct {
	Source
	Error  string
	Events []SeriesCount
	// Covered is how much of each window the counts span, by window name.
	Covered map[string]time.Duration
	// Shares is the promised share of good events.
	Shares map[ObjectiveKey]float64
	// Rates are the rates of the teams by name.
	Rates map[string]TeamRate
}

// SeriesCount is the number of events of a series in a window.
type SeriesCount struct {
	Series
	Window string
	Count  float64
}

// ObjectiveKey identifies an objective of a route class.
type ObjectiveKey struct {
	Class     release.Class
	Objective Objective
}

// TeamRate is the token rate and burst of a team, over all instances together.
type TeamRate struct {
	TokensPerSecond float64
	BurstTokens     float64
}

// Scraper reads the metrics of instances over HTTP.
type Scraper struct {
	// Timeout is the time limit for reading one instance.
	Timeout time.Duration
}

// Scrape reads all sources concurrently and returns one sample for each, in the
// same order. A source that cannot be read has Error set.
func (s *Scraper) Scrape(ctx context.Context, sources []Source) []InstanceSample {
	samples := make([]InstanceSample, len(sources))
	readers := pool.New().WithMaxGoroutines(maxConcurrentScrapes)
	for i, source := range sources {
		readers.Go(func() {
			sample, err := s.scrapeOne(ctx, source)
			if err != nil {
				sample = InstanceSample{Source: source, Error: err.Error()}
			}
			samples[i] = sample
		})
	}
	readers.Wait()
	return samples
}

func (s *Scraper) scrapeOne(ctx context.Context, source Source) (InstanceSample, error) {
	if err := ctx.Err(); err != nil {
		return InstanceSample{}, ErrScrape.Wrap(err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + source.Address.String() + metricsPath)
	request.SetConnectionClose()
	dialer := connection.Dialer{ConnectTimeout: s.Timeout}
	client := fasthttp.Client{MaxResponseBodySize: maxMetricsBytes, Dial: dialer.Dial}
	if err := client.DoTimeout(request, response, s.Timeout); err != nil {
		return InstanceSample{}, ErrScrape.Wrap(err)
	}
	if status := response.StatusCode(); status != http.StatusOK {
		return InstanceSample{}, ErrScrape.New("status %d", status)
	}
	return ParseMetrics(source, response.Body())
}

// ParseMetrics reads metrics in the text format.
func ParseMetrics(source Source, text []byte) (InstanceSample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return InstanceSample{}, ErrScrape.Wrap(err)
	}
	s := InstanceSample{Source: source, Covered: map[string]time.Duration{}, Shares: map[ObjectiveKey]float64{}, Rates: map[string]TeamRate{}}
	for _, m := range families[windowEventsName].GetMetric() {
		s.Events = append(s.Events, parseSeriesCount(m))
	}
	for _, m := range families[windowCoveredName].GetMetric() {
		s.Covered[label(m, "window")] = time.Duration(m.GetGauge().GetValue() * float64(time.Second))
	}
	for _, m := range families[objectiveShareName].GetMetric() {
		s.Shares[ObjectiveKey{Class: release.Class(label(m, "class")), Objective: Objective(label(m, "objective"))}] = m.GetGauge().GetValue()
	}
	for _, m := range families[teamRateName].GetMetric() {
		s.Rates[label(m, "team")] = TeamRate{TokensPerSecond: m.GetGauge().GetValue()}
	}
	for _, m := range families[teamBurstName].GetMetric() {
		rate := s.Rates[label(m, "team")]
		rate.BurstTokens = m.GetGauge().GetValue()
		s.Rates[label(m, "team")] = rate
	}
	return s, nil
}

func parseSeriesCount(m *dto.Metric) SeriesCount {
	good, _ := strconv.ParseBool(label(m, "good"))
	return SeriesCount{
		Series: Series{
			Team:      label(m, "team"),
			Class:     release.Class(label(m, "class")),
			Objective: Objective(label(m, "objective")),
			Good:      good,
			Reason:    label(m, "reason"),
		},
		Window: label(m, "window"),
		Count:  m.GetGauge().GetValue(),
	}
}

// label returns the value of a label of m, or "" if m lacks it.
func label(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
