// Package deployment holds what an instance believes about the system that it
// serves: routes, services, teams and their keys, targets, adapter versions.
package deployment

import (
	"crypto/sha256"
	"strings"
	"time"
)

// RepeatKind says how often one attempt of a client may run.
type RepeatKind string

// The kinds of routes.
const (
	Idempotent    RepeatKind = "idempotent"
	NonIdempotent RepeatKind = "non_idempotent"
	Streaming     RepeatKind = "streaming"
)

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RepeatKind
	// Timeout bounds the whole answer; zero has no bound.
	Timeout time.Duration
	// Objective is the latency that an answer, or a stream's first event, should keep.
	Objective time.Duration
	// GapObjective is the longest pause between events that is still on time.
	GapObjective time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
	Backends []Backend
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another target after their last event.
	Resumable bool
}

// Repeatable says whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend is a service that takes a part of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Model is a base model that a service's engines can load.
type Model struct {
	Name            string
	WeightsMB       float64
	LoadTime        time.Duration
	AdapterWeightMB float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the size of the KV cache.
	MemoryTokens int
	Models       []Model
	// WeightsMB bounds base models and adapters that an engine holds together.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads of base models over all engines.
	LoadsPerSecond float64
}

// Model returns a base model by its name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of targets that do the same work.
type Service struct {
	Name           string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a customer with keys and an allowance.
type Team struct {
	Name string
	// Priority goes before the route's when it is set.
	Priority *int
	// CountsTokens says that the allowance is in tokens, else in requests.
	CountsTokens bool
	// PlainTokens is what a request counts that states no tokens.
	PlainTokens   float64
	RatePerSecond float64
	Burst         float64
}

// Unlimited says that the team has no allowance to keep.
func (t *Team) Unlimited() bool { return t.RatePerSecond <= 0 && t.Burst <= 0 }

// KeyHash stands in for a key, so that keys are neither compared byte by byte
// nor kept longer than a configuration.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Configuration is one accepted version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Teams    []*Team
	// TeamByKey maps each key in force to its team.
	TeamByKey map[KeyHash]*Team
	// MaxBodyBytes bounds a client's body.
	MaxBodyBytes int

	byHost map[string][]*Route
}

// Index prepares the look-ups. Call it once, after the fields are set.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

// Route returns the route of a host with the longest prefix that begins the
// path, or nil.
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

// NeedsKeys says whether routes that are not anonymous ask for a key.
func (c *Configuration) NeedsKeys() bool { return len(c.Teams) > 0 }
