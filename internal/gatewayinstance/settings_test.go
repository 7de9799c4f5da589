package gatewayinstance_test

import (
	"errors"
	"strings"
	"testing"

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
