package gateway

import (
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/evacuation"
)

// withheldRetry is when a client is to come back whose request only targets in evacuated
// zones, or in none of its regions, could take. Both last until the operators end them.
const withheldRetry = time.Second

// The causes for which targets are left out, beside the status of their zone.
const (
	// causeRegion is that of targets outside the request's regions.
	causeRegion = "region"
	// causeLimit is that of targets whose limit, stated or that of a cold one, leaves this
	// instance no request at present.
	causeLimit = "limit"
	// causeUnavailable is that of targets that have stated that they leave, or that they take
	// no requests for a while.
	causeUnavailable = "unavailable"
)

// withheld leaves out the targets of a choice that may not get the request whatever their
// load, since their zone is evacuated or in no region in which the request may run. It notes
// these, and those without room in their limits.
type withheld struct {
	regions  deployment.Regions
	regionOf map[string]string
	status   func(zone string) evacuation.Status
	causes   map[withheldCause]bool
}

// withheldCause is why targets of a zone were left out.
type withheldCause struct{ zone, cause string }

func (e *exchange) newWithheld() *withheld {
	return &withheld{regions: e.regions(), regionOf: e.server.RegionOf, status: e.server.Evacuations.Statuses(), causes: map[withheldCause]bool{}}
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
		w.causes[withheldCause{t.Zone, causeRegion}] = true
		return true
	}
	status := w.status(t.Zone)
	if status == evacuation.Open {
		return false
	}
	w.causes[withheldCause{t.Zone, string(status)}] = true
	return true
}

// limits reports whether a target is left out for which this instance has to wait.
func (w *withheld) limits(t deployment.Target, wait time.Duration) bool {
	if wait > 0 {
		w.causes[withheldCause{t.Zone, causeLimit}] = true
	}
	return wait > 0
}

// retryAfter returns when a client should come back for a target of a zone that is left out:
// after the given delay if this instance will soon know that it may be used.
func (w *withheld) retryAfter(zone string, delay time.Duration) time.Duration {
	if w.status(zone) == evacuation.Unconfirmed {
		return delay
	}
	return withheldRetry
}

// recordWithheld counts the zones whose targets were left out of a choice, and notes them in
// the trace if no candidate is left.
func (e *exchange) recordWithheld(w *withheld, candidates int) {
	for c := range w.causes {
		e.server.Metrics.countWithheld(c.zone, c.cause)
		if candidates == 0 {
			e.recordStep("select", "", c.zone+" "+c.cause)
		}
	}
}

// Withheld returns why a target that was chosen is to get no requests at present; empty if it
// is. It may have left, asked for a pause, or be in a zone that was evacuated since.
func (s *Server) Withheld(t deployment.Target) string {
	if departure := s.Catalog.Departed(t); departure != "" {
		return string(departure)
	}
	if !s.Availability.Available(t) {
		return causeUnavailable
	}
	if status := s.Evacuations.Status(t.Zone); status != evacuation.Open {
		return string(status)
	}
	return ""
}

// stillUsable reports whether the current target may still get requests: the request may have
// waited for its adapter or for other prompts since the choice.
func (e *exchange) stillUsable() bool {
	reason := e.server.Withheld(e.target)
	if reason == "" {
		return true
	}
	e.server.Metrics.countWithheld(e.target.Zone, reason)
	e.recordStep("select", e.target.ID, reason)
	return false
}
