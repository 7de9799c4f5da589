package gatewayinstance_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
)

// TestBurstWaitsForRoomAtTheEngines guards against a burst of streams, three times what the
// engines run at once, of which those are refused that could begin a moment later.
func TestBurstWaitsForRoomAtTheEngines(t *testing.T) {
	t.Parallel()
	// Engines let some requests more than their slots wait.
	const burst, room = 48, 12
	cluster := newTestCluster(t, 0)
	for _, engine := range cluster.targets[:2] {
		engine.Room, engine.EventGap = room, 20*time.Millisecond
	}
	first := cluster.startInstanceWith(func(i *gatewayinstance.Instance) { i.Settings.Decisions.Admission = gatewayinstance.ModeOn })
	var group sync.WaitGroup
	for n := range burst {
		group.Go(func() {
			id := fmt.Sprint("burst-", n)
			got := cluster.sendThrough(first, http.MethodPost, "/draft/", func(h http.Header) { h.Set("Model", "base"); h.Set("Request-Id", id) })
			if got.status != http.StatusOK || got.body != streamBody(eventCount) {
				t.Errorf("%s: %d %q; logged: %s", id, got.status, got.body, cluster.logged(id))
			}
		})
	}
	group.Wait()
}

// TestWaitingRequestEndsWithItsClient guards against requests that take their turn in the
// line after their clients have left, and against a line that stops.
func TestWaitingRequestEndsWithItsClient(t *testing.T) {
	t.Parallel()
	const clients = 24
	cluster := newTestCluster(t, 0)
	for _, engine := range cluster.targets[:2] {
		engine.EventGap = 60 * time.Millisecond
	}
	first := cluster.startInstanceWith(func(i *gatewayinstance.Instance) { i.Settings.Decisions.Admission = gatewayinstance.ModeOn })
	withModel := func(h http.Header) { h.Set("Model", "base") }
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if response, err := cluster.open(ctx, first, http.MethodPost, "/draft/", withModel); err == nil {
				_ = response.Body.Close()
			}
		})
	}
	group.Wait()
	ran := executions(cluster.engine1) + executions(cluster.engine2)
	if ran >= clients {
		t.Errorf("%d requests of clients that left ran on engines with 16 slots", ran)
	}
	cluster.waitFor("the next stream", func() bool {
		return cluster.sendThrough(first, http.MethodPost, "/draft/", withModel).status == http.StatusOK
	})
}
