// Package release defines release notes, in which operators add, change and
// withdraw adapters, teams, keys, routes and targets, and the state that results
// from applying notes in order.
package release

import "time"

// Class is the priority class of a route.
type Class string

// The priority classes. Interactive requests go first; patient ones may wait and
// are not dropped.
const (
	Interactive Class = "interactive"
	Patient     Class = "patient"
)

// RouteKind distinguishes model routes from routes to plain services.
type RouteKind string

// The kinds of routes.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Note is one release note: a delta against all earlier notes. An entry that
// exists already is replaced as a whole.
type Note struct {
	// Title describes the purpose of the note in one line.
	Title    string    `toml:"title" json:"title,omitempty" validate:"max=200"`
	Adapters []Adapter `toml:"adapters" json:"adapters,omitempty" validate:"dive"`
	Teams    []Team    `toml:"teams" json:"teams,omitempty" validate:"dive"`
	Keys     []Key     `toml:"keys" json:"keys,omitempty" validate:"dive"`
	Routes   []Route   `toml:"routes" json:"routes,omitempty" validate:"dive"`
	Targets  []Target  `toml:"targets" json:"targets,omitempty" validate:"dive"`
	Withdraw Withdraw  `toml:"withdraw" json:"withdraw"`
}

// Withdraw lists the entries that a note removes.
type Withdraw struct {
	// Adapters holds ids of the form name@version.
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
	// Teams lists the teams that may use the adapter; empty means every team.
	Teams []string `toml:"teams" json:"teams,omitempty" validate:"dive,name"`
}

// ID returns name@version.
func (a Adapter) ID() string { return a.Name + "@" + a.Version }

// Team is a tenant with its rate limit and its weight.
type Team struct {
	Name string `toml:"name" json:"name" validate:"name"`
	// TokensPerSecond is the rate limit over all instances together.
	TokensPerSecond float64 `toml:"tokens_per_second" json:"tokens_per_second" validate:"gt=0,lte=1e12"`
	// BurstTokens is the number of tokens that may be used at once.
	BurstTokens float64 `toml:"burst_tokens" json:"burst_tokens" validate:"gt=0,lte=1e12"`
	// Weight is the team's relative share of a busy target; zero means 1.
	Weight float64 `toml:"weight" json:"weight,omitempty" validate:"gte=0,lte=1e6"`
}

// Key is the key of a caller. It holds only a hash of the secret, which stays
// with the caller.
type Key struct {
	ID string `toml:"id" json:"id" validate:"name"`
	// Hash is the SHA-256 of the secret in lower-case hex.
	Hash string `toml:"hash" json:"hash"`
	Team string `toml:"team" json:"team" validate:"name"`
}

// Route defines how a kind of call is handled. A model route applies to the
// adapters that it lists, a service route to the service that it names.
type Route struct {
	Name string    `toml:"name" json:"name" validate:"name"`
	Kind RouteKind `toml:"kind" json:"kind" validate:"oneof=model service"`
	// Service is the plain service to which a service route applies.
	Service string `toml:"service" json:"service,omitempty" validate:"omitempty,name"`
	// PathPrefix restricts a service route to paths below it; the route with the
	// longest matching prefix applies.
	PathPrefix string `toml:"path_prefix" json:"path_prefix,omitempty"`
	// Methods restricts a service route to these methods; empty means all.
	Methods []string `toml:"methods" json:"methods,omitempty" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// Adapters names the adapters (without version) of a model route; empty means all.
	Adapters []string `toml:"adapters" json:"adapters,omitempty" validate:"dive,name"`
	// Open is set when calls need no key.
	Open bool `toml:"open" json:"open,omitempty"`
	// Teams lists the teams that may use a service route; empty means every team.
	Teams []string `toml:"teams" json:"teams,omitempty" validate:"dive,name"`
	// Repeatable is set when a call may be sent again. Model calls are always
	// repeatable.
	Repeatable bool  `toml:"repeatable" json:"repeatable,omitempty"`
	Class      Class `toml:"class" json:"class,omitempty" validate:"omitempty,oneof=interactive patient"`
	// Timeout limits the duration of a call; zero means the instance's default.
	Timeout Duration `toml:"timeout" json:"timeout,omitzero"`
	// TokensPerCall is the number of tokens that each call to the service costs
	// the team.
	TokensPerCall float64 `toml:"tokens_per_call" json:"tokens_per_call,omitempty" validate:"gte=0,lte=1e12"`
}

// Target describes how a target treats orders, which are commands to load or
// unload an adapter.
type Target struct {
	ID string `toml:"id" json:"id" validate:"name"`
	// ChecksFencing is set when the target refuses orders with an old fencing
	// number.
	ChecksFencing bool `toml:"checks_fencing" json:"checks_fencing,omitempty"`
}

// Duration is a time.Duration that is encoded as text, such as "30s".
type Duration struct{ time.Duration }

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration such as "30s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}
