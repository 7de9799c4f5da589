package gatewayinstance

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/warmup"
)

// assembleCold creates the component that knows the cold targets, and has the limiter keep the
// requests to these within their limit. The limiter and the evacuations must exist.
func (i *Instance) assembleCold() {
	if i.Settings.ColdOver <= 0 {
		return
	}
	i.cold = &warmup.Targets{Service: i.service, WokeWithin: i.beats.WokeWithin, Restarted: i.restarted, Now: clock.Now, Log: i.Log}
	i.limits.Cold, i.evacuations.OnEnd = i.coldLimit, i.cold.ZonesReturned
	i.Registry.MustRegister(coldTargets{i.cold})
}

// restarted reports whether the process that a target's entry names is known to have ended.
func (i *Instance) restarted(t deployment.Target) bool {
	_, crashed := i.crashes.LearnedAt(crash.Process{Target: t.ID, Generation: t.Generation})
	return crashed || i.server.Processes.Replaced(t)
}

// coldLimit returns the limit of a target that is cold, and false for one that is warm.
func (i *Instance) coldLimit(t deployment.Target) (throttle.ColdLimit, bool) {
	perSecond, cold := i.cold.PerSecond(t)
	return throttle.ColdLimit{PerSecond: perSecond, Most: perSecond*i.Settings.ColdOver + i.Settings.ColdSlack}, cold
}

// coldTargets is the metric of the cold targets of each zone.
type coldTargets struct{ *warmup.Targets }

var coldTargetsMetric = prometheus.NewDesc("heatherrelay_gateway_cold_targets", "Targets of a zone that are cold, so that requests to them are limited.", []string{"zone"}, nil)

// Describe implements prometheus.Collector.
func (c coldTargets) Describe(metrics chan<- *prometheus.Desc) { metrics <- coldTargetsMetric }

// Collect implements prometheus.Collector.
func (c coldTargets) Collect(metrics chan<- prometheus.Metric) {
	for zone, count := range c.ColdByZone() {
		metrics <- prometheus.MustNewConstMetric(coldTargetsMetric, prometheus.GaugeValue, float64(count), zone)
	}
}
