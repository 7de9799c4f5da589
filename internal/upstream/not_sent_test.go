package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/upstream"
)

// faultyConn fails at a random write, after a part of it or before.
type faultyConn struct {
	net.Conn
	failAt int
}

var errWrite = errors.New("write failed")

// Write writes a part of p and fails if that is due.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.failAt--; c.failAt != 0 {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:rand.IntN(len(p)+1)])
	return n, errors.Join(err, errWrite)
}

// TestNotSentMeansThatNothingArrived guards against "not run" for a request that a target
// may run: an attempt counts as not sent just if none of it arrived, whenever its context
// ends and its connection fails, and whether that is new or kept, the request small or large.
func TestNotSentMeansThatNothingArrived(t *testing.T) {
	const requests, workers = 1500, 8
	var arrived sync.Map
	address := serve(t, func(_, _ int, id string) string {
		arrived.Store(id, true)
		return okResponse(id, "ran")
	})
	client := newClient()
	client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		if rand.IntN(10) == 0 {
			time.Sleep(time.Millisecond)
			return nil, errors.New("dial failed")
		}
		raw, err := upstream.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &faultyConn{Conn: raw, failAt: rand.IntN(12)}, nil
	}
	var mu sync.Mutex
	notSent := map[string]bool{}
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for n := range requests / workers {
				id := fmt.Sprint(worker, "-", n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(3000))*time.Microsecond)
				request := &upstream.Request{ID: id, Method: http.MethodPost, URI: "/", Body: make([]byte, []int{10, 100_000}[rand.IntN(2)])}
				response, err := client.Do(ctx, address, request, &upstream.Attempt{})
				if err == nil {
					_, err = response.ReadAll()
				}
				if upstream.ErrNotSent.Has(err) {
					mu.Lock()
					notSent[id] = true
					mu.Unlock()
				}
				cancel()
			}
		})
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	for id := range notSent {
		if _, ran := arrived.Load(id); ran {
			t.Errorf("request %s arrived, and counts as not sent", id)
		}
	}
	count := 0
	arrived.Range(func(any, any) bool { count++; return true })
	if len(notSent) == 0 || count == 0 {
		t.Errorf("%d requests not sent, %d arrived, so the test shows nothing", len(notSent), count)
	}
}

// TestBytesBeforeARequestAreNoAnswer guards against bytes that a target sends on a connection
// before any request, and that are taken for the answer to the first one: a probe opened the
// connection and kept it.
func TestBytesBeforeARequestAreNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan struct{})
	go func() {
		for connection := 0; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if connection == 0 {
				_, _ = conn.Write([]byte(busyResponse("")))
				close(sent)
			}
			go serveConnection(conn, connection, func(_, _ int, id string) string { return okResponse(id, "right") })
		}
	}()
	client, address := newClient(), listener.Addr().(*net.TCPAddr).AddrPort()
	if err := client.Probe(context.Background(), address); err != nil {
		t.Fatal(err)
	}
	<-sent
	time.Sleep(50 * time.Millisecond)
	if body, err := do(client, address, "1"); err != nil || body != "right" {
		t.Errorf("%q, error %v", body, err)
	}
}

// TestAttemptIsCheckedOnceConnected guards against a request that is sent although its target
// left while the connection was opened (DRAIN). The connection is kept for other requests.
func TestAttemptIsCheckedOnceConnected(t *testing.T) {
	var arrived sync.Map
	address := serve(t, func(_, _ int, id string) string {
		arrived.Store(id, true)
		return okResponse(id, "ran")
	})
	client := newClient()
	left := false
	client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		left = true
		return upstream.DialTCP(ctx, address)
	}
	errLeft := errors.New("the target has left")
	attempt := &upstream.Attempt{MaySend: func() error {
		if left {
			return errLeft
		}
		return nil
	}}
	request := func(id string) *upstream.Request {
		return &upstream.Request{ID: id, Method: http.MethodPost, URI: "/"}
	}
	if _, err := client.Do(context.Background(), address, request("late"), attempt); !upstream.ErrNotSent.Has(err) || !errors.Is(err, errLeft) {
		t.Errorf("error %v", err)
	}
	left = false
	response, err := client.Do(context.Background(), address, request("next"), attempt)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := response.ReadAll(); err != nil {
		t.Error(err)
	}
	if _, ok := arrived.Load("late"); ok || client.Dials.Load() != 1 {
		t.Errorf("the late request arrived: %v; %d connections, want 1", ok, client.Dials.Load())
	}
}
