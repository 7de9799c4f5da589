package gateway

import (
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/evacuation"
)

// withheldRetry is when a client is to come back whose request only targets in evacuated
// zones could take. An evacuation lasts as long as the operators want.
const withheldRetry = time.Second

// withheld leaves out the targets of a choice that get no requests since their zone is
// evacuated.
type withheld struct {
	status func(zone string) evacuation.Status
	// causes holds why targets of a zone were left out.
	causes map[string]evacuation.Status
}

func (s *Server) newWithheld() *withheld {
	return &withheld{status: s.Evacuations.Statuses(), causes: map[string]evacuation.Status{}}
}

// skips reports whether a target is left out.
func (w *withheld) skips(t deployment.Target) bool {
	status := w.status(t.Zone)
	if status == evacuation.Open {
		return false
	}
	w.causes[t.Zone] = status
	return true
}

// recordWithheld counts the zones whose targets were left out of a choice, and notes them in
// the trace if no candidate is left.
func (e *exchange) recordWithheld(w *withheld, candidates int) {
	for zone, cause := range w.causes {
		e.server.Metrics.countWithheld(zone, string(cause))
		if candidates == 0 {
			e.recordStep("select", "", zone+" "+string(cause))
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
