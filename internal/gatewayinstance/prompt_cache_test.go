package gatewayinstance_test

import (
	"net/http"
	"testing"

	"heatherrelay/internal/gatewayinstance"
)

// TestSessionsReturnToTheirEngine covers the requests of a session, one after the other: with
// the setting they go to one engine, and from the second one on the outcome line says what is
// held there; without it nothing is said.
func TestSessionsReturnToTheirEngine(t *testing.T) {
	for _, mode := range []gatewayinstance.Mode{gatewayinstance.ModeOn, gatewayinstance.ModeOff} {
		t.Run(string(mode), func(t *testing.T) {
			cluster := newTestCluster(t, 0)
			cluster.startInstanceWith(func(g *gatewayinstance.Instance) { g.Settings.Decisions.PromptCache = mode })
			const requests = 8
			session := func(h http.Header) {
				withModel(h)
				h.Set("Token-Count", "100,50")
				h.Set("Prompt-Prefix", "system:20,tools:10,session-1:60")
			}
			for range requests {
				if answer := cluster.send(http.MethodPost, "/stream/", session); answer.status != http.StatusOK {
					t.Fatalf("status %d, %v", answer.status, answer.err)
				}
			}
			cluster.waitFor("outcome lines", func() bool { return cluster.logs.FilterMessage("streamed").Len() == requests })
			outcomes := map[any]int{}
			targets := map[any]bool{}
			for i, line := range cluster.logs.FilterMessage("streamed").All() {
				fields := line.ContextMap()
				outcomes[fields["prompt_cache"]]++
				targets[fields["target"]] = true
				if tokens := fields["cached_tokens"]; mode == gatewayinstance.ModeOn && i > 0 && tokens != int64(90) {
					t.Errorf("request %d: %v cached tokens", i, tokens)
				}
			}
			if mode == gatewayinstance.ModeOff {
				if outcomes[nil] != requests {
					t.Errorf("without the setting the outcome lines say %v", outcomes)
				}
				return
			}
			if len(targets) != 1 || outcomes["held"] != requests-1 {
				t.Errorf("%d engines, outcomes %v", len(targets), outcomes)
			}
		})
	}
}
