package callerapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"heatherrelay/internal/callerapi"
	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

const callerKey = "planted-5f1e6c"

// testNote is the release note in force in the tests.
var testNote = release.Note{
	Adapters: []release.Adapter{
		{Name: "mowing", Version: "1", BaseModel: "base"},
		{Name: "mowing", Version: "2", BaseModel: "base"},
		{Name: "billing", Version: "1", BaseModel: "base", Teams: []string{"sombat"}},
	},
	Teams: []release.Team{
		{Name: "regie", TokensPerSecond: 100, BurstTokens: 1000, Weight: 2},
		{Name: "sombat", TokensPerSecond: 100, BurstTokens: 1000},
	},
	Keys: []release.Key{{ID: "k1", Team: "regie"}},
	Routes: []release.Route{
		{Name: "rounds", Kind: release.ServiceRoute, Service: "rounds", Repeatable: true, Open: true},
		{Name: "posting", Kind: release.ServiceRoute, Service: "posting", TokensPerCall: 5},
		{Name: "desk", Kind: release.ServiceRoute, Service: "desk", Teams: []string{"sombat"}},
	},
}

// testServer is a server whose dependencies are fakes, and the calls that the
// fakes recorded.
type testServer struct {
	callerapi.Server
	url string

	mu       sync.Mutex
	requests []target.Request
	calls    []dispatch.Call
	reserved []float64
	settled  []float64
	log      bytes.Buffer
	stop     func() error
}

// Write appends to the recorded log.
func (ts *testServer) Write(p []byte) (int, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.log.Write(p)
}

// start runs a server whose model answers "one two three " and whose services
// reply with the method and path of the call. configure may change the server
// before it starts.
func start(t *testing.T, configure func(ts *testServer)) *testServer {
	t.Helper()
	state, err := (&release.State{}).Apply(1, testNote)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ts := &testServer{url: "http://" + listener.Addr().String()}
	ts.Server = callerapi.Server{
		State: func() *release.State { return state },
		Authenticate: func(s *release.State, token string) (release.Key, error) {
			if key, ok := s.Key("k1"); ok && token == callerKey {
				return key, nil
			}
			return release.Key{}, errors.New("no such key")
		},
		CheckKeysConfirmed: func() error { return nil },
		Admit:              ts.admit,
		Execute:            ts.execute,
		Call:               ts.call,
		CheckReady:         func() error { return nil },
		Listener:           listener,
		Limits: callerapi.Limits{
			MaxBodyBytes: 4096, DefaultMaxTokens: 16, MaxTokens: 100, BytesPerToken: 4, RequestTimeout: 20 * time.Second,
		},
		Grace: 20 * time.Second,
		Log: zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()),
			zapcore.AddSync(ts), zap.DebugLevel)),
	}
	if configure != nil {
		configure(ts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ts.Run(ctx) }()
	ts.stop = sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	t.Cleanup(func() {
		if err := ts.stop(); err != nil {
			t.Errorf("Run() = %v", err)
		}
	})
	return ts
}

func (ts *testServer) admit(_ context.Context, _ string, tokens float64) (team.Reservation, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.reserved = append(ts.reserved, tokens)
	return team.Reservation{Settle: func(used float64) {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		ts.settled = append(ts.settled, used)
	}}, nil
}

func (ts *testServer) execute(_ context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
	ts.mu.Lock()
	ts.requests = append(ts.requests, r)
	ts.mu.Unlock()
	for i, word := range []string{"one ", "two ", "three "} {
		if err := emit(chunk(r, i, word)); err != nil {
			return target.Usage{}, err
		}
	}
	return target.Usage{PromptTokens: 4, CompletionTokens: 3}, emit(lastChunk(r, 3))
}

func chunk(r target.Request, offset int, text string) target.Chunk {
	choice := fmt.Sprintf(`{"index":0,"text":%q}`, text)
	if r.Path == "/v1/chat/completions" {
		choice = fmt.Sprintf(`{"index":0,"delta":{"content":%q}}`, text)
	}
	data := fmt.Sprintf(`{"id":%q,"model":%q,"offset":%d,"tokens":1,"choices":[%s]}`, r.ID, r.Adapter, offset, choice)
	return target.Chunk{Offset: offset, Tokens: 1, Data: []byte(data)}
}

func lastChunk(r target.Request, offset int) target.Chunk {
	data := fmt.Sprintf(`{"id":%q,"model":%q,"choices":[{"index":0,"text":"","finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":4,"completion_tokens":3,"total_tokens":7}}`, r.ID, r.Adapter)
	return target.Chunk{Offset: offset, Data: []byte(data)}
}

func (ts *testServer) call(_ context.Context, c dispatch.Call) (dispatch.Reply, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.calls = append(ts.calls, c)
	return dispatch.Reply{
		Status: http.StatusAccepted,
		Header: []dispatch.Header{{Name: "Content-Type", Value: "text/plain"}, {Name: "X-Internal", Value: "x"}},
		Body:   []byte(c.Method + " " + c.Path),
	}, nil
}

// httpResponse is an HTTP response that was read completely.
type httpResponse struct {
	status int
	header http.Header
	body   string
}

func (ts *testServer) do(t *testing.T, method, path, body string, header ...string) httpResponse {
	t.Helper()
	request, err := http.NewRequest(method, ts.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return httpResponse{status: response.StatusCode, header: response.Header, body: string(text)}
}

func (ts *testServer) post(t *testing.T, path, body string) httpResponse {
	t.Helper()
	return ts.do(t, http.MethodPost, path, body, "Authorization", "Bearer "+callerKey)
}

func TestNonStreamingCompletion(t *testing.T) {
	ts := start(t, nil)
	got := ts.post(t, "/v1/completions", `{"model":"mowing@2","prompt":"verge at km 4","max_tokens":7,"user":"x"}`)
	var body struct {
		ID, Object, Model string
		Choices           []struct {
			Text         string
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			TotalTokens int `json:"total_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("%v in %+v", err, got)
	}
	if body.Model != "mowing@2" || body.Choices[0].Text != "one two three " || body.Usage.TotalTokens != 7 ||
		body.Choices[0].FinishReason != "stop" || body.ID != got.header.Get("X-Request-Id") {
		t.Errorf("answer = %s", got.body)
	}
	want := `{"max_tokens":7,"model":"mowing@2","prompt":"verge at km 4","stream":true}`
	if r := ts.requests[0]; string(r.Body) != want || r.PromptTokens != 4 || r.Team != "regie" || r.TeamWeight != 2 {
		t.Errorf("request = %+v with body %s", r, r.Body)
	}
	if ts.reserved[0] != 11 || ts.settled[0] != 7 {
		t.Errorf("reserved %v, settled %v", ts.reserved, ts.settled)
	}
}

func TestNonStreamingChat(t *testing.T) {
	ts := start(t, nil)
	got := ts.post(t, "/v1/chat/completions", `{"model":"mowing@1","messages":[{"role":"user","content":"hello"}]}`)
	if !strings.Contains(got.body, `"message":{"role":"assistant","content":"one two three "}`) {
		t.Errorf("answer = %s", got.body)
	}
}

func TestStream(t *testing.T) {
	ts := start(t, nil)
	got := ts.post(t, "/v1/chat/completions", `{"model":"mowing@1","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	events := strings.Split(strings.TrimSuffix(got.body, "\n\n"), "\n\n")
	if len(events) != 5 || events[4] != "data: [DONE]" || !strings.Contains(events[1], `"content":"two "`) ||
		!strings.Contains(events[3], `"usage"`) {
		t.Errorf("events = %q", events)
	}
	if got.header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("header = %v", got.header)
	}
}

// TestBrokenStreamEndsWithAnErrorEvent fails the execution after one token. The
// stream must end with an error event, the non-streaming request with a server
// error, and both are charged all reserved tokens because they may have run.
func TestBrokenStreamEndsWithAnErrorEvent(t *testing.T) {
	failures := map[string]func(r target.Request, emit target.Emit) error{
		"refused": func(target.Request, target.Emit) error {
			return refusal.MayHaveRun(refusal.CodeBrokenStream, "the engine disconnected")
		},
		"gap":   func(r target.Request, emit target.Emit) error { return emit(chunk(r, 2, "three")) },
		"panic": func(target.Request, target.Emit) error { panic("bad chunk") },
	}
	for name, fail := range failures {
		ts := start(t, func(ts *testServer) {
			ts.Execute = func(_ context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
				if err := emit(chunk(r, 0, "one")); err != nil {
					return target.Usage{}, err
				}
				return target.Usage{}, fail(r, emit)
			}
		})
		got := ts.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p","max_tokens":9,"stream":true}`)
		if strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, "event: error\ndata: {\"error\":{\"code\":") ||
			!strings.Contains(got.body, `"not_run":false`) {
			t.Errorf("%s: stream = %q", name, got.body)
		}
		if complete := ts.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p","max_tokens":9}`); complete.status < 500 {
			t.Errorf("%s: complete answer = %+v", name, complete)
		}
		if ts.settled[0] != ts.reserved[0] {
			t.Errorf("%s: settled %v of %v", name, ts.settled, ts.reserved)
		}
	}
}

func TestRefusals(t *testing.T) {
	validBody := `{"model":"mowing@1","prompt":"p"}`
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     refusal.Code
	}{
		{"no key", "POST", "/v1/completions", validBody, nil, 401, refusal.CodeUnauthenticated},
		{"wrong key", "POST", "/v1/completions", validBody, []string{"Authorization", "Bearer x"}, 401, refusal.CodeUnauthenticated},
		{"no key, bad body", "POST", "/v1/completions", `{`, nil, 401, refusal.CodeUnauthenticated},
		{"other team's adapter", "POST", "/v1/completions", `{"model":"billing@1","prompt":"p"}`, keyHeader(), 403, refusal.CodeForbidden},
		{"unknown adapter", "POST", "/v1/completions", `{"model":"mowing@9","prompt":"p"}`, keyHeader(), 404, refusal.CodeUnknownAdapter},
		{"no version", "POST", "/v1/completions", `{"model":"mowing","prompt":"p"}`, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"malformed", "POST", "/v1/completions", `{"model":`, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"two objects", "POST", "/v1/completions", validBody + validBody, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"null", "POST", "/v1/completions", `null`, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"unknown field", "POST", "/v1/completions", `{"model":"mowing@1","prompt":"p","tools":[]}`, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"too many tokens", "POST", "/v1/completions", `{"model":"mowing@1","prompt":"p","max_tokens":101}`, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"key in prompt", "POST", "/v1/completions", `{"model":"mowing@1","prompt":"pl\u0061nted-5f1e6c"}`, keyHeader(), 400, refusal.CodeInvalidRequest},
		{"too large", "POST", "/v1/completions", strings.Repeat(" ", 5000), keyHeader(), 413, refusal.CodeBodyTooLarge},
		{"unknown path", "GET", "/v2", "", keyHeader(), 404, refusal.CodeUnknownRoute},
		{"wrong method", "GET", "/v1/completions", "", keyHeader(), 405, refusal.CodeUnknownRoute},
		{"bad limit", "GET", "/v1/models?limit=0", "", keyHeader(), 400, refusal.CodeInvalidRequest},
		{"unknown service", "POST", "/services/nothing/x", "", keyHeader(), 404, refusal.CodeUnknownRoute},
		{"service without key", "POST", "/services/posting/x", "", nil, 401, refusal.CodeUnauthenticated},
		{"wrong key on open route", "GET", "/services/rounds/x", "", []string{"Authorization", "Bearer x"}, 401, refusal.CodeUnauthenticated},
		{"service of another team", "POST", "/services/desk/x", "", keyHeader(), 403, refusal.CodeForbidden},
		{"key in query", "POST", "/services/posting/x?api_key=planted%2D5f1e6c", "", keyHeader(), 400, refusal.CodeInvalidRequest},
		{"dot segments", "GET", "/services/rounds/../posting/x", "", nil, 400, refusal.CodeInvalidRequest},
		{"encoded dot segments", "GET", "/services/rounds/%2e%2e/posting/x", "", nil, 400, refusal.CodeInvalidRequest},
		{"encoded slash", "GET", "/services/rounds/a%2Fb", "", nil, 400, refusal.CodeInvalidRequest},
		{"empty segment", "GET", "/services/rounds/a//b", "", nil, 400, refusal.CodeInvalidRequest},
		{"key in a forwarded header", "POST", "/services/posting/x", "", append(keyHeader(), "Accept", callerKey), 400, refusal.CodeInvalidRequest},
	}
	ts := start(t, nil)
	for _, c := range cases {
		got := ts.do(t, c.method, c.path, c.body, c.header...)
		var body struct {
			Error struct {
				Code      refusal.Code
				NotRun    bool   `json:"not_run"`
				RequestID string `json:"request_id"`
			}
		}
		if err := json.Unmarshal([]byte(got.body), &body); err != nil {
			t.Errorf("%s: %v in %q", c.name, err, got.body)
			continue
		}
		if got.status != c.status || body.Error.Code != c.code || !body.Error.NotRun ||
			body.Error.RequestID == "" || body.Error.RequestID != got.header.Get("X-Request-Id") {
			t.Errorf("%s: got %d %s", c.name, got.status, got.body)
		}
	}
	if len(ts.requests)+len(ts.calls) > 0 {
		t.Errorf("%d requests and %d calls reached a target", len(ts.requests), len(ts.calls))
	}
	if strings.Contains(ts.log.String(), callerKey) {
		t.Error("the log contains the key")
	}
}

// keyHeader returns the name and value of the header with a valid key.
func keyHeader() []string { return []string{"Authorization", "Bearer " + callerKey} }

func TestRetryAfter(t *testing.T) {
	ts := start(t, func(ts *testServer) {
		ts.Admit = func(context.Context, string, float64) (team.Reservation, error) {
			return team.Reservation{}, refusal.NotRun(refusal.CodeRateLimited, "over the rate").WithRetryAfter(1200 * time.Millisecond)
		}
	})
	got := ts.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p"}`)
	if got.status != 429 || got.header.Get("Retry-After") != "2" || !strings.Contains(got.body, `"retry_after_ms":1200`) {
		t.Errorf("answer = %+v", got)
	}
}

func TestServiceCall(t *testing.T) {
	ts := start(t, nil)
	got := ts.do(t, "POST", "/services/posting/a%20b/c?x=1", "body", "Authorization", "Bearer "+callerKey,
		"Idempotency-Key", "once", "Cookie", callerKey, "X-Api-Key", callerKey, "Content-Type", "text/plain")
	if got.status != 202 || got.header.Get("X-Internal") != "" {
		t.Errorf("answer = %+v", got)
	}
	c := ts.calls[0]
	if c.Service != "posting" || c.Path != "/a%20b/c" || c.Query != "x=1" || c.IdempotencyKey != "once" || c.Repeatable || c.Team != "regie" {
		t.Errorf("call = %+v", c)
	}
	if text := fmt.Sprintf("%+v %s", c, c.Body); strings.Contains(text, callerKey) {
		t.Errorf("the call contains the key: %s", text)
	}
	if ts.settled[0] != 5 {
		t.Errorf("settled %v", ts.settled)
	}
}

func TestModelsArePagedAndLimitedToTheTeam(t *testing.T) {
	ts := start(t, nil)
	first := ts.do(t, "GET", "/v1/models?limit=1", "", keyHeader()...)
	if !strings.Contains(first.body, `"id":"mowing@1"`) || !strings.Contains(first.body, `"has_more":true,"next_after":"mowing@1"`) {
		t.Errorf("first page = %s", first.body)
	}
	second := ts.do(t, "GET", "/v1/models?limit=1&after=mowing@1", "", keyHeader()...)
	if !strings.Contains(second.body, `"id":"mowing@2"`) || !strings.Contains(second.body, `"has_more":false`) {
		t.Errorf("second page = %s", second.body)
	}
}
