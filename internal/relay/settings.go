// Package relay runs an instance in front of a platform's deployment.
package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"heatherrelay/internal/settings"
)

// Settings are the settings of an instance on the platform. Fields that are not
// known are ignored.
type Settings struct {
	InstanceID string `toml:"instance_id"`
	Zone       string `toml:"zone"`
	LogLevel   string `toml:"log_level"`
	// Listen has the addresses that the instance serves.
	Listen Listen `toml:"listen"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `toml:"store"`
	// Seeds are addresses of instances that may be known before the store answers;
	// their port is not used.
	Seeds []netip.AddrPort `toml:"seeds"`
	// KeyLimit is how long a withdrawn key may work at most.
	KeyLimit settings.Duration `toml:"key_limit"`
	// ConfigurationLimit and TargetsLimit are how long after its change at the
	// store a configuration, or a target that leaves, must be in force.
	ConfigurationLimit settings.Duration `toml:"configuration_limit"`
	TargetsLimit       settings.Duration `toml:"targets_limit"`
	// OrderQuietTime is the least time between orders of two holders to one engine.
	OrderQuietTime settings.Duration `toml:"order_quiet_time"`
	// ShutdownGrace is the time from SIGTERM to the end of the process.
	ShutdownGrace settings.Duration `toml:"shutdown_grace"`
	// CPUShare is the instance's part of a core, LinkMbps the rate of its link.
	// Larger instances relay for smaller ones; zero is not known.
	CPUShare float64 `toml:"cpu_share"`
	LinkMbps float64 `toml:"link_mbps"`
	// AllowanceWindow is the span over which a team may spend its rate and once
	// its burst.
	AllowanceWindow settings.Duration `toml:"allowance_window"`
	Retry           Retry             `toml:"retry"`
}

// Listen has the addresses that an instance serves.
type Listen struct {
	Clients netip.AddrPort `toml:"clients"`
	Ready   netip.AddrPort `toml:"ready"`
	Peers   netip.AddrPort `toml:"peers"`
	Metrics netip.AddrPort `toml:"metrics"`
}

// Retry bounds the requests that are sent once more, over all instances.
type Retry struct {
	// Ratio is the repeats that each request earns.
	Ratio float64 `toml:"ratio"`
	// Extra is the repeats beyond that, in ten seconds.
	Extra float64 `toml:"extra"`
}

// Load reads and checks a settings file. A bad one gives a *settings.Error that
// names each field and the reason.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &settings.Error{Problems: []settings.Problem{{Reason: err.Error()}}}
	}
	return Parse(data)
}

// Parse reads and checks settings in TOML.
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
	require(s.OrderQuietTime.Duration >= 0, "order_quiet_time", "must not be negative")
	require(s.ShutdownGrace.Duration > shutdownMargin, "shutdown_grace", fmt.Sprintf("must be more than %s", shutdownMargin))
	require(s.AllowanceWindow.Duration > 0, "allowance_window", "must be more than 0s")
	require(s.Retry.Ratio >= 0, "retry.ratio", "must not be negative")
	require(s.Retry.Extra >= 0, "retry.extra", "must not be negative")
	return problems
}

// The processor and the link of an instance that carries the exchange of a small
// zone beside its own work.
const (
	relayCPUShare = 0.4
	relayLinkMbps = 50.0
)

// capacity says how much the instance can carry beside its own work.
func (s *Settings) capacity() float64 {
	return min(s.CPUShare/relayCPUShare, s.LinkMbps/relayLinkMbps)
}

const (
	// keyMargin is how much before the limit keys are no longer vouched for: a
	// request is still on its way to the target then.
	keyMargin = 500 * time.Millisecond
	// shutdownMargin is left before the process is killed.
	shutdownMargin = time.Second
)
