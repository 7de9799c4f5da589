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
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

// sender returns a sender to the targets at addresses, on a platform of its own.
func sender(addresses ...netip.AddrPort) *dispatch.Sender {
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

func put(id string) dispatch.Call {
	return dispatch.Call{
		RequestID: id, Team: "sombat", Service: "posting", Method: http.MethodPut, Path: "/a%20b",
		Query: "x=1", Body: []byte("10 baht"), Deadline: time.Now().Add(20 * time.Second),
	}
}

// closingServer answers the first request on a connection, reads the next one
// whole and closes without an answer. It counts what it read.
func closingServer(t *testing.T) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var seen atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
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
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), &seen
}

func TestAPutWhoseConnectionClosesReachesTheServiceOnce(t *testing.T) {
	for _, key := range []string{"", "once"} {
		address, seen := closingServer(t)
		s := sender(address)
		warm := put("warm")
		warm.Method, warm.Body, warm.Repeatable = http.MethodGet, nil, true
		if _, err := s.Send(context.Background(), warm); err != nil {
			t.Fatal(err)
		}
		c := put("r1")
		c.IdempotencyKey = key
		_, err := s.Send(context.Background(), c)
		if e := refusal.From(err); e.Code != refusal.CodeMayHaveRun || e.NotRun {
			t.Errorf("key %q: error %v", key, err)
		}
		if n := seen.Load(); n != 1 {
			t.Errorf("key %q: the service got the call %d times, want 1", key, n)
		}
	}
}

func TestUnreachableTargetsAreLeftForOthersAndNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := netip.MustParseAddrPort(closed.Addr().String())
	_ = closed.Close()
	c := put("r1")
	c.IdempotencyKey = "k"
	_, err = sender(dead).Send(context.Background(), c)
	if e := refusal.From(err); e.Code != refusal.CodeTargetUnreached || !e.NotRun {
		t.Errorf("error = %v, not run %v", err, e.NotRun)
	}

	var got atomic.Pointer[http.Request]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Store(r)
		w.Header().Set("Etag", "7")
		w.WriteHeader(http.StatusCreated)
	}))
	defer server.Close()
	s := sender(dead, netip.MustParseAddrPort(server.Listener.Addr().String()))
	for range 2 { // Both orders of the two targets.
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
