package gatewayinstance_test

import (
	"net/http"
	"testing"

	"heatherrelay/internal/gatewayinstance"
)

// TestStreamsAreServedWhoeverAssignsTheirPrompts guards against prompts that wait for a lease
// holder that has left: the instance chooses the engine itself until there is another one.
func TestStreamsAreServedWhoeverAssignsTheirPrompts(t *testing.T) {
	const (
		requests    = 20
		assignments = "heatherrelay_gateway_prompt_assignments_total"
	)
	c := newTestCluster(t, 0)
	assign := func(i *gatewayinstance.Instance) { i.Settings.Decisions.Prompts = gatewayinstance.ModeOn }
	first, second := c.startInstanceWith(assign), c.startInstanceWith(assign)
	whole := func() bool {
		return c.sendThrough(second, http.MethodPost, "/stream/x", withAdapter("a1")).status == http.StatusOK
	}
	c.waitFor("prompts are assigned", func() bool { return whole() && second.counter(t, assignments, "home") > 0 })
	for range requests {
		if !whole() {
			t.Fatal("no stream while prompts are assigned")
		}
	}
	first.stop()
	for range requests {
		if !whole() {
			t.Fatal("no stream after an instance left")
		}
	}
	assigned := second.counter(t, assignments, "home")
	c.waitFor("prompts are assigned again", func() bool { return whole() && second.counter(t, assignments, "home") > assigned })
}
