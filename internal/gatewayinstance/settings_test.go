package gatewayinstance_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/internal/settings"
)

const goodSettings = `
instance_id = "front-1"
zone = "north"
store = "10.0.0.9:8225"
key_limit = "5s"
configuration_limit = "2s"
targets_limit = "2s"
order_quiet_time = "3s"
shutdown_grace = "8s"
allowance_window = "8s"
unknown_field = 7
[listen]
clients = "10.0.0.5:8080"
ready = "10.0.0.5:8081"
peers = "10.0.0.5:7600"
[retry]
ratio = 0.2
extra = 58
`

// TestSettings checks that unknown fields are ignored and that each invalid field is
// reported by name.
func TestSettings(t *testing.T) {
	if _, err := gatewayinstance.Parse([]byte(goodSettings)); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ from, to, field string }{
		"missing zone":   {`zone = "north"`, "", "zone"},
		"bad store":      {`"10.0.0.9:8225"`, `"nowhere"`, "store"},
		"no limit":       {`targets_limit = "2s"`, ``, "targets_limit"},
		"short limit":    {`key_limit = "5s"`, `key_limit = "100ms"`, "key_limit"},
		"no peers":       {`peers = "10.0.0.5:7600"`, "", "listen.peers"},
		"negative ratio": {"ratio = 0.2", "ratio = -1", "retry.ratio"},
		"memory":         {"unknown_field = 7", "memory_mb = -1", "memory_mb"},
		"unknown mode":   {"[listen]", "[decisions]\nspeeds = \"some\"\n[listen]", "decisions.speeds"},
		"no window":      {`allowance_window = "8s"`, "", "allowance_window"},
	}
	for name, c := range cases {
		_, err := gatewayinstance.Parse([]byte(strings.Replace(goodSettings, c.from, c.to, 1)))
		var bad *settings.Error
		if !errors.As(err, &bad) {
			t.Errorf("%s: error %v, want a *settings.Error", name, err)
			continue
		}
		if len(bad.Problems) != 1 || !strings.Contains(bad.Problems[0].Path+bad.Problems[0].Reason, c.field) {
			t.Errorf("%s: unexpected problems %+v", name, bad.Problems)
		}
	}
}

// TestSettingsOfOptionalLimits checks the settings that only some deployments have.
func TestSettingsOfOptionalLimits(t *testing.T) {
	const optional = "evacuation_limit = \"5000ms\"\ncold_over = 1.5\ncold_slack = 5\n[zones]\n\"north\" = \"leon\"\n[listen]"
	text := strings.Replace(goodSettings, "[listen]", optional, 1)
	s, err := gatewayinstance.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.EvacuationLimit.Duration != 5*time.Second || s.ColdOver != 1.5 || s.ColdSlack != 5 || s.Zones["north"] != "leon" {
		t.Errorf("%+v", s)
	}
	for from, to := range map[string]string{`"5000ms"`: `"-1s"`, "cold_over = 1.5": "cold_over = -1", "cold_slack = 5": "cold_slack = -1"} {
		if _, err := gatewayinstance.Parse([]byte(strings.Replace(text, from, to, 1))); err == nil {
			t.Errorf("no error with %s", to)
		}
	}
}
