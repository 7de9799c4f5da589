package callerapi_test

import (
	"context"
	"strings"
	"testing"

	"heatherrelay/internal/target"
)

// TestOnlyNonStreamingRequestsMayStartOver emits a token, starts over if the
// request allows it, and emits the complete answer. A stream must not allow it,
// because its caller may already have received the token.
func TestOnlyNonStreamingRequestsMayStartOver(t *testing.T) {
	for _, stream := range []string{"false", "true"} {
		t.Run("stream="+stream, func(t *testing.T) {
			mayStartOver := false
			ts := start(t, func(ts *testServer) {
				ts.Execute = func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
					mayStartOver = r.DiscardEmitted != nil
					if !mayStartOver {
						return ts.execute(ctx, r, emit)
					}
					if err := emit(chunk(r, 0, "lost ")); err != nil {
						return target.Usage{}, err
					}
					r.DiscardEmitted()
					return ts.execute(ctx, r, emit)
				}
			})
			got := ts.post(t, "/v1/completions", `{"model":"mowing@2","prompt":"x","stream":`+stream+`}`)
			if got.status != 200 || strings.Contains(got.body, "lost") || !strings.Contains(got.body, "three ") {
				t.Errorf("answer = %d %s", got.status, got.body)
			}
			if mayStartOver == (stream == "true") {
				t.Errorf("may start over: %v", mayStartOver)
			}
		})
	}
}
