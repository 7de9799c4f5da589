package gatewayinstance

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/evacuation"
)

// assembleEvacuations creates the component that knows the evacuated zones. The catalog must
// exist.
func (i *Instance) assembleEvacuations() {
	i.beats.Now = clock.Now
	i.beats.Beat()
	i.evacuations = &evacuation.Zones{
		Limit: i.Settings.EvacuationLimit.Duration, ConfirmedAt: i.catalog.EvacuationsConfirmedAt,
		WokeWithin: i.beats.WokeWithin, Now: clock.Now, Log: i.Log,
	}
	i.server.Evacuations = i.evacuations
	available := i.holder.Available
	i.holder.Available = func(t deployment.Target) bool {
		return i.evacuations.Allows(t.Zone) && (available == nil || available(t))
	}
	i.evacuatedZones = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "heatherrelay_gateway_evacuated_zone", Help: "1 for each zone whose evacuation is in force at this instance.",
	}, []string{"zone"})
	i.Registry.MustRegister(i.evacuatedZones)
}

// applyEvacuations takes over the evacuated zones after a change.
func (i *Instance) applyEvacuations(zones map[string]bool) {
	for _, zone := range i.evacuations.Apply(zones) {
		i.evacuatedZones.DeleteLabelValues(zone)
	}
	for zone := range zones {
		i.evacuatedZones.WithLabelValues(zone).Set(1)
	}
}
