package configcheck_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"heatherrelay/internal/configcheck"
	"heatherrelay/internal/deployment"
)

// sound returns a configuration in which nothing is wrong.
func sound() *configcheck.Draft {
	route := func(name, prefix string, kind deployment.RouteKind, service string, attempts int) configcheck.Route {
		r := deployment.Route{
			Name: name, Host: "app.example", PathPrefix: prefix, Kind: kind, Timeout: 15 * time.Second, LatencyObjective: time.Second,
			Backends: []deployment.Backend{{Service: service, Weight: 1}}, MaxAttempts: attempts,
		}
		return configcheck.Route{Route: r, StatedAttempts: attempts, Place: configcheck.Place{Path: name}}
	}
	d := &configcheck.Draft{Version: 8, MaxBodyBytes: 1 << 20}
	d.Routes = []configcheck.Route{
		route("ask", "/ask/", deployment.Streaming, "engines", 2),
		route("ask-all", "/", deployment.Idempotent, "plain", 2),
		route("book", "/book/", deployment.NonIdempotent, "plain", 1),
	}
	d.Routes[0].Resumable, d.Routes[0].GapObjective = true, 300*time.Millisecond
	d.Services = []configcheck.Service{
		{Service: deployment.Service{Name: "engines", MaxConnections: 600, Engine: &deployment.Engine{
			Slots: 48, KVCacheTokens: 129_000, AdapterSlots: 15, MaxWeightsMB: 66_600, ModelLoadsPerSecond: 20,
			Models: []deployment.Model{{Name: "base", WeightsMB: 65_100, LoadTime: 3 * time.Second, AdapterWeightMB: 12}},
		}}},
		{Service: deployment.Service{Name: "plain", MaxConnections: 500}},
	}
	team := deployment.Team{Name: "roads", CountsTokens: true, DefaultTokens: 200, RatePerSecond: 300_000, Burst: 400_000}
	d.Teams = []configcheck.Team{{Team: team, Keys: []deployment.KeyHash{deployment.HashKey([]byte("key-1"))}}}
	return d
}

// TestSoundConfigurationHasNoFindings checks that nothing is said of a usual configuration,
// with targets and without knowledge of them.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	d := sound()
	for _, targets := range []map[string]int{nil, {"engines": 60, "plain": 3}} {
		d.Targets = targets
		if findings := d.Check(); len(findings) > 0 {
			t.Errorf("targets %v: %+v", targets, findings)
		}
	}
}

// TestEachMistakeIsFound makes one mistake at a time: each is found, and nothing else.
func TestEachMistakeIsFound(t *testing.T) {
	for _, c := range []struct {
		code  string
		spoil func(d *configcheck.Draft)
	}{
		{"version", func(d *configcheck.Draft) { d.Version = 0 }},
		{"shadowed_route", func(d *configcheck.Draft) { d.Routes[2].Host, d.Routes[2].PathPrefix = "APP.example", "/ask/" }},
		{"repeated_name", func(d *configcheck.Draft) { d.Routes[2].Name = "ask" }},
		{"unmatched_route", func(d *configcheck.Draft) { d.Routes[2].Host = "app.example:8080" }},
		{"unmatched_route", func(d *configcheck.Draft) { d.Routes[2].PathPrefix = "/book" }},
		{"unknown_kind", func(d *configcheck.Draft) { d.Routes[2].Kind = "once" }},
		{"unknown_service", func(d *configcheck.Draft) {
			d.Routes[2].Backends = append(d.Routes[2].Backends, deployment.Backend{Service: "plane", Weight: 1})
		}},
		{"no_targets", func(d *configcheck.Draft) { d.Targets = map[string]int{"plain": 3} }},
		{"negative_weight", func(d *configcheck.Draft) {
			d.Routes[2].Backends = append(d.Routes[2].Backends, deployment.Backend{Service: "engines", Weight: -1})
		}},
		{"repeated_service", func(d *configcheck.Draft) {
			d.Routes[2].Backends = append(d.Routes[2].Backends, d.Routes[2].Backends[0])
		}},
		{"unserved_route", func(d *configcheck.Draft) { d.Routes[2].Backends = nil }},
		{"unserved_route", func(d *configcheck.Draft) { d.Routes[2].Backends[0].Weight = 0 }},
		{"negative_limit", func(d *configcheck.Draft) { d.Routes[2].Timeout = -time.Second }},
		{"objective_over_timeout", func(d *configcheck.Draft) { d.Routes[2].LatencyObjective = 16 * time.Second }},
		{"pause_over_timeout", func(d *configcheck.Draft) { d.Routes[0].GapObjective = 16 * time.Second }},
		{"pause_without_stream", func(d *configcheck.Draft) { d.Routes[1].GapObjective = time.Second }},
		{"resumable_without_stream", func(d *configcheck.Draft) { d.Routes[1].Resumable = true }},
		{"attempts", func(d *configcheck.Draft) { d.Routes[2].StatedAttempts = 0 }},
		{"attempts", func(d *configcheck.Draft) { d.Routes[2].StatedAttempts = 2 }},
		{"attempts", func(d *configcheck.Draft) { d.Routes[0].StatedAttempts = 1 }},
		{"repeated_service", func(d *configcheck.Draft) { d.Services = append(d.Services, d.Services[1]) }},
		{"unused_service", func(d *configcheck.Draft) {
			d.Services = append(d.Services, configcheck.Service{Service: deployment.Service{Name: "spare"}})
		}},
		{"negative_limit", func(d *configcheck.Draft) { d.Services[1].MaxConnections = -1 }},
		{"negative_limit", func(d *configcheck.Draft) { d.Services[0].Engine.ModelLoadsPerSecond = -1 }},
		{"negative_limit", func(d *configcheck.Draft) { d.MaxBodyBytes = -1 }},
		{"memory_under_slots", func(d *configcheck.Draft) { d.Services[0].Engine.KVCacheTokens = 40 }},
		{"no_models", func(d *configcheck.Draft) { d.Services[0].Engine.Models = nil }},
		{"repeated_model", func(d *configcheck.Draft) {
			d.Services[0].Engine.Models = append(d.Services[0].Engine.Models, d.Services[0].Engine.Models[0])
		}},
		{"model_too_large", func(d *configcheck.Draft) { d.Services[0].Engine.MaxWeightsMB = 60_000 }},
		{"adapter_too_large", func(d *configcheck.Draft) { d.Services[0].Engine.Models[0].AdapterWeightMB = 1_501 }},
		{"slots_over_weights", func(d *configcheck.Draft) { d.Services[0].Engine.AdapterSlots = 126 }},
		{"no_adapter_slots", func(d *configcheck.Draft) { d.Services[0].Engine.AdapterSlots = 0 }},
		{"repeated_team", func(d *configcheck.Draft) {
			again := d.Teams[0]
			again.Keys = []deployment.KeyHash{deployment.HashKey([]byte("key-2"))}
			d.Teams = append(d.Teams, again)
		}},
		{"repeated_key", func(d *configcheck.Draft) {
			again := d.Teams[0]
			again.Name = "rails"
			d.Teams = append(d.Teams, again)
		}},
		{"no_keys", func(d *configcheck.Draft) {
			d.Teams = append(d.Teams, configcheck.Team{Team: deployment.Team{Name: "rails"}})
		}},
		{"empty_key", func(d *configcheck.Draft) { d.Teams[0].Keys = []deployment.KeyHash{deployment.HashKey(nil)} }},
		{"negative_limit", func(d *configcheck.Draft) { d.Teams[0].Burst = -1 }},
		{"no_rate", func(d *configcheck.Draft) { d.Teams[0].RatePerSecond = 0 }},
		{"burst_too_small", func(d *configcheck.Draft) { d.Teams[0].Burst = 128_999 }},
		{"burst_too_small", func(d *configcheck.Draft) { d.Teams[0].DefaultTokens = 400_001 }},
		{"burst_too_small", func(d *configcheck.Draft) { d.Teams[0].CountsTokens, d.Teams[0].Burst = false, 0.5 }},
		{"free_requests", func(d *configcheck.Draft) { d.Teams[0].DefaultTokens = 0 }},
	} {
		d := sound()
		c.spoil(d)
		findings := d.Check()
		if len(findings) != 1 || findings[0].Code != c.code {
			t.Errorf("%s: %+v", c.code, findings)
		}
	}
}

// TestTeamsWithoutKeysMatchNoRoute covers a configuration whose only team has no key.
func TestTeamsWithoutKeysMatchNoRoute(t *testing.T) {
	d := sound()
	d.Teams[0].Keys = nil
	codes := map[string]int{}
	for _, f := range d.Check() {
		codes[f.Code]++
	}
	if codes["no_keys"] != 1 || codes["unmatched_route"] != 3 {
		t.Errorf("%v", codes)
	}
}

// TestOrderChangesNothing checks that the order of entries is no difference, and that a version
// that does not rise is found.
func TestOrderChangesNothing(t *testing.T) {
	inForce, next := sound(), sound()
	slices.Reverse(next.Routes)
	slices.Reverse(next.Services)
	changes, findings := next.Compare(inForce)
	if len(changes) > 0 || len(findings) != 1 || findings[0].Code != "version" {
		t.Errorf("%v, %v", changes, findings)
	}
}

// Example shows what a change of several entries looks like.
func Example() {
	inForce, next := sound(), sound()
	next.Version = 9
	next.Routes[0].Backends = []deployment.Backend{{Service: "engines", Weight: 90}, {Service: "plain", Weight: 10}}
	next.Routes[1].Timeout = 20 * time.Second
	next.Routes[2].PathPrefix = "/booking/"
	next.Services[0].Engine.Slots = 24
	next.Teams[0].RatePerSecond, next.Teams[0].Burst = 200_000, 500_000
	next.Teams[0].Keys = append(next.Teams[0].Keys, deployment.HashKey([]byte("key-2")))
	next.MaxBodyBytes = 0
	report := configcheck.Report{File: "next.json", Compared: true}
	report.Changes, report.Findings = next.Compare(inForce)
	if err := report.WriteText(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// change: limits: largest body 1048576 -> unlimited
	// change: route app.example/: timeout 15s -> 20s
	// change: route app.example/ask/: share of engines 100% -> 90%
	// change: route app.example/ask/: share of plain added 10%
	// change: route app.example/book/ removed (all of it)
	// change: route app.example/booking/ added (new)
	// change: service engines: requests at once 48 -> 24 (lower)
	// change: team roads: burst 400000 -> 500000
	// change: team roads: key sha256:7c36b0a9 added valid
	// change: team roads: rate 300000 -> 200000 (lower)
}
