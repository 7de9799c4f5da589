package gatewayinstance

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/liveness"
)

// registerMetrics registers the metrics whose values the components count
// themselves.
func (i *Instance) registerMetrics() {
	registerCounter := func(name, help string, value func() uint64) {
		i.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value()) }))
	}
	load := func(c *atomic.Uint64) func() uint64 { return c.Load }
	registerCounter("heatherrelay_relay_adapter_loads_total", "Loads of adapters that engines accepted.", load(&i.holder.Loads))
	registerCounter("heatherrelay_relay_adapter_unloads_total", "Unloads of adapters that engines accepted.", load(&i.holder.Unloads))
	registerCounter("heatherrelay_relay_engine_reports_total", "Reports asked of engines.", load(&i.holder.Reports))
	registerCounter("heatherrelay_relay_target_connections_total", "New connections to targets.", load(&i.client.Dials))
	registerCounter("heatherrelay_relay_processes_asked_total", "Connections on which targets were asked which of their processes they are.", load(&i.client.Identifications))
	registerCounter("heatherrelay_relay_answers_skipped_total", "Answers of targets that belong to no request under way.", load(&i.client.Skipped))
	lookups := &i.network.OriginLookups
	registerCounter("heatherrelay_gateway_origins_in_memory_total", "Resumed streams whose origin this instance held.", load(&lookups.InMemory))
	registerCounter("heatherrelay_gateway_origins_at_peers_total", "Resumed streams whose origin another instance held.", load(&lookups.AtPeer))
	registerCounter("heatherrelay_gateway_origins_in_store_total", "Resumed streams whose origin was read from the store.", load(&lookups.InStore))
	registerCounter("heatherrelay_gateway_origins_unknown_total", "Resumed streams whose origin was not found.", load(&lookups.Unknown))
	registerCounter("heatherrelay_gateway_skipped_objects_total", "Objects of the store that were read and that nobody can use.", i.catalog.SkippedObjects)
	registerCounter("heatherrelay_gateway_bodies_given_up_total", "Bodies of clients that gave way to others for want of memory.", i.memory.Evicted)
	registerCounter("heatherrelay_gateway_closed_connections_total", "Connections of clients that were closed or not accepted since there were too many.", load(&i.server.ClosedConnections))
	registerCounter("heatherrelay_gateway_cut_clients_total", "Clients that were cut since they did not take their responses.", load(&i.server.CutClients))
	registerGauge := func(name, help string, value func() int) {
		i.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	registerGauge("heatherrelay_gateway_target_crashes", "Crashes of targets, seen by any instance, that count at present.", i.crashes.CrashCount)
	registerGauge("heatherrelay_gateway_blocked_prompt_parts", "Requests and parts of prompts that are refused since they crash targets.", i.crashes.BlockedCount)
	registerGauge("heatherrelay_gateway_memory_bytes", "Memory charged for bodies of requests and responses.", func() int { return int(i.memory.Used()) })
	registerGauge("heatherrelay_gateway_limited_targets", "Targets that state a limit of requests.", i.limits.LimitedCount)
	registerCounter("heatherrelay_gateway_prompt_cache_evictions_total", "Beginnings of prompts forgotten for want of room.", load(&i.promptCache.Evictions))
	registerGauge("heatherrelay_gateway_prompt_cache_entries", "Beginnings of prompts that are remembered.", i.promptCache.Len)
	if i.Platform.StoreCalls != nil {
		registerCounter("heatherrelay_relay_store_calls_total", "Calls to the platform's store.", i.Platform.StoreCalls)
	}
}

// countFindings registers the counter of the answers that ended with their connection, and
// returns a function that counts the finding on the target of one.
func (i *Instance) countFindings() func(liveness.Finding) {
	ends := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherrelay_gateway_unframed_ends_total", Help: "Answers that ended with their connection, by what was known of their target after that.",
	}, []string{"finding"})
	i.Registry.MustRegister(ends)
	for _, finding := range []liveness.Finding{liveness.Runs, liveness.Accepts, liveness.Unknown} {
		ends.WithLabelValues(string(finding))
	}
	return func(v liveness.Finding) { ends.WithLabelValues(string(v)).Inc() }
}
