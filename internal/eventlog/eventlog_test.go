package eventlog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"heatherrelay/internal/eventlog"
)

var errUnavailable = errs.Class("platform unavailable")

func TestLinesAreJSONWithoutStackTraces(t *testing.T) {
	var out bytes.Buffer
	log, err := eventlog.New("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	cause := errUnavailable.New("refused")
	log.With(zap.NamedError("earlier", cause)).Info("lease_not_renewed", zap.Error(cause), zap.Duration("after", 1500*time.Millisecond))
	log.Debug("not written")
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	if line["error"] != "platform unavailable: refused" || line["earlier"] != line["error"] || line["after"] != "1.5s" {
		t.Errorf("line = %v", line)
	}
	if strings.Contains(out.String(), "Verbose") {
		t.Errorf("line has a stack trace: %s", out.String())
	}
}

func TestRepeatedLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	log, err := eventlog.New("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	for range 10_000 {
		log.Info("request refused")
	}
	if n := strings.Count(out.String(), "\n"); n < 200 || n > 2_000 {
		t.Errorf("%d lines written of 10000", n)
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := eventlog.New("loud", &bytes.Buffer{}); err == nil {
		t.Error("New() accepted an unknown level")
	}
}
