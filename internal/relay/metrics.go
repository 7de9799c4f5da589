package relay

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// observe registers the counts that the parts keep themselves.
func (r *Relay) observe() {
	count := func(name, help string, value func() uint64) {
		r.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value()) }))
	}
	load := func(c *atomic.Uint64) func() uint64 { return c.Load }
	count("heatherrelay_relay_adapter_loads_total", "Loads of adapters that engines accepted.", load(&r.holder.Loads))
	count("heatherrelay_relay_adapter_unloads_total", "Unloads of adapters that engines accepted.", load(&r.holder.Unloads))
	count("heatherrelay_relay_engine_reports_total", "Reports asked of engines.", load(&r.holder.Reports))
	count("heatherrelay_relay_target_connections_total", "New connections to targets.", load(&r.client.Dials))
	if r.Platform.StoreCalls != nil {
		count("heatherrelay_relay_store_calls_total", "Calls to the platform's store.", r.Platform.StoreCalls)
	}
}
