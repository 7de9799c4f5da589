package callerapi_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

// TestShutdownEndsIdleConnectionsAndWaitsForStreams shuts down while one
// connection is idle and one stream is running: the idle connection must not delay
// the shutdown, and the stream must end complete.
func TestShutdownEndsIdleConnectionsAndWaitsForStreams(t *testing.T) {
	started := make(chan struct{})
	finish := make(chan struct{})
	ts := start(t, func(ts *testServer) {
		ts.Execute = func(_ context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
			if err := emit(chunk(r, 0, "one")); err != nil {
				return target.Usage{}, err
			}
			close(started)
			<-finish
			return target.Usage{PromptTokens: 1, CompletionTokens: 1}, emit(lastChunk(r, 1))
		}
	})
	ts.do(t, "GET", "/livez", "") // Leaves an idle keep-alive connection.
	streamed := make(chan httpResponse, 1)
	go func() { streamed <- ts.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p","stream":true}`) }()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- ts.stop() }()
	for !ts.Draining() {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	if got := <-streamed; !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
		t.Errorf("stream interrupted by the shutdown: %q", got.body)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Run() = %v", err)
	}
}

// TestStreamIsCanceledWhenItsCallerDisconnects closes the response of a running
// stream: emit must fail with CodeCallerGone so that the execution stops.
func TestStreamIsCanceledWhenItsCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	ts := start(t, func(ts *testServer) {
		ts.Execute = func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
			for i := 0; ctx.Err() == nil; i++ {
				if err := emit(chunk(r, i, strings.Repeat("word ", 100))); err != nil {
					ended <- err
					return target.Usage{}, err
				}
			}
			ended <- ctx.Err()
			return target.Usage{}, ctx.Err()
		}
	})
	request, _ := http.NewRequest(http.MethodPost, ts.url+"/v1/completions", strings.NewReader(`{"model":"mowing@1","prompt":"p","stream":true}`))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if err := <-ended; refusal.From(err).Code != refusal.CodeCallerGone {
		t.Errorf("emit error = %v", err)
	}
}
