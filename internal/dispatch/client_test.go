package dispatch_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

// newSender returns a sender whose targets are at the given addresses, with a
// platform of its own.
func newSender(addresses ...netip.AddrPort) *dispatch.Sender {
	memory := &objectstore.Memory{}
	return &dispatch.Sender{
		Store: memory.Store(),
		Targets: func(string) []objectstore.TargetEntry {
			var entries []objectstore.TargetEntry
			for _, a := range addresses {
				entries = append(entries, objectstore.TargetEntry{ID: a.String(), Kind: objectstore.TargetService, Address: a})
			}
			return entries
		},
	}
}

// newPut returns a call that may not be repeated.
func newPut(id string) dispatch.Call {
	return dispatch.Call{
		RequestID: id, Team: "sombat", Service: "posting", Method: http.MethodPut, Path: "/a%20b",
		Query: "x=1", Body: []byte("10 baht"), Deadline: time.Now().Add(20 * time.Second),
	}
}

// closingServer answers a first GET request on a connection, and closes the
// connection without a response after it has read a request of another method.
// It counts the latter.
func closingServer(t *testing.T) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	var seen atomic.Int64
	address := loopbacktest.Serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for i := range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.Method != http.MethodGet {
				seen.Add(1)
				return
			}
			if i == 0 {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			}
		}
	})
	return address, &seen
}

// TestPutOnClosedConnectionReachesServiceOnce guards against a silent retry by
// the HTTP client: when a service reads a call and closes the connection
// without a response, the call must not be sent again.
func TestPutOnClosedConnectionReachesServiceOnce(t *testing.T) {
	for _, key := range []string{"", "once"} {
		address, seen := closingServer(t)
		s := newSender(address)
		warm := newPut("warm")
		warm.Method, warm.Body, warm.Repeatable = http.MethodGet, nil, true
		if _, err := s.Send(context.Background(), warm); err != nil {
			t.Fatal(err)
		}
		c := newPut("r1")
		c.IdempotencyKey = key
		_, err := s.Send(context.Background(), c)
		if e := refusal.From(err); e.Code != refusal.CodeMayHaveRun || e.NotRun {
			t.Errorf("key %q: error %v", key, err)
		}
		if n := seen.Load(); n != 1 {
			t.Errorf("key %q: the service received the call %d times, want 1", key, n)
		}
	}
}

// TestUnreachableTargetsAreSkippedAndNotRun checks that a call is refused as
// not run if no target can be reached, and goes to another target if one can.
func TestUnreachableTargetsAreSkippedAndNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := netip.MustParseAddrPort(closed.Addr().String())
	_ = closed.Close()
	c := newPut("r1")
	c.IdempotencyKey = "k"
	_, err = newSender(unreachable).Send(context.Background(), c)
	if e := refusal.From(err); e.Code != refusal.CodeTargetUnreachable || !e.NotRun {
		t.Errorf("error = %v, not run %v", err, e.NotRun)
	}

	var got atomic.Pointer[http.Request]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Store(r)
		w.Header().Set("Etag", "7")
		w.WriteHeader(http.StatusCreated)
	}))
	defer server.Close()
	s := newSender(unreachable, netip.MustParseAddrPort(server.Listener.Addr().String()))
	for range 2 { // Each of the two targets comes first once.
		c.IdempotencyKey += "+"
		reply, err := s.Send(context.Background(), c)
		if err != nil || reply.Status != http.StatusCreated {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
	}
	r := got.Load()
	if r.RequestURI != "/a%20b?x=1" || r.Header.Get("Idempotency-Key") != "k++" || r.Header.Get("X-Request-Id") != "r1" ||
		r.Header.Get("User-Agent") != "" || r.Header.Get("Content-Type") != "" {
		t.Errorf("request %s with %v", r.RequestURI, r.Header)
	}
	replayed, err := s.Send(context.Background(), c)
	if err != nil || !replayed.Replayed || replayed.Status != http.StatusCreated || len(replayed.Header) == 0 {
		t.Errorf("replay %+v, error %v", replayed, err)
	}
}
