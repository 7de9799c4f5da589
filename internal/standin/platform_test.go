package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

func startPlatform(t *testing.T, p *standin.Platform) string {
	t.Helper()
	server, err := p.Start(standin.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server.URL()
}

func TestPlatformObjects(t *testing.T) {
	url := startPlatform(t, &standin.Platform{})
	steps := []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"GET", "/v1/objects/group/landerneau/01", "", 404, "not_found"},
		{"PUT", "/v1/objects/group/landerneau/01?if_version=0", "one", 200, `{"key":"group/landerneau/01","version":1}`},
		{"PUT", "/v1/objects/group/landerneau/01?if_version=0", "two", 409, "conflict"},
		{"GET", "/v1/objects/group/landerneau/01", "", 200, `"value":"b25l"`},
		{"GET", "/v1/objects?prefix=group/", "", 200, `"version":1`},
		{"GET", "/v1/watch?prefix=group/&after=0&wait_ms=1", "", 200, `"deleted":false`},
		{"DELETE", "/v1/objects/group/landerneau/01?if_version=1", "", 200, ""},
		{"GET", "/v1/watch?prefix=group/&after=1&wait_ms=1", "", 200, `"deleted":true`},
		{"PUT", "/v1/objects/large?if_version=0", strings.Repeat("x", 1_000_001), 413, "too_large"},
		{"PUT", "/v1/objects/x?if_version=z", "", 400, "invalid_request"},
	}
	for _, s := range steps {
		status, answer := call(t, s.method, url+s.path, s.body)
		if status != s.status || !strings.Contains(answer, s.answer) {
			t.Fatalf("%s %s: status %d, %s; want %d, %s", s.method, s.path, status, answer, s.status, s.answer)
		}
	}
}

func TestPlatformFaults(t *testing.T) {
	p := &standin.Platform{}
	url := startPlatform(t, p)
	mustCall(t, "PUT", url+"/admin/faults", `{"lose_answers":1}`)
	if status, _ := call(t, "PUT", url+"/v1/objects/a?if_version=0", "one"); status != 0 {
		t.Fatalf("status %d for a lost answer", status)
	}
	mustCall(t, "GET", url+"/v1/objects/a", "")
	mustCall(t, "PUT", url+"/admin/faults", `{"outage":true}`)
	if status, _ := call(t, "GET", url+"/v1/objects/a", ""); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d in an outage", status)
	}
	mustCall(t, "PUT", url+"/admin/faults", `{"write_limit":0.001}`)
	mustCall(t, "PUT", url+"/v1/objects/b?if_version=0", "one")
	if status, _ := call(t, "PUT", url+"/v1/objects/c?if_version=0", "one"); status != http.StatusTooManyRequests {
		t.Fatalf("status %d over the limit", status)
	}
	if stats := p.Stats(); stats.LostAnswers != 1 || stats.Throttled != 1 {
		t.Fatalf("stats %+v", stats)
	}
}

func TestWeightStoreCountsFetches(t *testing.T) {
	p := &standin.Platform{Weights: standin.WeightStore{FetchTime: time.Millisecond}}
	url := startPlatform(t, p)
	e := &standin.Engine{Weights: standin.WeightSource{URL: url}}
	engine := startEngine(t, e)
	mustCall(t, "POST", engine+"/v1/adapters/load", `{"adapter":"a@1"}`)
	if stats := p.Stats(); stats.Weights.Fetches != 1 || stats.Weights.MaxInFlight != 1 {
		t.Fatalf("stats %+v", stats)
	}
}

func TestServiceCountsExecutedCalls(t *testing.T) {
	s := &standin.Service{Name: "dispatch"}
	server, err := s.Start(standin.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close() //nolint:errcheck // the test is over
	url := server.URL()
	mustCall(t, "PUT", url+"/admin/faults", `{"drop_after_run":1}`)
	if status, _ := call(t, "POST", url+"/rounds/7", "go", "X-Request-Id", "r1", "Idempotency-Key", "k1"); status != 0 {
		t.Fatalf("status %d for a dropped answer", status)
	}
	answer := mustCall(t, "POST", url+"/rounds/7?day=2", "go", "X-Request-Id", "r1", "X-Odd", "planted-secret")
	if !strings.Contains(answer, `"path":"/rounds/7","query":"day=2","body":"go"`) {
		t.Fatal(answer)
	}
	counts := s.Counts()
	if counts.RequestIDs["r1"] != 2 || counts.IdempotencyKeys["k1"] != 1 || counts.Paths["/rounds/7"] != 2 {
		t.Fatalf("counts %+v", counts)
	}
	for text, want := range map[string]string{"planted-secret": "true", "never-sent": "false"} {
		if answer := mustCall(t, "GET", url+"/admin/received?contains="+text, ""); !strings.Contains(answer, `"found":`+want) {
			t.Fatalf("%s: %s", text, answer)
		}
	}
}
