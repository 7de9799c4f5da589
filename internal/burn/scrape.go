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

	"heatherrelay/pkg/release"
)

const (
	// scrapesAtOnce bounds the instances that are read at the same time.
	scrapesAtOnce   = 32
	maxMetricsBytes = 64 << 20
	// metricsPath is where an instance's endpoint serves its metrics.
	metricsPath = "/metrics"
)

// Source is an instance to read from.
type Source struct {
	Instance string         `json:"instance"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
}

// Sample is what one instance has counted. Error is set when it could not be
// read, and then nothing else is.
type Sample struct {
	Source
	Error   string
	Events  []Events
	Covered map[string]time.Duration
	Shares  map[Promise]float64
	Rates   map[string]Rate
}

// Events is the number of events of a series in a window.
type Events struct {
	Series
	Window string
	Count  float64
}

// Promise names an objective of a class.
type Promise struct {
	Class     release.Class
	Objective Objective
}

// Rate is what a team may use over all instances together.
type Rate struct {
	TokensPerSecond float64
	BurstTokens     float64
}

// Collector reads the metrics of instances.
type Collector struct {
	// Timeout bounds the reading of one instance.
	Timeout time.Duration
}

// Collect reads all sources, and returns a sample for each in the same order.
func (c *Collector) Collect(ctx context.Context, sources []Source) []Sample {
	samples := make([]Sample, len(sources))
	readers := pool.New().WithMaxGoroutines(scrapesAtOnce)
	for i, source := range sources {
		readers.Go(func() {
			sample, err := c.read(ctx, source)
			if err != nil {
				sample = Sample{Source: source, Error: err.Error()}
			}
			samples[i] = sample
		})
	}
	readers.Wait()
	return samples
}

func (c *Collector) read(ctx context.Context, source Source) (Sample, error) {
	if err := ctx.Err(); err != nil {
		return Sample{}, ErrScrape.Wrap(err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + source.Address.String() + metricsPath)
	request.SetConnectionClose()
	client := fasthttp.Client{MaxResponseBodySize: maxMetricsBytes}
	if err := client.DoTimeout(request, response, c.Timeout); err != nil {
		return Sample{}, ErrScrape.Wrap(err)
	}
	if status := response.StatusCode(); status != http.StatusOK {
		return Sample{}, ErrScrape.New("status %d", status)
	}
	return ParseSample(source, response.Body())
}

// ParseSample reads metrics in the text format.
func ParseSample(source Source, text []byte) (Sample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return Sample{}, ErrScrape.Wrap(err)
	}
	s := Sample{Source: source, Covered: map[string]time.Duration{}, Shares: map[Promise]float64{}, Rates: map[string]Rate{}}
	for _, m := range families[windowEventsName].GetMetric() {
		s.Events = append(s.Events, eventsOf(m))
	}
	for _, m := range families[windowCoveredName].GetMetric() {
		s.Covered[label(m, "window")] = time.Duration(m.GetGauge().GetValue() * float64(time.Second))
	}
	for _, m := range families[objectiveShareName].GetMetric() {
		s.Shares[Promise{Class: release.Class(label(m, "class")), Objective: Objective(label(m, "objective"))}] = m.GetGauge().GetValue()
	}
	for _, m := range families[teamRateName].GetMetric() {
		s.Rates[label(m, "team")] = Rate{TokensPerSecond: m.GetGauge().GetValue()}
	}
	for _, m := range families[teamBurstName].GetMetric() {
		rate := s.Rates[label(m, "team")]
		rate.BurstTokens = m.GetGauge().GetValue()
		s.Rates[label(m, "team")] = rate
	}
	return s, nil
}

func eventsOf(m *dto.Metric) Events {
	good, _ := strconv.ParseBool(label(m, "good"))
	return Events{
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

func label(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
