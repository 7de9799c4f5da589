package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/upstream"
)

// busyResponse returns a refusal with status 503; without an id it names no request.
func busyResponse(id string) string {
	named := ""
	if id != "" {
		named = fmt.Sprintf("%s: %s\r\n", idField, id)
	}
	return "HTTP/1.1 503 Busy\r\n" + named + "Content-Length: 4\r\n\r\nbusy"
}

// serveRepeating starts a server that answers the first request of each connection with
// the refusal that refuse returns for its id, and each further one with an earlier refusal
// once more, in pieces of the given size, and then with the right answer.
func serveRepeating(t *testing.T, refuse func(id string) string, piece int) netip.AddrPort {
	t.Helper()
	return loopbacktest.Serve(t, func(conn net.Conn) { repeatRefusal(conn, refuse, piece) })
}

// repeatRefusal serves one connection of serveRepeating.
func repeatRefusal(conn net.Conn, refuse func(id string) string, piece int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(idField)
		if refusal == "" {
			refusal = refuse(id)
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		for rest := refusal; rest != ""; {
			size := min(piece, len(rest))
			_, _ = io.WriteString(conn, rest[:size])
			rest = rest[size:]
			if size == piece {
				time.Sleep(time.Millisecond)
			}
		}
		_, _ = io.WriteString(conn, okResponse(id, "ran "+id))
	}
}

// TestRepeatedRefusalIsNotTakenForTheNextAnswer guards against callers that are told "not
// run" of a request that the target runs: it sends an earlier refusal once more, just
// before its answer. The refusal names no request, or the same one since that was sent
// again.
func TestRepeatedRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	unnamed := func(string) string { return busyResponse("") }
	for name, c := range map[string]struct {
		refuse func(string) string
		ids    []string
		piece  int
	}{
		"no request named":                      {unnamed, []string{"1", "2"}, 1000},
		"no request named, in pieces":           {unnamed, []string{"1", "2"}, 7},
		"no request named, same request":        {unnamed, []string{"1", "1"}, 1000},
		"no request named, requests without id": {unnamed, []string{"", ""}, 1000},
		"same request":                          {busyResponse, []string{"1", "1"}, 1000},
		"same request, in pieces":               {busyResponse, []string{"1", "1"}, 7},
		"same request after others":             {busyResponse, []string{"1", "2", "3", "1"}, 1000},
		"other request":                         {busyResponse, []string{"1", "2"}, 1000},
		"other request, then without id":        {busyResponse, []string{"1", ""}, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, address := newClient(), serveRepeating(t, c.refuse, c.piece)
			before := client.Dials.Load()
			for n, id := range c.ids {
				body, err := do(client, address, id)
				dials := client.Dials.Load()
				want := "busy"
				if dials == before {
					want = "ran " + id
				}
				if err != nil || body != want {
					t.Errorf("request %d with id %q: %q, error %v, want %q", n, id, body, err, want)
				}
				before = dials
			}
		})
	}
}

// TestUnnamedAnswerBeforeLargeRequestIsRead guards against a refusal that names no request
// and is taken for the answer to a large request: it arrives once more while that one is
// being written.
func TestUnnamedAnswerBeforeLargeRequestIsRead(t *testing.T) {
	client, address := newClient(), serveRepeating(t, func(string) string { return busyResponse("") }, 1000)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for n, size := range []int{10, 200_000} {
		response, err := client.Do(ctx, address, &upstream.Request{ID: fmt.Sprint(n), Method: http.MethodPost, URI: "/", Body: make([]byte, size)}, &upstream.Attempt{})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := response.ReadAll(); err != nil || string(body) != "busy" || client.Dials.Load() != uint64(n+1) {
			t.Errorf("request %d: %q, error %v, %d connections", n, body, err, client.Dials.Load())
		}
	}
}

// TestUnnamedAnswerOnProbedConnection checks that a connection that a probe opened carries
// its first request like a new one: an answer without a request id is its answer.
func TestUnnamedAnswerOnProbedConnection(t *testing.T) {
	client, address := newClient(), serveRepeating(t, func(string) string { return busyResponse("") }, 1000)
	if err := client.Probe(context.Background(), address); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if body, err := do(client, address, fmt.Sprint(n)); err != nil || body != "busy" || client.Dials.Load() != uint64(n+1) {
			t.Errorf("request %d: %q, error %v, %d connections", n, body, err, client.Dials.Load())
		}
	}
}

// TestRequestIsNeverSentTwiceOnOneConnection guards against the copy of an answer to a
// request that is taken for the answer to the same request when it is sent again, however
// many other requests the connection carried in between, and against connections that
// are opened for each request for that.
func TestRequestIsNeverSentTwiceOnOneConnection(t *testing.T) {
	const requests = 2000
	var seen sync.Map
	client := newClient()
	address := serve(t, func(connection, _ int, id string) string {
		if _, again := seen.LoadOrStore(fmt.Sprint(connection, "/", id), true); again {
			return busyResponse(id)
		}
		return okResponse(id, "ran "+id)
	})
	send := func(id string) {
		t.Helper()
		if body, err := do(client, address, id); err != nil || body != "ran "+id {
			t.Fatalf("request %q: %q, error %v", id, body, err)
		}
	}
	for n := range requests {
		send(fmt.Sprint(n))
	}
	if n := client.Dials.Load(); n > requests/100 {
		t.Errorf("%d connections for %d requests", n, requests)
	}
	for n := range requests / 10 {
		send(fmt.Sprint(10 * n))
	}
}
