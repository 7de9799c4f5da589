package administration_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"heatherrelay/internal/administration"
	"heatherrelay/internal/key"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

const validNote = "[[teams]]\nname = \"crews\"\ntokens_per_second = 5\nburst_tokens = 50\n"

// testServer is a running server that publishes to an in-memory store.
type testServer struct {
	t        *testing.T
	baseURL  string
	operator key.Key
	logs     *observer.ObservedLogs
}

// start runs a server. If publish is not nil, it replaces the publisher.
func start(t *testing.T, publish func(context.Context, release.Note) (publication.Attempt, error)) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var memory objectstore.Memory
	publisher := publication.Publisher{Store: memory.Store()}
	if publish == nil {
		publish = publisher.Publish
	}
	core, logs := observer.New(zap.DebugLevel)
	ts := &testServer{t: t, baseURL: "http://" + listener.Addr().String(), operator: key.Generate(), logs: logs}
	server := administration.Server{
		Listener:  listener,
		Keys:      []administration.OperatorKey{{ID: "other", Hash: key.Generate().Hash()}, {ID: ts.operator.ID, Hash: ts.operator.Hash()}},
		Publish:   publish,
		Resume:    publisher.Resume,
		Status:    publication.StatusReader{Store: memory.Store()}.Read,
		Targets:   func() []administration.Target { return []administration.Target{{ID: "worker-1", Owner: "i1"}} },
		Teams:     func() []administration.Team { return []administration.Team{{Name: "crews", RemainingTokens: 7}} },
		Readiness: func() administration.Readiness { return administration.Readiness{Ready: true, ReleaseInForce: 3} },
		Log:       zap.New(core),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ts
}

func (ts *testServer) call(method, path, authorization, body string) (int, string) {
	ts.t.Helper()
	request, err := http.NewRequest(method, ts.baseURL+path, strings.NewReader(body))
	if err != nil {
		ts.t.Fatal(err)
	}
	request.Header.Set("Authorization", authorization)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		ts.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		ts.t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func TestOperatorRequests(t *testing.T) {
	ts := start(t, nil)
	auth := "Bearer " + ts.operator.Text()
	for _, c := range []struct {
		method, path, body string
		status             int
		contains           string
	}{
		{"POST", "/v1/releases/lint", validNote, 200, `{"valid":true}`},
		{"POST", "/v1/releases/lint", "[[teams]]\nname = 3", 400, `"problems":[{"path":"teams[0].name"`},
		{"POST", "/v1/releases", "title = 1", 400, `"not_run":true`},
		{"POST", "/v1/releases", validNote, 201, `"number":1`},
		{"POST", "/v1/releases", validNote, 201, `"number":2`},
		{"POST", "/v1/releases?resume=abc@2", validNote, 201, `"number":3`},
		{"POST", "/v1/releases?resume=abc@3", validNote, 201, `"number":3`},
		{"POST", "/v1/releases?resume=abc", validNote, 400, `"not_run":true`},
		{"GET", "/v1/releases/3", "", 200, `"accepted":true,"in_force":false`},
		{"GET", "/v1/releases/x", "", 400, `"invalid_request"`},
		{"GET", "/v1/targets", "", 200, `"owner":"i1"`},
		{"GET", "/v1/teams", "", 200, `"remaining_tokens":7`},
		{"GET", "/v1/readiness", "", 200, `"release_in_force":3`},
		{"GET", "/v1/nothing", "", 404, `"unknown_route"`},
	} {
		status, body := ts.call(c.method, c.path, auth, c.body)
		if status != c.status || !strings.Contains(body, c.contains) {
			t.Errorf("%s %s: %d %s, want %d with %s", c.method, c.path, status, body, c.status, c.contains)
		}
	}
}

// TestOnlyOperatorsAreAuthenticated sends missing, unknown and forged keys: every
// path must refuse them, and no key may appear in the log.
func TestOnlyOperatorsAreAuthenticated(t *testing.T) {
	ts := start(t, nil)
	caller, forged := key.Generate(), key.Generate()
	forged.ID = ts.operator.ID
	for _, authorization := range []string{"", "Bearer", "Bearer " + caller.Text(), "Bearer " + forged.Text(), "Basic " + ts.operator.Text()} {
		for _, path := range []string{"/v1/releases", "/v1/targets", "/v1/nothing"} {
			if status, body := ts.call("POST", path, authorization, validNote); status != 401 || !strings.Contains(body, `"not_run":true`) {
				t.Errorf("%s: %d %s", path, status, body)
			}
		}
	}
	for _, entry := range ts.logs.All() {
		for _, k := range []key.Key{caller, forged, ts.operator} {
			if strings.Contains(entry.Message+entry.ContextMap()["error"].(string), k.Text()) {
				t.Errorf("the log contains a key: %v", entry)
			}
		}
	}
}

// TestUncertainPublishCanBeResumed checks that a publish of uncertain outcome
// returns the resume parameter to repeat it with.
func TestUncertainPublishCanBeResumed(t *testing.T) {
	ts := start(t, func(context.Context, release.Note) (publication.Attempt, error) {
		return publication.Attempt{PublishID: "abc", Number: 9}, publication.ErrUncertain.New("as number 9")
	})
	status, body := ts.call("POST", "/v1/releases", "Bearer "+ts.operator.Text(), validNote)
	if status != 503 || !strings.Contains(body, `"not_run":false`) || !strings.Contains(body, `"resume":"abc@9"`) {
		t.Errorf("%d %s", status, body)
	}
}
