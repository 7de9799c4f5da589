package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/upstream"
)

// serveEndless starts a server that answers each request with a head and then repeats a
// text, with a pause, until the caller closes the connection.
func serveEndless(t *testing.T, head, repeated string, pause time.Duration) netip.AddrPort {
	t.Helper()
	return loopbacktest.Serve(t, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, head, request.Header.Get(idField))
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, repeated)
		}
	})
}

// TestEndlessBytesEnd guards against requests that last until their deadline, or fill the
// memory, since a target sends bytes that are no answer until the caller closes.
func TestEndlessBytesEnd(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\n" + idField + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"informational heads": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"head":                {"HTTP/1.1 200 OK\r\n" + idField + ": %s\r\n", "X-Field: " + strings.Repeat("x", 1000) + "\r\n"},
		"no line":             {"", strings.Repeat("x", 1000)},
		"trailer":             {chunkedHead + "0\r\n", "X-Field: x\r\n"},
		"trailer line":        {chunkedHead + "0\r\n", strings.Repeat("x", 1000)},
		"chunk size":          {chunkedHead, strings.Repeat("1", 1000)},
		"body":                {"HTTP/1.1 200 OK\r\n" + idField + ": %s\r\n\r\n", strings.Repeat("x", 100_000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.head == "" {
				c.head = "%.0s"
			}
			address := serveEndless(t, c.head, c.repeated, time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			response, err := newClient().Do(ctx, address, &upstream.Request{ID: "1", Method: http.MethodPost, URI: "/"}, &upstream.Attempt{})
			if err == nil {
				_, err = response.ReadAll()
			}
			if !upstream.ErrIncompleteResponse.Has(err) || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
		})
	}
}

// TestEndlessBodyIsDiscardedInTime checks that the body of a response of which only the
// head matters is given up after a time, also while bytes arrive, and after a size.
func TestEndlessBodyIsDiscardedInTime(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		address := serveEndless(t, "HTTP/1.1 503 Busy\r\n"+idField+": %s\r\n\r\n", "xx", pause)
		response, err := newClient().Do(context.Background(), address, &upstream.Request{ID: "1", Method: http.MethodPost, URI: "/"}, &upstream.Attempt{})
		if err != nil {
			t.Fatal(err)
		}
		before := time.Now()
		response.Discard(1<<20, 200*time.Millisecond)
		if took := time.Since(before); took > time.Second {
			t.Errorf("discarded after %s", took)
		}
	}
}

// TestEndlessBodiesShareTheMemory checks that responses without end, however many, are
// given up before they fill the memory together.
func TestEndlessBodiesShareTheMemory(t *testing.T) {
	c := newClient()
	address := serveEndless(t, "HTTP/1.1 200 OK\r\n"+idField+": %s\r\n\r\n", strings.Repeat("x", 100_000), 2*time.Millisecond)
	const requests, mostTogether = 24, 64 << 20
	var group sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range requests {
		group.Go(func() {
			response, err := c.Do(context.Background(), address, &upstream.Request{ID: "1", Method: http.MethodPost, URI: "/"}, &upstream.Attempt{})
			if err != nil {
				t.Error(err)
				return
			}
			body, err := response.ReadAll()
			if !upstream.ErrIncompleteResponse.Has(err) {
				t.Errorf("%d bytes, error %v", len(body), err)
			}
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(err.Error(), fmt.Sprint(mostTogether)) {
				refused++
			}
		})
	}
	group.Wait()
	if refused == 0 {
		t.Error("no response was given up for the sake of the others")
	}
	if body, err := do(c, serve(t, func(_, _ int, id string) string { return okResponse(id, "after") }), "1"); err != nil || body != "after" {
		t.Errorf("body %q, error %v", body, err)
	}
}
