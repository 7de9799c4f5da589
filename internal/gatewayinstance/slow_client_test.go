package gatewayinstance_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// startEndlessStream has the engines send events without a pause, and opens a stream of them
// that may take a minute.
func startEndlessStream(t *testing.T, c *testCluster) io.Reader {
	t.Helper()
	for _, engine := range []*platformtest.Target{c.engine1, c.engine2} {
		engine.Inject(func(e *platformtest.Target) { e.Events, e.EventGap = 10_000_000, 0 })
	}
	c.config.Version = 2
	for _, route := range c.config.Routes {
		route["timeout-ms"] = 60_000
	}
	c.config.Publish(c.store)
	time.Sleep(time.Second)
	conn := dialClient(t, c.instances[0])
	head := strings.Replace(rawHead("endless", testKey, "Content-Length: 0\r\nModel: "+platformtest.Model+"/a1\r\nToken-Count: 100,50"), "Deadline-Ms: 3000", "Deadline-Ms: 60000", 1)
	if _, err := io.WriteString(conn, strings.Replace(head, "/post/", "/stream/", 1)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// abortedStreams returns how many streams of an engine its client has ended.
func abortedStreams(c *testCluster) int {
	n := 0
	for _, engine := range []*platformtest.Target{c.engine1, c.engine2} {
		for _, received := range engine.ReceivedRequests() {
			if received.Aborted {
				n++
			}
		}
	}
	return n
}

// TestStreamOfAClientThatDoesNotReadIsCut guards against a client that has a target work on,
// or cut the stream off, because it does not take its events: it is cut, never told that
// the stream is complete, and the target's run ends.
func TestStreamOfAClientThatDoesNotReadIsCut(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1)
	conn := startEndlessStream(t, c)
	c.waitFor("the target's run is cancelled", func() bool { return abortedStreams(c) == 1 })
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Error("the client was told that the stream is complete")
	}
	if n := len(c.engine1.ReceivedRequests()) + len(c.engine2.ReceivedRequests()); n != 1 {
		t.Errorf("%d requests reached the targets, want 1", n)
	}
	if cuts := c.instances[0].total(t, "heatherrelay_gateway_cut_clients_total"); cuts != 1 {
		t.Errorf("%v clients were cut, want 1", cuts)
	}
}

// TestStreamOfASlowClientGoesOn guards against cutting a client that takes its events, if
// slowly.
func TestStreamOfASlowClientGoesOn(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1)
	reader := bufio.NewReader(startEndlessStream(t, c))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 64<<10)
	for n := range 30 {
		if _, err := io.ReadFull(response.Body, buffer); err != nil {
			t.Fatal(fmt.Errorf("part %d: %w", n, err))
		}
		time.Sleep(200 * time.Millisecond)
	}
	if n := abortedStreams(c); n != 0 {
		t.Errorf("%d streams were cut", n)
	}
}
