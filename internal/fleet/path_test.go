package fleet_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"heatherrelay/internal/standin"
)

// TestPath tests requests of callers through instances to targets, with each
// program as a separate process: a platform, a service and, in each of three
// zones, two engines and one instance.
func TestPath(t *testing.T) {
	t.Parallel()
	f := &fleet{}
	startFleet(t, f, 1, 2, "--step-time", "5ms")
	t.Run("answers", func(t *testing.T) { testAnswers(t, f) })
	t.Run("refusals", func(t *testing.T) { testRefusals(t, f) })
	t.Run("large bodies", func(t *testing.T) { testLargeBodies(t, f) })
	t.Run("services", func(t *testing.T) { testServices(t, f) })
	t.Run("planted keys", func(t *testing.T) { testPlantedKeys(t, f) })
	t.Run("starting instance", func(t *testing.T) { testStartingInstance(t, f) })
	t.Run("shutdown", func(t *testing.T) { testShutdown(t, f) })
	f.checkTargets(t)
}

func testAnswers(t *testing.T, f *fleet) {
	chat := request(deskAdapter, "", 24)
	chat.Messages = []standin.Message{{Role: "system", Content: "Be brief."}, {Role: "user", Content: "What does the tenant owe?"}}
	unstreamed := request(crewsAdapter, "When is the next round?", 12)
	unstreamed.Stream = false
	cases := []struct {
		name    string
		team    string
		request standin.CompletionRequest
	}{
		{"stream", teamCrews, request(crewsAdapter, "Which lane comes next?", 40)},
		{"chat stream", teamDesk, chat},
		{"unstreamed", teamCrews, unstreamed},
	}
	for _, i := range f.instances {
		for _, c := range cases {
			reply, err := f.caller(i, c.team).Complete(t.Context(), c.request)
			if err != nil || !reply.IsComplete(c.request) {
				t.Errorf("%s, %s: %v, %+v", i.id, c.name, err, reply)
			}
		}
	}
}

func testRefusals(t *testing.T, f *fleet) {
	good := f.keys[teamCrews].Text()
	wrong := good[:len(good)-1] + string('a'+(good[len(good)-1]-'a'+1)%26)
	cases := []struct {
		name   string
		key    string
		body   string
		status int
	}{
		{"no key", "", `{"model":"verges@1","prompt":"x"}`, http.StatusUnauthorized},
		{"wrong key", wrong, `{"model":"verges@1","prompt":"x"}`, http.StatusUnauthorized},
		{"adapter of another team", good, `{"model":"statements@2","prompt":"x"}`, http.StatusForbidden},
		{"unknown adapter", good, `{"model":"nothing@1","prompt":"x"}`, http.StatusNotFound},
		{"unknown version", good, `{"model":"verges@9","prompt":"x"}`, http.StatusNotFound},
		{"malformed body", good, `{"model":"verges@1","prompt":`, http.StatusBadRequest},
		{"wrong type", good, `{"model":"verges@1","prompt":"x","max_tokens":"many"}`, http.StatusBadRequest},
	}
	before := f.engineRequests(t)
	for _, i := range f.instances {
		for _, c := range cases {
			caller := standin.Caller{URL: "http://" + i.callerAddress.String(), Key: c.key}
			reply, err := caller.Call(t.Context(), http.MethodPost, "/v1/completions", []byte(c.body), http.Header{"Content-Type": {"application/json"}})
			if err != nil {
				t.Errorf("%s, %s: %v", i.id, c.name, err)
				continue
			}
			if reply.Status != c.status || reply.Refusal == nil || !reply.Refusal.NotRun || reply.Refusal.Code == "" || reply.Refusal.RequestID == "" {
				t.Errorf("%s, %s: status %d, want %d; %s", i.id, c.name, reply.Status, c.status, reply.Body)
			}
		}
	}
	if after := f.engineRequests(t); after != before {
		t.Errorf("the engines ran %d refused requests", after-before)
	}
}

// testLargeBodies sends consecutive bodies over the size limit. Each caller
// must receive the refusal even while it is still sending.
func testLargeBodies(t *testing.T, f *fleet) {
	body := []byte(`{"model":"verges@1","prompt":"` + strings.Repeat("x", 5<<20) + `"}`)
	for n := range 12 {
		reply, err := f.caller(f.instances[n%len(f.instances)], teamCrews).Call(t.Context(), http.MethodPost, "/v1/completions", body, http.Header{"Content-Type": {"application/json"}})
		if err != nil || reply.Status != http.StatusRequestEntityTooLarge || reply.Refusal == nil || !reply.Refusal.NotRun {
			t.Fatalf("body %d: %v, %+v", n, err, reply)
		}
	}
}

// engineRequests returns the number of requests that all engines have run.
func (f *fleet) engineRequests(t *testing.T) int {
	t.Helper()
	requests := 0
	for _, address := range f.engines {
		requests += getJSON[standin.EngineStats](t, address, "/admin/stats").Requests
	}
	return requests
}

func testServices(t *testing.T, f *fleet) {
	once := http.Header{"Idempotency-Key": {"round-7"}, "Content-Type": {"text/plain"}}
	for _, i := range f.instances {
		lookup, err := f.caller(i, teamDesk).Call(t.Context(), http.MethodGet, "/services/dispatch/lookups/lane?near=4", nil, nil)
		if err != nil || lookup.Status != http.StatusOK || !strings.Contains(string(lookup.Body), `"path":"/lookups/lane","query":"near=4"`) {
			t.Errorf("%s, lookup: %v, %+v", i.id, err, lookup)
		}
		sent, err := f.caller(i, teamCrews).Call(t.Context(), http.MethodPost, "/services/dispatch/rounds/7", []byte("go"), once.Clone())
		if err != nil || sent.Status != http.StatusOK || !strings.Contains(string(sent.Body), `"body":"go"`) {
			t.Errorf("%s, dispatch: %v, %+v, %s", i.id, err, sent, sent.Body)
		}
		other, err := f.caller(i, teamDesk).Call(t.Context(), http.MethodPost, "/services/dispatch/rounds/8", []byte("go"), nil)
		if err != nil || other.Status != http.StatusForbidden || other.Refusal == nil || !other.Refusal.NotRun {
			t.Errorf("%s, dispatch of another team: %v, %+v", i.id, err, other)
		}
	}
	counts := getJSON[standin.ServiceCounts](t, f.service, "/admin/counts")
	if counts.Paths["/rounds/7"] != 1 || counts.Paths["/rounds/8"] != 0 || counts.Paths["/lookups/lane"] != len(f.instances) {
		t.Errorf("the service counted %+v", counts)
	}
}

// testPlantedKeys sends a key in headers and in a query where it doesn't
// belong. checkTargets checks later that it was neither forwarded nor logged.
func testPlantedKeys(t *testing.T, f *fleet) {
	secret := f.keys[teamCrews].Text()
	planted := http.Header{"X-Api-Key": {secret}, "Cookie": {"key=" + secret}, "X-Forwarded-Authorization": {secret}}
	for _, i := range f.instances {
		forwarded, err := f.caller(i, teamCrews).Call(t.Context(), http.MethodGet, "/services/dispatch/lookups/odd", nil, planted.Clone())
		if err != nil || forwarded.Status != http.StatusOK {
			t.Errorf("%s, key in headers: %v, %+v", i.id, err, forwarded)
		}
		refused, err := f.caller(i, teamCrews).Call(t.Context(), http.MethodGet, "/services/dispatch/lookups/odd?key="+secret, nil, nil)
		if err != nil || refused.Status != http.StatusBadRequest || refused.Refusal == nil || !refused.Refusal.NotRun {
			t.Errorf("%s, key in the query: %v, %+v", i.id, err, refused)
		}
	}
}

// testStartingInstance starts an instance that can reach neither the platform
// nor peers. Until it can, it knows no releases and must refuse requests as not
// ready.
func testStartingInstance(t *testing.T, f *fleet) {
	starting := f.newInstance(t, "instance-late", zones[0])
	starting.platform.setState(linkSilent)
	f.start(t, starting)
	starting.callerAddress = starting.listenAddress
	reply, err := f.caller(starting, teamCrews).Complete(t.Context(), request(crewsAdapter, "too early", 1))
	if err != nil || reply.Status != http.StatusServiceUnavailable || reply.Refusal == nil || reply.Refusal.Code != "not_ready" || !reply.Refusal.NotRun {
		t.Errorf("before it knows the releases: %v, %+v, %+v", err, reply, reply.Refusal)
	}
	// The links that were silenced stay silent, so they are closed to make the
	// instance connect again.
	starting.platform.setState(linkUp)
	starting.platform.setState(linkCut)
	starting.platform.setState(linkUp)
	f.awaitReady(t, starting)
	f.mustAnswer(t, starting, "in time")
	starting.process.signal(syscall.SIGTERM)
	if code := starting.process.exit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// awaitReady waits until an instance reports that it is ready.
func (f *fleet) awaitReady(t testing.TB, i *instance) {
	t.Helper()
	eventually(t, i.id+" is ready", func() bool {
		ready := standin.Caller{URL: "http://" + i.listenAddress.String()}
		reply, err := ready.Call(t.Context(), http.MethodGet, "/readyz", nil, nil)
		return err == nil && reply.Status == http.StatusOK
	})
}

// testShutdown shuts down each instance in turn during a stream, which must not
// be cut.
func testShutdown(t *testing.T, f *fleet) {
	for _, i := range f.instances {
		streamed := request(crewsAdapter, "The season plan, please, for "+i.id, 120)
		type outcome struct {
			reply standin.Reply
			err   error
		}
		before := f.engineRequests(t)
		outcomes := make(chan outcome)
		go func() {
			reply, err := f.caller(i, teamCrews).Complete(t.Context(), streamed)
			outcomes <- outcome{reply, err}
		}()
		eventually(t, "the stream runs", func() bool { return f.engineRequests(t) > before })
		i.process.signal(syscall.SIGTERM)
		if o := <-outcomes; o.err != nil || !o.reply.IsComplete(streamed) {
			t.Errorf("%s cut a stream: %v, %+v", i.id, o.err, o.reply)
		}
		if code := i.process.exit(t); code != 0 {
			t.Errorf("%s ended with exit code %d", i.id, code)
		}
	}
}
