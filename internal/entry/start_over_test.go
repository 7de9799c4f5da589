package entry_test

import (
	"context"
	"strings"
	"testing"

	"heatherrelay/internal/target"
)

// TestOnlyAWholeAnswerMayStartOver emits a token, starts over where it may, and
// emits the whole answer.
func TestOnlyAWholeAnswerMayStartOver(t *testing.T) {
	for _, stream := range []string{"false", "true"} {
		t.Run("stream="+stream, func(t *testing.T) {
			mayStartOver := false
			b := start(t, func(b *bench) {
				b.Execute = func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error) {
					mayStartOver = r.StartOver != nil
					if !mayStartOver {
						return b.execute(ctx, r, emit)
					}
					if err := emit(chunk(r, 0, "lost ")); err != nil {
						return target.Usage{}, err
					}
					r.StartOver()
					return b.execute(ctx, r, emit)
				}
			})
			answer := b.post(t, "/v1/completions", `{"model":"mowing@2","prompt":"x","stream":`+stream+`}`)
			if answer.status != 200 || strings.Contains(answer.body, "lost") || !strings.Contains(answer.body, "three ") {
				t.Errorf("answer = %d %s", answer.status, answer.body)
			}
			if mayStartOver == (stream == "true") {
				t.Errorf("may start over: %v", mayStartOver)
			}
		})
	}
}
