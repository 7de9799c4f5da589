package callerapi_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/callerapi"
	"heatherrelay/pkg/release"
)

// sendRaw sends bytes on a new connection and returns the status of the first
// response, or 0 if there is none.
func sendRaw(t *testing.T, url string, raw []byte) int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatalf("the server accepts no more connections: %v", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write(raw); err != nil {
		return 0
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// startForFuzzing starts one server for all inputs of a fuzz target.
func startForFuzzing(f *testing.F) *testServer {
	f.Helper()
	state, err := (&release.State{}).Apply(1, testNote)
	if err != nil {
		f.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	ts := &testServer{url: "http://" + listener.Addr().String()}
	ts.Server = callerapi.Server{
		State:              func() *release.State { return state },
		Authenticate:       func(s *release.State, _ string) (release.Key, error) { return testNote.Keys[0], nil },
		CheckKeysConfirmed: func() error { return nil },
		Admit:              ts.admit,
		Execute:            ts.execute,
		Call:               ts.call,
		Listener:           listener,
		Limits: callerapi.Limits{
			MaxBodyBytes: 4096, DefaultMaxTokens: 16, MaxTokens: 100, BytesPerToken: 4, RequestTimeout: 20 * time.Second,
		},
		Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go func() { _ = ts.Run(ctx) }()
	return ts
}

// checkAlive fails the test unless the liveness probe succeeds.
func checkAlive(t *testing.T, ts *testServer) {
	t.Helper()
	if got := ts.do(t, http.MethodGet, "/livez", ""); got.status != http.StatusOK {
		t.Fatalf("the server is not alive: %+v", got)
	}
}

// FuzzBody sends arbitrary bodies to the model APIs: no body may cause a server
// error, and only requests for existing adapters may be executed.
func FuzzBody(f *testing.F) {
	f.Add("completions", []byte(`{"model":"mowing@1","prompt":"p","max_tokens":7,"stream":true}`))
	f.Add("chat/completions", []byte(`{"model":"mowing@1","messages":[{"role":"user","content":"a"}],"n":1}`))
	f.Add("completions", []byte(`{"model":"mowing@1","prompt":["a"],"max_tokens":1e9,"temperature":{"x":[[[]]]}}`))
	f.Add("completions", []byte("{\"model\":\"mowing@1\",\"prompt\":\"\xff\\ud800\"}"))
	ts := startForFuzzing(f)
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		ts.resetRecorded()
		if path != "chat/completions" {
			path = "completions"
		}
		got := ts.post(t, "/v1/"+path, string(body))
		if got.status >= http.StatusInternalServerError {
			t.Errorf("status %d for %q: %s", got.status, body, got.body)
		}
		requests, _, _ := ts.recorded()
		for _, r := range requests {
			if _, ok := map[string]bool{"mowing@1": true, "mowing@2": true}[r.Adapter.String()]; !ok || r.Tokens() < 2 {
				t.Errorf("request %+v from %q", r, body)
			}
		}
		checkAlive(t, ts)
	})
}

// FuzzHeader sends arbitrary request lines and headers: none may cause an internal
// error or stop the server.
func FuzzHeader(f *testing.F) {
	f.Add("POST /v1/completions HTTP/1.1", []byte("Authorization: Bearer "+callerKey+"\r\nContent-Length: 3\r\n\r\n{}x"))
	f.Add("GET /services/rounds/%2e?%zz HTTP/1.1", []byte("Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add("PUT /services/posting/ HTTP/1.0", []byte("Content-Length: -1\r\nContent-Length: 9\r\n\r\n"))
	f.Add("\x00 / HTTP/9.9", []byte("A\r\n :\r\n\r\n"))
	ts := startForFuzzing(f)
	f.Fuzz(func(t *testing.T, line string, rest []byte) {
		raw := fmt.Appendf(nil, "%s\r\nHost: x\r\n%s", line, rest)
		if status := sendRaw(t, ts.url, raw); status == http.StatusInternalServerError {
			t.Errorf("status %d for %q", status, raw)
		}
		checkAlive(t, ts)
	})
}
