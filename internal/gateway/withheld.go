package gateway

import (
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/evacuation"
)

// withheldRetry is when a client is to come back whose request only targets in evacuated
// zones, or in none of its regions, could take. Both last until the operators end them.
const withheldRetry = time.Second

// outsideRegions is why a target is left out that is in none of the request's regions.
const outsideRegions = "region"

// withheld leaves out the targets of a choice that may not get the request whatever their
// load, since their zone is evacuated or in no region in which the request may run.
type withheld struct {
	regions  deployment.Regions
	regionOf map[string]string
	status   func(zone string) evacuation.Status
	// causes holds why targets of a zone were left out.
	causes map[string]string
}

func (e *exchange) newWithheld() *withheld {
	return &withheld{regions: e.regions(), regionOf: e.server.RegionOf, status: e.server.Evacuations.Statuses(), causes: map[string]string{}}
}

// regions returns the regions in which the request may run.
func (e *exchange) regions() deployment.Regions {
	if e.team == nil {
		return e.route.Regions
	}
	return e.route.Regions.And(e.team.Regions)
}

// skips reports whether a target is left out.
func (w *withheld) skips(t deployment.Target) bool {
	if !w.regions.Allows(w.regionOf[t.Zone]) {
		w.causes[t.Zone] = outsideRegions
		return true
	}
	status := w.status(t.Zone)
	if status == evacuation.Open {
		return false
	}
	w.causes[t.Zone] = string(status)
	return true
}

// retryAfter returns when a client should come back for a target that is left out: after the
// given delay if this instance will soon know that it may be used.
func (w *withheld) retryAfter(t deployment.Target, delay time.Duration) time.Duration {
	if w.causes[t.Zone] == string(evacuation.Unconfirmed) {
		return delay
	}
	return withheldRetry
}

// recordWithheld counts the zones whose targets were left out of a choice, and notes them in
// the trace if no candidate is left.
func (e *exchange) recordWithheld(w *withheld, candidates int) {
	for zone, cause := range w.causes {
		e.server.Metrics.countWithheld(zone, cause)
		if candidates == 0 {
			e.recordStep("select", "", zone+" "+cause)
		}
	}
}

// stillOpen reports whether the current target may still get requests: its zone may have been
// evacuated while the request waited for its adapter or for other prompts.
func (e *exchange) stillOpen() bool {
	status := e.server.Evacuations.Status(e.target.Zone)
	if status == evacuation.Open {
		return true
	}
	e.server.Metrics.countWithheld(e.target.Zone, string(status))
	e.recordStep("select", e.target.ID, string(status))
	return false
}
