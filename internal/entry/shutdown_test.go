package entry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

func TestShutdownEndsIdleConnectionsAndWaitsForStreams(t *testing.T) {
	started := make(chan struct{})
	goOn := make(chan struct{})
	b := start(t, func(b *bench) {
		b.Execute = func(_ context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
			if err := emit(chunk(r, 0, "one")); err != nil {
				return target.Usage{}, err
			}
			close(started)
			<-goOn
			return target.Usage{PromptTokens: 1, CompletionTokens: 1}, emit(lastChunk(r, 1))
		}
	})
	b.do(t, "GET", "/livez", "") // Leaves an idle keep-alive connection.
	streamed := make(chan answer, 1)
	go func() { streamed <- b.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p","stream":true}`) }()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- b.stop() }()
	for !b.Draining() {
		time.Sleep(time.Millisecond)
	}
	close(goOn)
	if got := <-streamed; !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
		t.Errorf("stream cut by the shutdown: %q", got.body)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Run() = %v", err)
	}
}

func TestCallerGoneEndsTheRun(t *testing.T) {
	ended := make(chan error, 1)
	b := start(t, func(b *bench) {
		b.Execute = func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
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
	request, _ := http.NewRequest(http.MethodPost, b.url+"/v1/completions", strings.NewReader(`{"model":"mowing@1","prompt":"p","stream":true}`))
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if err := <-ended; refusal.From(err).Code != refusal.CodeCallerGone {
		t.Errorf("emit error = %v", err)
	}
}
