package gatewayinstance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/platform/platformtest"
)

// rawHead returns the head of a request that may run once, with a framing of its body.
func rawHead(id, key, framing string) string {
	return fmt.Sprintf("POST /post/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 3000\r\n%s\r\n\r\n", platformtest.Host, id, key, framing)
}

// dialClient opens a connection to an instance that is closed at the end of the test.
func dialClient(t *testing.T, i *instance) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", i.settings.Listen.Clients.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readReply reads a response and its body.
func readReply(t *testing.T, reader *bufio.Reader) reply {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// TestRefusalReachesClientsThatSendOn guards against refusals that get lost since the instance
// closes the connection while the client still sends a body that won't be read.
func TestRefusalReachesClientsThatSendOn(t *testing.T) {
	t.Parallel()
	const size = 7 << 20
	c := newTestCluster(t, 1)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for name, request := range map[string]struct {
		head, body string
		status     int
	}{
		"announced":        {rawHead("a", testKey, fmt.Sprint("Content-Length: ", size)), strings.Repeat("x", size), http.StatusRequestEntityTooLarge},
		"in chunks":        {rawHead("b", testKey, "Transfer-Encoding: chunked"), strings.Repeat(chunk, size/len(chunk)) + "0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"unknown key":      {rawHead("c", "unknown", "Transfer-Encoding: chunked"), strings.Repeat(chunk, size/len(chunk)), http.StatusUnauthorized},
		"only its head":    {rawHead("d", testKey, fmt.Sprint("Content-Length: ", size)), strings.Repeat("x", 10<<10), http.StatusRequestEntityTooLarge},
		"broken in chunks": {rawHead("e", testKey, "Transfer-Encoding: chunked"), "x\r\n" + strings.Repeat("x", 1<<20), http.StatusBadRequest},
	} {
		conn := dialClient(t, c.instances[0])
		if _, err := io.WriteString(conn, request.head+request.body); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		got := readReply(t, bufio.NewReader(conn))
		if got.status != request.status || got.header.Get("Connection") != "close" || got.err != nil {
			t.Errorf("%s: status %d, headers %v, error %v, want %d", name, got.status, got.header, got.err, request.status)
		}
	}
	if n := len(c.plain.ReceivedRequests()); n > 0 {
		t.Errorf("%d requests reached the target", n)
	}
}

// TestConnectionServesOnAfterBodies guards against a connection that serves nothing more, or
// the rest of a body as a request, after bodies of each framing, and after a client that
// waits for 100 (Continue).
func TestConnectionServesOnAfterBodies(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1)
	c.config.Version, c.config.MaxBodyBytes = 2, 1<<20
	c.config.Publish(c.store)
	large := strings.Repeat("x", 100<<10)
	c.waitFor("the limit is in force", func() bool {
		return c.sendBody(c.instances[0], http.MethodPost, "/post/", large, nil).status == http.StatusOK
	})
	conn := dialClient(t, c.instances[0])
	reader := bufio.NewReader(conn)
	for n, framed := range []struct{ framing, body string }{
		{"Content-Length: 4", "body"},
		{fmt.Sprint("Content-Length: ", len(large)), large},
		{"Transfer-Encoding: chunked", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"},
		{"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\nLast: x\r\n\r\n", len(large), large)},
		{"Content-Length: 0", ""},
		{"Content-Length: 4\r\nExpect: 100-continue", "body"},
	} {
		id := fmt.Sprint("kept-", n)
		if _, err := io.WriteString(conn, rawHead(id, testKey, framed.framing)); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(framed.framing, "Expect") {
			if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
				t.Fatalf("%q, %v", line, err)
			}
			if _, err := reader.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := io.WriteString(conn, framed.body); err != nil {
			t.Fatal(err)
		}
		if got := readReply(t, reader); got.status != http.StatusOK || got.header.Get("Request-Id") != id {
			t.Fatalf("%s: status %d, headers %v, error %v", framed.framing, got.status, got.header, got.err)
		}
	}
	received := c.plain.ReceivedRequests()
	want := []string{"body", large, "body", large, "", "body"}
	for n, body := range want {
		if got := received[len(received)-len(want)+n].Body; got != body {
			t.Errorf("request %d has a body of %d bytes, want %d", n, len(got), len(body))
		}
	}
}

// TestStalledBodyGivesWayToOthers guards against clients that hold the memory of an instance
// with bodies that they don't end. What they are told holds: they did not run.
func TestStalledBodyGivesWayToOthers(t *testing.T) {
	t.Parallel()
	const memoryMB, body = 8, 1 << 20
	c := newTestCluster(t, 0)
	c.config.MaxBodyBytes = body
	c.config.Version = 2
	c.config.Publish(c.store)
	i := c.startInstanceWith(func(g *gatewayinstance.Instance) { g.Settings.MemoryMB = memoryMB })
	var stalled []net.Conn
	for n := range memoryMB {
		conn := dialClient(t, i)
		stalled = append(stalled, conn)
		if _, err := io.WriteString(conn, rawHead(fmt.Sprint("stalled-", n), testKey, fmt.Sprint("Content-Length: ", body))+strings.Repeat("x", body-1)); err != nil {
			t.Fatal(err)
		}
	}
	c.waitFor("a large body is served", func() bool {
		return c.sendBody(i, http.MethodPost, "/post/", strings.Repeat("y", body), nil).status == http.StatusOK
	})
	refused := 0
	for _, conn := range stalled {
		if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		got := readReply(t, bufio.NewReader(conn))
		if got.err != nil {
			continue
		}
		refused++
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"not_run":true`) {
			t.Errorf("status %d, headers %v, body %s", got.status, got.header, got.body)
		}
	}
	if refused == 0 {
		t.Error("no stalled body was refused")
	}
	for _, received := range c.plain.ReceivedRequests() {
		if strings.HasPrefix(received.Header.Get("Request-Id"), "stalled") {
			t.Errorf("%s reached the target", received.Header.Get("Request-Id"))
		}
	}
}
