// Package deployment defines the system that an instance serves: routes,
// services, teams and their keys, targets, and adapter versions.
package deployment

import (
	"crypto/sha256"
	"strings"
	"time"
)

// RouteKind is the kind of a route's requests. It decides whether a request that
// may have run can be retried.
type RouteKind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "non_idempotent"
	// Streaming requests are answered with an event stream. They run once, except
	// on resumable routes.
	Streaming RouteKind = "streaming"
)

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout bounds the time to the complete answer; zero means no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which the answer, or the first event of a
	// stream, should arrive.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that still
	// meets the objective.
	GapObjective time.Duration
	// Priority ranks the route's requests; 0 is the highest priority.
	Priority int
	// Backends are the services that share the route's requests.
	Backends []Backend
	// MaxAttempts is how many targets may run one request. Attempts that are known
	// not to have run do not count.
	MaxAttempts int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable is set when another target can continue a broken stream after its
	// last event.
	Resumable bool
	// Regions are those in which the route's requests may run.
	Regions Regions
}

// Repeatable reports whether a request that may have run can be retried.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend is a service that receives a share of a route's requests, in proportion
// to its weight.
type Backend struct {
	Service string
	Weight  float64
}

// Model is a base model that a service's engines can load.
type Model struct {
	Name string
	// WeightsMB is the size of the base model's weights in MB.
	WeightsMB float64
	// LoadTime is how long an engine takes to load the base model.
	LoadTime time.Duration
	// AdapterWeightMB is the size of each of the model's adapters in MB.
	AdapterWeightMB float64
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	// Slots is how many requests an engine runs at the same time.
	Slots int
	// KVCacheTokens is the size of the KV cache in tokens.
	KVCacheTokens int
	Models        []Model
	// MaxWeightsMB bounds the total size, in MB, of the base models and adapters that
	// an engine holds.
	MaxWeightsMB float64
	// AdapterSlots is how many adapters an engine holds at the same time.
	AdapterSlots int
	// ModelLoadsPerSecond bounds the rate of base model loads of all engines together.
	ModelLoadsPerSecond float64
}

// Model returns the base model with the given name, and false if there is none.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int
	// ColdStart is how long a target is cold after its start, ColdPerSecond how many
	// requests a second a cold one tolerates; zero is unlimited.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine describes the service's engines. It is nil for a plain service, whose
	// targets serve no models.
	Engine *Engine
}

// Team is a customer with API keys and an allowance, which is a rate limit.
type Team struct {
	Name string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// CountsTokens is set when the allowance is in tokens; otherwise it is in
	// requests.
	CountsTokens bool
	// DefaultTokens is the cost, in tokens, of a request that states no token counts.
	DefaultTokens float64
	// RatePerSecond and Burst are the allowance, in tokens or requests.
	RatePerSecond float64
	Burst         float64
	// Regions are those in which the team's requests may run.
	Regions Regions
}

// Unlimited reports whether the team has no rate limit.
func (t *Team) Unlimited() bool { return t.RatePerSecond <= 0 && t.Burst <= 0 }

// KeyHash is the SHA-256 hash of an API key. Instances look up and keep hashes
// rather than keys, so that the time of a look-up does not depend on the bytes of
// a key, and so that keys do not stay in memory.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Configuration is one accepted version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Teams    []*Team
	// TeamByKey maps the hash of each valid key to its team.
	TeamByKey map[KeyHash]*Team
	// MaxBodyBytes is the largest request body that is accepted; zero means no limit.
	MaxBodyBytes int

	// byHost and runOnce are built by Index.
	byHost  map[string][]*Route
	runOnce map[string]bool
}

// Index builds the index that Route uses. Call it once, after the fields are set
// and before the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.runOnce = c.urgentRunOnce()
}

// urgentRunOnce returns the services whose most urgent streaming routes have one that is
// tried once and is not resumable.
func (c *Configuration) urgentRunOnce() map[string]bool {
	urgent := map[string]int{}
	runOnce := map[string]bool{}
	for _, r := range c.Routes {
		if r.Kind != Streaming {
			continue
		}
		once := !r.Resumable && r.MaxAttempts <= 1
		for _, b := range r.Backends {
			priority, known := urgent[b.Service]
			switch {
			case !known || r.Priority < priority:
				urgent[b.Service], runOnce[b.Service] = r.Priority, once
			case r.Priority == priority:
				runOnce[b.Service] = runOnce[b.Service] || once
			}
		}
	}
	return runOnce
}

// UrgentStreamsRunOnce reports whether, of the most urgent streaming routes to a service,
// one is tried once and is not resumable: what becomes of its requests is decided with the
// first choice of a target.
func (c *Configuration) UrgentStreamsRunOnce(service string) bool { return c.runOnce[service] }

// Route returns the route of a host whose path prefix is the longest that matches
// path, or nil. The case of host and a port in it are ignored.
func (c *Configuration) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// NeedsKeys reports whether routes that are not anonymous require a key, which is
// so as soon as the configuration has teams.
func (c *Configuration) NeedsKeys() bool { return len(c.Teams) > 0 }
