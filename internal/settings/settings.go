// Package settings reads and validates an instance's settings file in TOML. It
// reports all problems of a file at once.
package settings

import (
	"net/netip"
	"time"

	"heatherrelay/pkg/release"
)

// Duration is a time.Duration that is written as text, such as "30s".
type Duration = release.Duration

// Settings holds the settings that an instance reads when it starts; they do not
// change while it runs. Values returned by Load and Parse are valid. Configuration
// that operators change at run time is in release notes.
type Settings struct {
	Instance       string         `toml:"instance" comment:"Name of this instance, unique over the fleet. Required." validate:"required,max=100,excludesall=/ "`
	Zone           string         `toml:"zone" comment:"Availability zone of this instance. Required." validate:"required,max=100,excludesall=/ "`
	Listen         Listen         `toml:"listen" comment:"Addresses to listen on, IP:PORT; port 0 lets the kernel choose."`
	Advertise      Advertise      `toml:"advertise" comment:"Addresses that others are told."`
	Platform       Platform       `toml:"platform" comment:"The platform's object API."`
	Lease          Lease          `toml:"lease" comment:"Lease of this instance, which its target groups and allowances hang on."`
	Limits         Limits         `toml:"limits" comment:"Limits on callers' requests."`
	Targets        Targets        `toml:"targets" comment:"Targets and their groups."`
	Loads          Loads          `toml:"loads" comment:"What the weight store allows over the whole fleet."`
	Keys           Keys           `toml:"keys" comment:"Callers' keys."`
	Administration Administration `toml:"administration" comment:"Administration API."`
	Dispatch       Dispatch       `toml:"dispatch" comment:"Calls to plain services that may not be repeated."`
	Shutdown       Shutdown       `toml:"shutdown" comment:"Graceful shutdown."`
	TLS            TLS            `toml:"tls" comment:"Certificates, as PEM files."`
	Log            Log            `toml:"log" comment:"Logs, as JSON lines on standard error."`
	Objectives     Objectives     `toml:"objectives" comment:"Service-level objectives of the burn report, by route class."`
}

// Listen holds the addresses on which the instance listens.
type Listen struct {
	Callers        netip.AddrPort `toml:"callers" comment:"Callers' HTTP API." validate:"address"`
	Peers          netip.AddrPort `toml:"peers" comment:"Protocol between instances." validate:"address"`
	Administration netip.AddrPort `toml:"administration" comment:"Administration API." validate:"address"`
	Metrics        netip.AddrPort `toml:"metrics" comment:"Metrics and health for the platform." validate:"address"`
}

// Advertise holds the addresses that the instance publishes to other instances.
type Advertise struct {
	Peers   netip.AddrPort `toml:"peers" comment:"Address at which other instances reach this one; listen.peers if not set."`
	Metrics netip.AddrPort `toml:"metrics" comment:"Address at which reports read this instance's metrics; the IP of advertise.peers with the port of listen.metrics if not set."`
}

// Platform holds the address of the object API and the timeouts of its calls.
type Platform struct {
	Address        netip.AddrPort `toml:"address" comment:"Address of the object API. Required." validate:"address,port"`
	RequestTimeout Duration       `toml:"request_timeout" comment:"Longest wait for one call, watches apart." validate:"min=10ms,max=1m"`
	WatchWait      Duration       `toml:"watch_wait" comment:"How long one watch call waits for a change." validate:"min=100ms,max=5m"`
}

// Lease holds the times of the instance's lease, which limit how long it owns its
// groups without a renewal.
type Lease struct {
	Term       Duration `toml:"term" comment:"Time after which others may take over what an unrenewed lease holds." validate:"min=1s,max=10m"`
	RenewEvery Duration `toml:"renew_every" comment:"Time between renewals; with margin it must be shorter than term." validate:"min=100ms,max=5m"`
	Margin     Duration `toml:"margin" comment:"How much earlier than term the holder stops counting on its lease." validate:"min=10ms,max=1m"`
}

// Limits holds the limits on requests and on queues.
type Limits struct {
	MaxBodyBytes     int      `toml:"max_body_bytes" comment:"Largest request body, bytes." validate:"min=1024,max=268435456"`
	DefaultMaxTokens int      `toml:"default_max_tokens" comment:"max_tokens of a request that states none." validate:"min=1,max=1000000"`
	MaxTokens        int      `toml:"max_tokens" comment:"Largest max_tokens that a request may state." validate:"min=1,max=1000000"`
	BytesPerToken    float64  `toml:"bytes_per_token" comment:"Bytes of prompt counted as one token before a request runs." validate:"min=0.5,max=64"`
	RequestTimeout   Duration `toml:"request_timeout" comment:"Longest time for one request of class interactive or to a plain service, unless its route states another." validate:"min=100ms,max=24h"`
	PatientTimeout   Duration `toml:"patient_timeout" comment:"Longest time for one model request of class patient, unless its route states another. No route's timeout goes beyond the longer of the two." validate:"min=100ms,max=24h"`
	QueueItems       int      `toml:"queue_items" comment:"Most requests waiting for one target." validate:"min=1,max=1000000"`
	QueueTokens      int      `toml:"queue_tokens" comment:"Most tokens waiting for one target." validate:"min=1,max=1000000000"`
	RequestsInFlight int      `toml:"requests_in_flight" comment:"Most callers' requests in this instance at once." validate:"min=1,max=1000000"`
}

// LongestRequest returns the longest time that any request may take.
func (l Limits) LongestRequest() time.Duration {
	return max(l.RequestTimeout.Duration, l.PatientTimeout.Duration)
}

// Targets defines how targets are split into groups, and how often their state is
// reported and synced.
type Targets struct {
	GroupsPerZone int      `toml:"groups_per_zone" comment:"Groups that a zone's targets are split into; the same on all instances." validate:"min=1,max=4096"`
	ReportEvery   Duration `toml:"report_every" comment:"Time between load reports asked of a target." validate:"min=10ms,max=1m"`
	SyncEvery     Duration `toml:"sync_every" comment:"Time between syncs of target state with a peer." validate:"min=10ms,max=1m"`
	SilenceLimit  Duration `toml:"silence_limit" comment:"Silence after which a connection is given up." validate:"min=100ms,max=10m"`
}

// Loads holds the fleet-wide limits of the weight store on adapter loads.
type Loads struct {
	PerSecond float64 `toml:"per_second" comment:"Loads started per second over the whole fleet." validate:"gt=0,max=10000"`
	InFlight  int     `toml:"in_flight" comment:"Loads in flight at full speed over the whole fleet." validate:"min=1,max=10000"`
}

// Keys limits how long keys stay valid without a confirmation that they have not
// been withdrawn.
type Keys struct {
	StaleKeyLimit Duration `toml:"stale_key_limit" comment:"How long keys go on counting while neither the platform nor a peer confirms them; 0s: without end." validate:"min=0s,max=720h"`
}

// Administration holds the keys that give access to the administration API.
type Administration struct {
	Keys string `toml:"keys" comment:"Operators' keys as ID:HASH, separated by spaces, as printed by key new --operator; with none the API is not served."`
}

// Dispatch defines how long the outcomes of non-repeatable calls are kept.
type Dispatch struct {
	Retention  Duration `toml:"retention" comment:"How long an idempotency key is remembered after the call's deadline at least; 0s: for ever." validate:"min=0s,max=87600h"`
	SweepEvery Duration `toml:"sweep_every" comment:"Time between looks at a part of the kept outcomes for ones past retention." validate:"min=1s,max=24h"`
}

// Shutdown holds the time limits of a graceful shutdown.
type Shutdown struct {
	Grace      Duration `toml:"grace" comment:"Longest wait for running requests." validate:"min=0s,max=24h"`
	DrainDelay Duration `toml:"drain_delay" comment:"Time between readiness turning false and the listener closing, for the balancer to notice." validate:"min=0s,max=5m"`
}

// TLS holds the certificates for callers' connections and for connections between
// instances.
type TLS struct {
	Callers CallersTLS `toml:"callers" comment:"Towards callers."`
	Peers   PeersTLS   `toml:"peers" comment:"Between instances, both sides showing a certificate."`
}

// CallersTLS is the server certificate for callers' connections.
type CallersTLS struct {
	Plain       bool   `toml:"plain" comment:"Serve without TLS; certificate and key must then be empty."`
	Certificate string `toml:"certificate" comment:"Certificate chain file; read again when it changes."`
	Key         string `toml:"key" comment:"Private key file."`
}

// PeersTLS configures mutual TLS between instances.
type PeersTLS struct {
	Plain       bool   `toml:"plain" comment:"Talk without TLS; certificate, key and ca must then be empty."`
	Certificate string `toml:"certificate" comment:"Certificate chain file; read again when it changes."`
	Key         string `toml:"key" comment:"Private key file."`
	CA          string `toml:"ca" comment:"File of the authorities that peers' certificates are checked against."`
}

// Log holds the log level.
type Log struct {
	Level string `toml:"level" comment:"debug, info, warn or error." validate:"oneof=debug info warn error"`
}

// Objectives holds the service-level objectives of the burn report.
type Objectives struct {
	Interactive Objective `toml:"interactive" comment:"Routes of class interactive."`
	Patient     Objective `toml:"patient" comment:"Routes of class patient."`
}

// Objective holds the service-level objectives of one route class. Shares are
// between 0 and 1.
type Objective struct {
	FirstTokenLimit       Duration `toml:"first_token_limit" comment:"A first token later than this counts against first_token_share." validate:"min=1ms,max=24h"`
	FirstTokenShare       float64  `toml:"first_token_share" comment:"Share of answers whose first token comes in time." validate:"gt=0,lt=1"`
	AnsweredShare         float64  `toml:"answered_share" comment:"Share of admitted requests that get their whole answer." validate:"gt=0,lt=1"`
	UnstalledShare        float64  `toml:"unstalled_share" comment:"Share of answers that waited for no load." validate:"gt=0,lt=1"`
	JustifiedRefusalShare float64  `toml:"rightly_refused_share" comment:"Share of requests not refused for want of allowance while the team was within its rate." validate:"gt=0,lt=1"`
}

// Defaults returns the default settings. It leaves required settings empty.
func Defaults() Settings {
	return Settings{
		Listen: Listen{
			Callers:        netip.MustParseAddrPort("0.0.0.0:8080"),
			Peers:          netip.MustParseAddrPort("0.0.0.0:8081"),
			Administration: netip.MustParseAddrPort("127.0.0.1:8082"),
			Metrics:        netip.MustParseAddrPort("0.0.0.0:8083"),
		},
		Platform: Platform{RequestTimeout: seconds(2), WatchWait: seconds(10)},
		Lease:    Lease{Term: seconds(10), RenewEvery: milliseconds(3_300), Margin: seconds(1)},
		Limits: Limits{
			MaxBodyBytes:     4 << 20,
			DefaultMaxTokens: 256,
			MaxTokens:        32_768,
			BytesPerToken:    4,
			RequestTimeout:   seconds(120),
			PatientTimeout:   seconds(1800),
			QueueItems:       1_000,
			QueueTokens:      2_000_000,
			RequestsInFlight: 10_000,
		},
		Targets: Targets{
			GroupsPerZone: 8,
			ReportEvery:   milliseconds(200),
			SyncEvery:     milliseconds(200),
			SilenceLimit:  seconds(10),
		},
		Loads:    Loads{PerSecond: 3, InFlight: 8},
		Keys:     Keys{StaleKeyLimit: seconds(0)},
		Dispatch: Dispatch{Retention: seconds(7 * 24 * 3600), SweepEvery: seconds(60)},
		Shutdown: Shutdown{Grace: seconds(150), DrainDelay: seconds(2)},
		Log:      Log{Level: "info"},
		Objectives: Objectives{
			Interactive: objective(milliseconds(420)),
			Patient:     objective(seconds(30)),
		},
	}
}

func objective(firstToken Duration) Objective {
	return Objective{
		FirstTokenLimit:       firstToken,
		FirstTokenShare:       0.95,
		AnsweredShare:         0.999,
		UnstalledShare:        0.98,
		JustifiedRefusalShare: 0.999,
	}
}

func seconds(n int) Duration      { return Duration{Duration: time.Duration(n) * time.Second} }
func milliseconds(n int) Duration { return Duration{Duration: time.Duration(n) * time.Millisecond} }
