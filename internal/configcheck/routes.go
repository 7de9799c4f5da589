package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"heatherrelay/internal/deployment"
)

// address is what a request must have for a route.
type address struct{ host, prefix string }

// checkRoutes checks that each route can match and be served, and that its limits agree.
func (c *checker) checkRoutes() {
	seen := map[address]*Route{}
	names := map[string]*Route{}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		a := address{strings.ToLower(r.Host), r.PathPrefix}
		if first, ok := seen[a]; ok {
			c.add(SeverityError, "shadowed_route", r.Place, fmt.Sprintf("never matches: %s has the same host and prefix", first.Path))
		} else {
			seen[a] = r
		}
		if first, ok := names[r.Name]; ok {
			c.add(SeverityWarning, "repeated_name", r.Place, fmt.Sprintf("has the name %q of %s", r.Name, first.Path))
		} else {
			names[r.Name] = r
		}
		c.checkAddress(r)
		c.checkBackends(r)
		c.checkRouteLimits(r)
		c.checkAttempts(r)
	}
}

func (c *checker) checkAddress(r *Route) {
	if r.Host == "" || strings.Contains(r.Host, ":") {
		c.add(SeverityError, "unmatched_route", r.Place, fmt.Sprintf("never matches: the host is %q, it must be a name without a port", r.Host))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(SeverityError, "unmatched_route", r.Place, fmt.Sprintf("the prefix %q must begin and end with a slash", r.PathPrefix))
	}
	if !slices.Contains([]deployment.RouteKind{deployment.Idempotent, deployment.NonIdempotent, deployment.Streaming}, r.Kind) {
		c.add(SeverityError, "unknown_kind", r.Place, fmt.Sprintf("has the unknown kind %q", r.Kind))
	}
	keys := 0
	for _, t := range c.draft.Teams {
		keys += len(t.Keys)
	}
	if !r.Anonymous && len(c.draft.Teams) > 0 && keys == 0 {
		c.add(SeverityError, "unmatched_route", r.Place, "requires a key, but no team has one")
	}
}

// checkBackends checks that a service can take the route's requests.
func (c *checker) checkBackends(r *Route) {
	total := 0.0
	seen := map[string]bool{}
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
		switch targets, known := c.draft.Targets[b.Service]; {
		case !c.draft.defines(b.Service):
			c.add(SeverityError, "unknown_service", r.Place, fmt.Sprintf("sends to service %q, which is not defined", b.Service))
		case c.draft.Targets != nil && (!known || targets == 0):
			c.add(SeverityError, "no_targets", r.Place, fmt.Sprintf("sends to service %q, which has no targets", b.Service))
		case b.Weight < 0:
			c.add(SeverityError, "negative_weight", r.Place, fmt.Sprintf("gives service %q the weight %v", b.Service, b.Weight))
		case seen[b.Service]:
			c.add(SeverityWarning, "repeated_service", r.Place, fmt.Sprintf("lists service %q twice", b.Service))
		}
		seen[b.Service] = true
	}
	switch {
	case len(r.Backends) == 0:
		c.add(SeverityError, "unserved_route", r.Place, "names no service")
	case total == 0:
		c.add(SeverityError, "unserved_route", r.Place, "gives no service a weight above 0")
	}
}

// checkRouteLimits checks that the objectives can be met within the timeout.
func (c *checker) checkRouteLimits(r *Route) {
	if r.Timeout < 0 || r.LatencyObjective < 0 || r.GapObjective < 0 {
		c.add(SeverityError, "negative_limit", r.Place, "has a negative time")
	}
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		c.add(SeverityError, "objective_over_timeout", r.Place, fmt.Sprintf("wants an answer within %s, but ends requests after %s", r.LatencyObjective, r.Timeout))
	}
	if r.Timeout > 0 && r.GapObjective > r.Timeout {
		c.add(SeverityError, "pause_over_timeout", r.Place, fmt.Sprintf("allows pauses of %s, but ends requests after %s", r.GapObjective, r.Timeout))
	}
	if r.GapObjective > 0 && r.Kind != deployment.Streaming {
		c.add(SeverityWarning, "pause_without_stream", r.Place, fmt.Sprintf("limits pauses, but %s answers are no streams", r.Kind))
	}
	if r.Resumable && r.Kind != deployment.Streaming {
		c.add(SeverityError, "resumable_without_stream", r.Place, fmt.Sprintf("is resumable, but %s answers are no streams", r.Kind))
	}
}

// checkAttempts checks the number of attempts against what may be repeated.
func (c *checker) checkAttempts(r *Route) {
	switch {
	case r.StatedAttempts < 1:
		c.add(SeverityWarning, "attempts", r.Place, fmt.Sprintf("states %d attempts, one is made", r.StatedAttempts))
	case r.StatedAttempts > 1 && !r.Repeatable():
		c.add(SeverityWarning, "attempts", r.Place, fmt.Sprintf("states %d attempts, but its requests may not be repeated", r.StatedAttempts))
	case r.StatedAttempts == 1 && r.Kind == deployment.Streaming && r.Resumable:
		c.add(SeverityWarning, "attempts", r.Place, "is resumable, but no second target may be tried")
	}
}
