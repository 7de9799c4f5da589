package deployment_test

import (
	"testing"

	"heatherrelay/internal/deployment"
)

// TestUrgentStreamsRunOnce checks that a service counts as one whose urgent streams run once
// by its most urgent streaming routes alone, also those that share it with another service.
func TestUrgentStreamsRunOnce(t *testing.T) {
	stream := func(priority, attempts int, resumable bool, services ...string) deployment.Route {
		r := deployment.Route{Kind: deployment.Streaming, Priority: priority, MaxAttempts: attempts, Resumable: resumable}
		for _, s := range services {
			r.Backends = append(r.Backends, deployment.Backend{Service: s, Weight: 1})
		}
		return r
	}
	for name, c := range map[string]struct {
		routes []deployment.Route
		want   bool
	}{
		"no stream":                    {[]deployment.Route{{Kind: deployment.NonIdempotent, MaxAttempts: 1, Backends: []deployment.Backend{{Service: "a"}}}}, false},
		"urgent one runs once":         {[]deployment.Route{stream(0, 1, false, "a"), stream(2, 2, true, "a")}, true},
		"urgent one is resumable":      {[]deployment.Route{stream(0, 2, true, "a"), stream(1, 1, false, "a")}, false},
		"one of two urgent runs once":  {[]deployment.Route{stream(1, 2, true, "a"), stream(1, 1, false, "a")}, true},
		"urgent one of a split route":  {[]deployment.Route{stream(0, 1, false, "b", "a"), stream(1, 2, true, "a")}, true},
		"urgent one is tried twice":    {[]deployment.Route{stream(0, 2, false, "a")}, false},
		"urgent one of another server": {[]deployment.Route{stream(0, 1, false, "b"), stream(1, 2, true, "a")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := &deployment.Configuration{Routes: c.routes}
			configuration.Index()
			if got := configuration.UrgentStreamsRunOnce("a"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
