package gatewayinstance

import (
	"cmp"
	"math"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/speed"
)

// maxSlownessTargets bounds the targets whose slowness is a metric.
const maxSlownessTargets = 32

// assembleSpeeds creates the component that learns the speeds of targets. The server, the
// network and the catalog must exist.
func (i *Instance) assembleSpeeds() {
	i.speeds = &speed.Book{Now: clock.Now}
	if mode := i.Settings.Decisions.Speeds; mode == ModeAuto || mode == ModeOn {
		i.network.Speeds = i.speeds
	}
	i.server.Speeds, i.server.WeighSpeeds = i.speeds, i.Settings.Decisions.Speeds.For()
	i.prompts.Slowness = i.slowness
	i.Registry.MustRegister(&slownessCollector{instance: i})
}

// slowness returns how many times as long as usual a target takes; 1 if the speeds of its
// service are not weighed.
func (i *Instance) slowness(id deployment.TargetID) float64 {
	t, ok := i.catalog.Targets()[id]
	if !ok || !i.server.WeighSpeeds(i.catalog.Configuration(), t.Service) {
		return 1
	}
	return i.speeds.View(t.Service).Of(&t).Factor()
}

// slownessDescription describes the metric of a target's slowness.
var slownessDescription = prometheus.NewDesc("heatherrelay_gateway_target_slowness",
	"How many times as long as the median target of its service a target takes; those that differ most.", []string{"target"}, nil)

// slownessCollector reads the slowness of the targets that differ most from the others.
type slownessCollector struct{ instance *Instance }

// Describe sends the description of the metric.
func (c *slownessCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- slownessDescription
}

// Collect sends the metric of each target.
func (c *slownessCollector) Collect(metrics chan<- prometheus.Metric) {
	type entry struct {
		id       deployment.TargetID
		slowness float64
	}
	var entries []entry
	configuration := c.instance.catalog.Configuration()
	for id, t := range c.instance.catalog.Targets() {
		if c.instance.server.WeighSpeeds(configuration, t.Service) {
			entries = append(entries, entry{id, c.instance.speeds.View(t.Service).Of(&t).Factor()})
		}
	}
	difference := func(e entry) float64 { return math.Abs(math.Log(e.slowness)) }
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(difference(b), difference(a)), cmp.Compare(a.id, b.id))
	})
	for _, e := range entries[:min(len(entries), maxSlownessTargets)] {
		metrics <- prometheus.MustNewConstMetric(slownessDescription, prometheus.GaugeValue, e.slowness, string(e.id))
	}
}
