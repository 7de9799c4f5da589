package settings_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/settings"
)

const minimal = `
instance = "silom-1"
zone = "silom"
[advertise]
peers = "127.0.0.1:8081"
[platform]
address = "127.0.0.1:9000"
[tls.callers]
plain = true
[tls.peers]
plain = true
`

func ExampleParse() {
	_, err := settings.Parse([]byte(`
instance = "silom-1"
zone = 7
colour = "red"
[platform]
address = "localhost"
[lease]
term = "2h"
[tls.callers]
plain = true
[tls.peers]
certificate = "peer.pem"
key = "peer.key"
`))
	fmt.Println(err)
	// Output:
	// 6 problems in the settings
	//   advertise.peers: required, since listen.peers is on all addresses
	//   colour: unknown setting
	//   lease.term: 2h0m0s is too large, at most 10m
	//   platform.address: not an ip:port
	//   tls.peers.ca: required unless plain is true
	//   zone: want a string, have a whole number
}

func TestParseFillsDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(minimal + "\n[loads]\nper_second = 5\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Loads.PerSecond != 5 || s.Loads.InFlight != 8 || s.Lease.Term.Duration != 10*time.Second {
		t.Errorf("settings = %+v", s)
	}
}

func TestParseReportsPathAndReason(t *testing.T) {
	cases := map[string]string{
		"[lease]\nterm = 5":                          "lease.term: want a string, have a whole number",
		"[lease]\nterm = \"soon\"":                   "lease.term: time: invalid duration \"soon\"",
		"[lease]\nterm = \"4s\"":                     "lease.term: 4s must be longer than renew_every and margin together, 4.3s",
		"[lease]\nmargin = \"1ms\"":                  "lease.margin: 1ms is too small, at least 10ms",
		"[limits]\nmax_body_bytes = 1.5":             "limits.max_body_bytes: want a whole number, have a number",
		"[limits]\ndefault_max_tokens = 50000":       "limits.default_max_tokens: 50000 is above limits.max_tokens, 32768",
		"[log]\nlevel = \"loud\"":                    "log.level: \"loud\" is none of: debug info warn error",
		"[listen]\ncallers = \"here:80\"":            "listen.callers: ",
		"[listen]\ncallers = \"\"":                   "listen.callers: required",
		"[objectives.patient]\nanswered_share = 1":   "objectives.patient.answered_share: 1 is too large, must be below 1",
		"[objectives.patient]\nanswered_shar = 1":    "objectives.patient.answered_shar: unknown setting",
		"[objectives]\npatient = 4":                  "objectives.patient: want a table, have a whole number",
		"[loads]\nper_second = nan":                  "loads.per_second: ",
		"[loads]\nper_second = 1979-05-27T07:32:00Z": "loads.per_second: want a number, have a date or time",
		"[loads]\nper_second = [":                    "line ",
	}
	for text, want := range cases {
		_, err := settings.Parse([]byte(minimal + text))
		var e *settings.Error
		if !errors.As(err, &e) {
			t.Errorf("%s: error %v, want problems", text, err)
			continue
		}
		if len(e.Problems) != 1 || !strings.HasPrefix(e.Problems[0].String(), want) {
			t.Errorf("%s: problems %v, want %q", text, e.Problems, want)
		}
	}
}

func TestMarshalRoundTrip(t *testing.T) {
	s, err := settings.Parse([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	text, err := settings.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	again, err := settings.Parse(text)
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	if again != s {
		t.Errorf("parsed %+v, want %+v", again, s)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[lease]\nterm = \"4s\"\n[[limits]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse(data)
		var e *settings.Error
		if err != nil && (!errors.As(err, &e) || len(e.Problems) == 0) {
			t.Errorf("Parse() error = %v, want an *Error with problems", err)
		}
	})
}
