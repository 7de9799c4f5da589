// Package gatewayinstance assembles and runs one instance of the gateway: it reads the
// instance's settings, connects the components that the other packages provide,
// registers the instance in the store, discovers its peers, and shuts the instance
// down gracefully. Package peer implements the protocol between instances, with its
// relay role.
package gatewayinstance

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/settings"
)

// Settings are the settings of an instance, as read from its TOML file. Unknown
// fields in the file are ignored.
type Settings struct {
	InstanceID string `toml:"instance_id"`
	Zone       string `toml:"zone"`
	// Zones holds the region of each availability zone. Requests that are bound to regions
	// run in none of the other zones.
	Zones    map[string]string `toml:"zones"`
	LogLevel string            `toml:"log_level"`
	// Listen holds the addresses that the instance listens on.
	Listen Listen `toml:"listen"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `toml:"store"`
	// Seeds are addresses of other instances to contact before the store answers.
	// Their ports are ignored.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Bootstrap is set when the whole system starts for the first time. The instances
	// then leave reading the store to a few of them; one that restarts reads it at once.
	Bootstrap bool `toml:"bootstrap"`
	// KeyLimit is the longest time for which a withdrawn key may still be accepted.
	KeyLimit settings.Duration `toml:"key_limit"`
	// ConfigurationLimit and TargetsLimit are the times within which a change of the
	// configuration, or of a target such as its draining, must be applied after it
	// was stored.
	ConfigurationLimit settings.Duration `toml:"configuration_limit"`
	TargetsLimit       settings.Duration `toml:"targets_limit"`
	// EvacuationLimit is the time within which no more requests reach the targets of a zone
	// that the operators have evacuated; zero if they evacuate none.
	EvacuationLimit settings.Duration `toml:"evacuation_limit"`
	// OrderQuietTime is the least time between the orders of two lease holders to one
	// engine.
	OrderQuietTime settings.Duration `toml:"order_quiet_time"`
	// ShutdownGrace is the time from SIGTERM until the process must have ended.
	ShutdownGrace settings.Duration `toml:"shutdown_grace"`
	// CPUShare is how many CPU cores the instance has, as a fraction. LinkMbps is the
	// rate of its network link in Mbit/s. The larger instances of a zone become its
	// relays. Zero means unknown.
	CPUShare float64 `toml:"cpu_share"`
	LinkMbps float64 `toml:"link_mbps"`
	// MemoryMB is the memory of the process in MiB. Zero means unknown.
	MemoryMB float64 `toml:"memory_mb"`
	// AllowanceWindow is the time over which a team may use its rate and, once, its
	// burst.
	AllowanceWindow settings.Duration `toml:"allowance_window"`
	// ColdOver and ColdSlack bound the requests at a cold target: in any second all
	// instances together send at most ColdOver times the rate that its service states for
	// cold targets, and ColdSlack more. Cold targets are not limited if ColdOver is zero.
	ColdOver  float64   `toml:"cold_over"`
	ColdSlack float64   `toml:"cold_slack"`
	Retry     Retry     `toml:"retry"`
	Decisions Decisions `toml:"decisions"`
}

// Decisions says which optional decisions the instance makes.
type Decisions struct {
	// Admission is for requests that compete for too little room, Speeds for targets of
	// unlike speed, PromptCache for prompts whose beginning an engine still holds, Prompts
	// for prompts that one instance of a zone assigns to engines.
	Admission   Mode `toml:"admission"`
	Prompts     Mode `toml:"prompts"`
	Speeds      Mode `toml:"speeds"`
	PromptCache Mode `toml:"prompt_cache"`
}

// Mode says for which services an optional decision is made.
type Mode string

// The modes; a setting that is missing means ModeOff.
const (
	ModeOff Mode = "off"
	// ModeAuto is for the services whose most urgent streams may run once only, so that
	// the first choice of a target is the last one.
	ModeAuto Mode = "auto"
	// ModeOn is for all services.
	ModeOn Mode = "on"
)

// valid reports whether the mode is known.
func (m Mode) valid() bool { return m == "" || m == ModeOff || m == ModeAuto || m == ModeOn }

// For returns the function that reports whether the decision is made for a service of a
// configuration.
func (m Mode) For() func(configuration *deployment.Configuration, service string) bool {
	return func(configuration *deployment.Configuration, service string) bool {
		return m == ModeOn || m == ModeAuto && configuration != nil && configuration.UrgentStreamsRunOnce(service)
	}
}

// Listen holds the addresses that an instance listens on.
type Listen struct {
	// Clients is for the requests of clients, Ready for the load balancer's readiness
	// probe, Peers for the protocol between instances. Metrics is for Prometheus and
	// may be unset.
	Clients netip.AddrPort `toml:"clients"`
	Ready   netip.AddrPort `toml:"ready"`
	Peers   netip.AddrPort `toml:"peers"`
	Metrics netip.AddrPort `toml:"metrics"`
}

// Retry bounds the retries of requests, over all instances.
type Retry struct {
	// Ratio is how many retries are allowed per request.
	Ratio float64 `toml:"ratio"`
	// Extra is how many more retries are allowed in ten seconds.
	Extra float64 `toml:"extra"`
}

// Load reads and validates a settings file. An invalid one gives a *settings.Error
// that names each invalid field and the reason.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &settings.Error{Problems: []settings.Problem{{Reason: err.Error()}}}
	}
	return Parse(data)
}

// Parse decodes and validates settings in TOML. It returns the same errors as Load.
func Parse(data []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	if err := toml.Unmarshal(data, &s); err != nil {
		return Settings{}, &settings.Error{Problems: []settings.Problem{decodeProblem(err)}}
	}
	if problems := s.validate(); len(problems) > 0 {
		return Settings{}, &settings.Error{Problems: problems}
	}
	return s, nil
}

// decodeProblem returns the problem that an error of the TOML decoder describes.
func decodeProblem(err error) settings.Problem {
	var e *toml.DecodeError
	if errors.As(err, &e) {
		row, column := e.Position()
		return settings.Problem{
			Path:   strings.Join(e.Key(), "."),
			Reason: fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(e.Error(), "toml: ")),
		}
	}
	return settings.Problem{Reason: err.Error()}
}

// validate returns a problem for each invalid field.
func (s *Settings) validate() []settings.Problem {
	var problems []settings.Problem
	require := func(ok bool, path, reason string) {
		if !ok {
			problems = append(problems, settings.Problem{Path: path, Reason: reason})
		}
	}
	require(s.InstanceID != "", "instance_id", "is missing")
	require(s.Zone != "", "zone", "is missing")
	require(s.Listen.Clients.IsValid(), "listen.clients", "must be an address, such as 10.0.0.5:8080")
	require(s.Listen.Ready.IsValid(), "listen.ready", "must be an address, such as 10.0.0.5:8081")
	require(s.Listen.Peers.IsValid(), "listen.peers", "must be an address, such as 10.0.0.5:7600")
	require(s.Store.IsValid(), "store", "must be an address, such as 10.0.0.9:8225")
	require(s.KeyLimit.Duration > keyMargin, "key_limit", fmt.Sprintf("must be more than %s", keyMargin))
	require(s.ConfigurationLimit.Duration > 0, "configuration_limit", "must be more than 0s")
	require(s.TargetsLimit.Duration > 0, "targets_limit", "must be more than 0s")
	require(s.EvacuationLimit.Duration >= 0, "evacuation_limit", "must not be negative")
	require(s.OrderQuietTime.Duration >= 0, "order_quiet_time", "must not be negative")
	require(s.ShutdownGrace.Duration > minShutdownGrace, "shutdown_grace", fmt.Sprintf("must be more than %s", minShutdownGrace))
	require(s.AllowanceWindow.Duration > 0, "allowance_window", "must be more than 0s")
	require(s.ColdOver >= 0, "cold_over", "must not be negative")
	require(s.ColdSlack >= 0, "cold_slack", "must not be negative")
	require(s.MemoryMB >= 0, "memory_mb", "must not be negative")
	for path, mode := range map[string]Mode{"decisions.admission": s.Decisions.Admission, "decisions.speeds": s.Decisions.Speeds, "decisions.prompts": s.Decisions.Prompts, "decisions.prompt_cache": s.Decisions.PromptCache} {
		require(mode.valid(), path, `must be "off", "auto" or "on"`)
	}
	require(s.Retry.Ratio >= 0, "retry.ratio", "must not be negative")
	require(s.Retry.Extra >= 0, "retry.extra", "must not be negative")
	return problems
}

// The CPU share and link rate at which an instance can be the relay of a small zone in
// addition to its own requests.
const (
	relayCPUShare = 0.4
	relayLinkMbps = 50.0
)

// capacity returns how much relaying the instance can do in addition to its own
// requests, relative to the relay of a small zone. It is zero when the CPU share or
// the link rate is unknown.
func (s *Settings) capacity() float64 {
	return min(s.CPUShare/relayCPUShare, s.LinkMbps/relayLinkMbps)
}

const (
	// keyMargin is how long before KeyLimit an instance that cannot confirm a key stops
	// accepting it, since an accepted request still takes time to reach its target.
	keyMargin = 500 * time.Millisecond
	// minShutdownGrace is the grace that ShutdownGrace must exceed.
	minShutdownGrace = time.Second
	// shutdownMarginFraction is the part of ShutdownGrace that draining leaves for
	// ending the process before it is killed, maxShutdownMargin its upper bound.
	shutdownMarginFraction = 1.0 / 8
	maxShutdownMargin      = time.Second
)

// drainTimeout returns how long a shutdown may wait for the requests in flight.
func (s *Settings) drainTimeout() time.Duration {
	return s.ShutdownGrace.Duration - s.shutdownMargin()
}

// shutdownMargin returns the part of the grace that is left for ending the requests in flight
// and the process.
func (s *Settings) shutdownMargin() time.Duration {
	return min(maxShutdownMargin, time.Duration(shutdownMarginFraction*float64(s.ShutdownGrace.Duration)))
}
