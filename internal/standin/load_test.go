package standin_test

import (
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

func TestLoadGeneratorChecksEachAnswer(t *testing.T) {
	url := startEngine(t, &standin.Engine{StepTime: time.Millisecond})
	mustCall(t, "POST", url+"/v1/adapters/load", `{"adapter":"a@1"}`)
	mustCall(t, "PUT", url+"/admin/faults", `{"wrong_model":3}`)
	for _, stream := range []bool{true, false} {
		l := standin.LoadGenerator{
			Caller:      standin.Caller{URL: url},
			Models:      []string{"a@1", "absent@1"},
			Rate:        200,
			Duration:    200 * time.Millisecond,
			MaxTokens:   5,
			PromptBytes: 100,
			Stream:      stream,
			MaxInFlight: 100,
			Seed:        1,
		}
		r := l.Run(t.Context())
		wrong := 0
		if stream {
			wrong = 3
		}
		if r.Wrong != wrong || r.Broken != 0 || r.Refused["adapter_not_loaded"] == 0 || r.Complete != r.Sent-wrong-r.Refused["adapter_not_loaded"] {
			t.Fatalf("stream %v: %+v", stream, r)
		}
	}
}
