// Package release holds release notes: what operators add, change and withdraw,
// and the state that follows from applying notes in order.
package release

import "time"

// Class is a route's priority class.
type Class string

// The classes. Interactive requests go first; patient ones may wait and are not dropped.
const (
	Interactive Class = "interactive"
	Patient     Class = "patient"
)

// RouteKind tells model routes from routes to plain services.
type RouteKind string

// The kinds of routes.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Note is one release note: a delta against all earlier notes. An entry that
// exists already is replaced whole.
type Note struct {
	// Title says in a line what the note is for.
	Title    string    `toml:"title" json:"title,omitempty" validate:"max=200"`
	Adapters []Adapter `toml:"adapters" json:"adapters,omitempty" validate:"dive"`
	Teams    []Team    `toml:"teams" json:"teams,omitempty" validate:"dive"`
	Keys     []Key     `toml:"keys" json:"keys,omitempty" validate:"dive"`
	Routes   []Route   `toml:"routes" json:"routes,omitempty" validate:"dive"`
	Targets  []Target  `toml:"targets" json:"targets,omitempty" validate:"dive"`
	Withdraw Withdraw  `toml:"withdraw" json:"withdraw"`
}

// Withdraw names what a note takes away.
type Withdraw struct {
	// Adapters holds ids as name@version.
	Adapters []string `toml:"adapters" json:"adapters,omitempty" validate:"dive,required,max=200"`
	Teams    []string `toml:"teams" json:"teams,omitempty" validate:"dive,name"`
	// Keys holds key ids, never secrets.
	Keys    []string `toml:"keys" json:"keys,omitempty" validate:"dive,name"`
	Routes  []string `toml:"routes" json:"routes,omitempty" validate:"dive,name"`
	Targets []string `toml:"targets" json:"targets,omitempty" validate:"dive,name"`
}

// Adapter is one version of an adapter.
type Adapter struct {
	Name      string `toml:"name" json:"name" validate:"name"`
	Version   string `toml:"version" json:"version" validate:"name"`
	BaseModel string `toml:"base_model" json:"base_model" validate:"name"`
	// Teams that may use it; empty means every team.
	Teams []string `toml:"teams" json:"teams,omitempty" validate:"dive,name"`
}

// ID returns name@version.
func (a Adapter) ID() string { return a.Name + "@" + a.Version }

// Team is a tenant with its share.
type Team struct {
	Name string `toml:"name" json:"name" validate:"name"`
	// TokensPerSecond is the rate over all instances together.
	TokensPerSecond float64 `toml:"tokens_per_second" json:"tokens_per_second" validate:"gt=0,lte=1e12"`
	// BurstTokens is the most that may be spent at once.
	BurstTokens float64 `toml:"burst_tokens" json:"burst_tokens" validate:"gt=0,lte=1e12"`
	// Weight is the team's share of a busy target; zero means 1.
	Weight float64 `toml:"weight" json:"weight,omitempty" validate:"gte=0,lte=1e6"`
}

// Key is a caller's key. The secret stays with the caller.
type Key struct {
	ID string `toml:"id" json:"id" validate:"name"`
	// Hash is the SHA-256 of the secret in lower-case hex.
	Hash string `toml:"hash" json:"hash"`
	Team string `toml:"team" json:"team" validate:"name"`
}

// Route says how a kind of call is treated. A model route applies to the
// adapters that it lists; a service route is named for its service.
type Route struct {
	Name string    `toml:"name" json:"name" validate:"name"`
	Kind RouteKind `toml:"kind" json:"kind" validate:"oneof=model service"`
	// Service is the plain service behind a service route.
	Service string `toml:"service" json:"service,omitempty" validate:"omitempty,name"`
	// PathPrefix narrows a service route; the longest match wins.
	PathPrefix string `toml:"path_prefix" json:"path_prefix,omitempty"`
	// Methods narrows a service route; empty means all.
	Methods []string `toml:"methods" json:"methods,omitempty" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// Adapters names the adapters (without version) of a model route; empty means all.
	Adapters []string `toml:"adapters" json:"adapters,omitempty" validate:"dive,name"`
	// Open routes need no key.
	Open bool `toml:"open" json:"open,omitempty"`
	// Teams that may use a service route; empty means every team.
	Teams []string `toml:"teams" json:"teams,omitempty" validate:"dive,name"`
	// Repeatable says that a call may be sent again. Model calls are always repeatable.
	Repeatable bool  `toml:"repeatable" json:"repeatable,omitempty"`
	Class      Class `toml:"class" json:"class,omitempty" validate:"omitempty,oneof=interactive patient"`
	// Timeout bounds a call; zero takes the instance's default.
	Timeout Duration `toml:"timeout" json:"timeout,omitzero"`
	// TokensPerCall is what a service call costs its team.
	TokensPerCall float64 `toml:"tokens_per_call" json:"tokens_per_call,omitempty" validate:"gte=0,lte=1e12"`
}

// Target states how a target treats orders.
type Target struct {
	ID string `toml:"id" json:"id" validate:"name"`
	// ChecksFencing says that the target refuses orders with an old fencing number.
	ChecksFencing bool `toml:"checks_fencing" json:"checks_fencing,omitempty"`
}

// Duration is a time.Duration written as text, such as "30s".
type Duration struct{ time.Duration }

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration such as "30s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}
