package forwarding_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/forwarding"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/upstream"
	"heatherrelay/platform"
)

// testPeer is an instance that carries out attempts, served on a loopback address.
type testPeer struct {
	*forwarding.Server
	http *httptest.Server
}

const testTarget = deployment.TargetID("plain-1")

// newPeer starts a peer that sends to a target at the given address.
func newPeer(t *testing.T, target netip.AddrPort) *testPeer {
	t.Helper()
	client := &upstream.Client{Encode: platform.EncodeRequest, Decode: platform.DecodeResponse}
	p := &testPeer{Server: &forwarding.Server{
		Direct: &forwarding.Direct{
			Upstream: client,
			Limits:   &throttle.Limiter{Now: time.Now, Log: zap.NewNop()},
			Liveness: &liveness.Monitor{Open: client.Open, Probe: client.Probe, Log: zap.NewNop()},
		},
		Target: func(id deployment.TargetID) (deployment.Target, bool) {
			return deployment.Target{ID: id, Address: target, Generation: 1}, id == testTarget
		},
		Availability: &upstream.Availability{Now: time.Now, Log: zap.NewNop()},
		Blocked:      func([]string) bool { return false },
		Unable:       func() string { return "" },
		Cut:          func(deployment.Target) bool { return false },
		Log:          zap.NewNop(),
	}}
	mux := http.NewServeMux()
	mux.Handle(p.Handler())
	p.http = httptest.NewServer(mux)
	t.Cleanup(p.http.Close)
	return p
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// newClient returns a client that asks the given peers.
func newClient(peers ...*testPeer) *forwarding.Client {
	var known []forwarding.Peer
	for n, p := range peers {
		known = append(known, forwarding.Peer{ID: fmt.Sprint("instance-", n), Address: addressOf(p.http), SameZone: n == 0})
	}
	return &forwarding.Client{Peers: func(string) []forwarding.Peer { return known }, Upstream: &upstream.Client{}, Now: time.Now, Log: zap.NewNop()}
}

// newTarget starts a target with a handler.
func newTarget(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

func answer(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "seal")
	_, _ = fmt.Fprintf(w, "%s %s %s team=%s version=%s last=%s key=%q", r.Method, r.RequestURI, body, r.Header.Get("Tenant"), r.Header.Get("Expect-Version"), r.Header.Get("Last-Event-Id"), r.Header.Get("Key"))
}

var target = deployment.Target{ID: testTarget, Generation: 1, Service: "ledger"}

func request() (*upstream.Request, *upstream.Attempt) {
	return &upstream.Request{ID: "r1", Method: http.MethodPost, URI: "/post/1?a=b", Host: "front.example", Key: "secret", Body: []byte("mow"), Headers: []upstream.HeaderField{{Name: "Request-Id", Value: "r1"}}},
		&upstream.Attempt{Target: testTarget, Team: "roads", Deadline: 3 * time.Second, AdapterVersion: 7, LastEventID: "4"}
}

// TestAttemptArrivesUnchanged checks that a target receives from the peer what the instance
// would have sent, without the caller's key, and that the answer returns whole.
func TestAttemptArrivesUnchanged(t *testing.T) {
	c := newClient(newPeer(t, addressOf(newTarget(t, answer))))
	for range 3 {
		r, a := request()
		response, err := c.Do(context.Background(), target, r, a)
		if err != nil {
			t.Fatal(err)
		}
		body, err := response.ReadAll()
		if want := `POST /post/1?a=b mow team=roads version=7 last=4 key=""`; string(body) != want || err != nil || !response.Signed || response.RequestID != "r1" {
			t.Errorf("body %q, error %v, head %+v", body, err, response.ResponseHead)
		}
	}
}

// TestUnsentAttemptIsSaidToBeUnsent guards against a refusal that says "not run" of a
// request that may have run, and against the reverse: a request counts as not sent just
// if no peer has sent it.
func TestUnsentAttemptIsSaidToBeUnsent(t *testing.T) {
	good := newTarget(t, answer)
	gone := newTarget(t, answer)
	gone.Close()
	breaking := newTarget(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	unable := newPeer(t, addressOf(good))
	unable.Unable = func() string { return "shutting down" }
	cut := newPeer(t, addressOf(good))
	cut.Cut = func(deployment.Target) bool { return true }
	blocking := newPeer(t, addressOf(good))
	blocking.Blocked = func([]string) bool { return true }
	stopped := newPeer(t, addressOf(good))
	stopped.http.Close()
	for name, c := range map[string]struct {
		peers   []*testPeer
		sent    bool
		refused bool
		peerErr bool
		ok      bool
	}{
		"no peer":                  {peerErr: true},
		"peer stopped":             {peers: []*testPeer{stopped}, peerErr: true},
		"peer shuts down":          {peers: []*testPeer{unable}, peerErr: true},
		"peer is cut off":          {peers: []*testPeer{cut}, peerErr: true},
		"peer knows it is blocked": {peers: []*testPeer{blocking}, peerErr: true},
		"target refuses":           {peers: []*testPeer{newPeer(t, addressOf(gone))}, refused: true},
		"target breaks off":        {peers: []*testPeer{newPeer(t, addressOf(breaking))}, sent: true},
		"next peer is asked":       {peers: []*testPeer{stopped, unable, newPeer(t, addressOf(good))}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			r, a := request()
			response, err := newClient(c.peers...).Do(context.Background(), target, r, a)
			if c.ok {
				if err != nil {
					t.Fatal(err)
				}
				response.Close()
				return
			}
			if upstream.ErrNotSent.Has(err) == c.sent || upstream.ErrIncompleteResponse.Has(err) != c.sent {
				t.Errorf("error %v, sent %t", err, c.sent)
			}
			if errors.Is(err, syscall.ECONNREFUSED) != c.refused || forwarding.ErrPeer.Has(err) != c.peerErr {
				t.Errorf("error %v, refused %t, of the peer %t", err, c.refused, c.peerErr)
			}
		})
	}
}

// TestPeerThatEndsLeavesTheOutcomeOpen guards against taking the end of a peer for the end
// of the target, or for an attempt that was not sent.
func TestPeerThatEndsLeavesTheOutcomeOpen(t *testing.T) {
	started := make(chan struct{})
	peer := newPeer(t, addressOf(newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
	})))
	go func() { <-started; peer.http.CloseClientConnections() }()
	r, a := request()
	_, err := newClient(peer).Do(context.Background(), target, r, a)
	if !upstream.ErrIncompleteResponse.Has(err) || !forwarding.ErrPeer.Has(err) || crash.EndedByTarget(err) {
		t.Errorf("error %v", err)
	}
}

// TestEndOfCallerEndsAttempt guards against a target that works on for a caller that has
// left, before and within its answer.
func TestEndOfCallerEndsAttempt(t *testing.T) {
	for name, head := range map[string]bool{"before the answer": false, "within the answer": true} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			peer := newPeer(t, addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if head {
					_, _ = io.WriteString(w, "first")
					w.(http.Flusher).Flush()
				}
				close(started)
				<-r.Context().Done()
				close(ended)
			})))
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				r, a := request()
				if response, err := newClient(peer).Do(ctx, target, r, a); err == nil {
					_, _ = response.ReadAll()
				}
			}()
			<-started
			if peer.InFlight() != 1 {
				t.Errorf("%d attempts in flight, want 1", peer.InFlight())
			}
			cancel()
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Error("the target works on")
			}
		})
	}
}

// TestSilenceIsReported guards against attempts through a peer that are never hedged when
// the target is silent.
func TestSilenceIsReported(t *testing.T) {
	release := make(chan struct{})
	peer := newPeer(t, addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) { <-release; answer(w, r) })))
	r, a := request()
	var reports atomic.Int32
	a.Silence = 20 * time.Millisecond
	a.OnSilence = func() {
		if reports.Add(1) == 3 {
			close(release)
		}
	}
	response, err := newClient(peer).Do(context.Background(), target, r, a)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := response.ReadAll(); err != nil || reports.Load() < 3 {
		t.Errorf("error %v, %d reports", err, reports.Load())
	}
}

// TestCloseEndsReadInProgress guards against a request that waits for ever because its
// response was closed, by the silence of the target or by a timer, while it was read.
func TestCloseEndsReadInProgress(t *testing.T) {
	for name, bySilence := range map[string]bool{"by silence": true, "by another goroutine": false} {
		t.Run(name, func(t *testing.T) {
			peer := newPeer(t, addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "first")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			})))
			r, a := request()
			response, err := newClient(peer).Do(context.Background(), target, r, a)
			if err != nil {
				t.Fatal(err)
			}
			if bySilence {
				response.SetSilence(20*time.Millisecond, response.Close)
			} else {
				time.AfterFunc(20*time.Millisecond, response.Close)
			}
			if _, err := response.ReadAll(); !upstream.ErrIncompleteResponse.Has(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestTrickleThroughPeerIsSilence guards against stalled streams that are never hedged
// because a peer passes a byte on now and then: silence is counted from when it was set,
// which is at each event, and not from the last message.
func TestTrickleThroughPeerIsSilence(t *testing.T) {
	const silence, steps = 60 * time.Millisecond, 20
	peer := newPeer(t, addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		for range steps {
			_, _ = w.Write([]byte("x"))
			w.(http.Flusher).Flush()
			time.Sleep(silence / 4)
		}
	})))
	r, a := request()
	response, err := newClient(peer).Do(context.Background(), target, r, a)
	if err != nil {
		t.Fatal(err)
	}
	reports := 0
	response.SetSilence(silence, func() { reports++ })
	if _, err := io.Copy(io.Discard, response); err != nil || reports < 2 {
		t.Errorf("error %v, %d reports of silence, want 2 or more", err, reports)
	}
}

// TestPeerBoundsAttempts guards against an instance that runs out of memory because of the
// attempts of its peers. The attempts that it carries out begin one after the other, have
// ample time, and are made again if no connection opened in time: how many connections open
// at once, and how soon, is not what is tested.
func TestPeerBoundsAttempts(t *testing.T) {
	const bound, more, ample = 256, 44, time.Minute
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	peer := newPeer(t, addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) { <-release; answer(w, r) })))
	c := newClient(peer)
	outcomes := make(chan error, bound+more)
	attempt := func() {
		r, a := request()
		a.Deadline = ample
		response, err := c.Do(context.Background(), target, r, a)
		if err == nil {
			_, err = response.ReadAll()
		}
		outcomes <- err
	}
	deadline := time.Now().Add(ample)
	for n := range bound {
		go attempt()
		for peer.InFlight() <= n {
			select {
			case err := <-outcomes:
				if !upstream.ErrNotSent.Has(err) || time.Now().After(deadline) {
					t.Fatalf("attempt %d: error %v", n, err)
				}
				go attempt()
			case <-time.After(time.Millisecond):
			}
		}
	}
	for range more {
		go attempt()
	}
	for range more {
		if err := <-outcomes; !upstream.ErrNotSent.Has(err) || !forwarding.ErrPeer.Has(err) {
			t.Errorf("error %v", err)
		}
	}
	releaseOnce()
	for range bound {
		if err := <-outcomes; err != nil {
			t.Errorf("error %v", err)
		}
	}
}

// TestBodyStaysInItsRegions guards against a request whose body is sent to an instance in a
// region in which it may not be held, also when no other could carry it out.
func TestBodyStaysInItsRegions(t *testing.T) {
	at := addressOf(newTarget(t, answer))
	near, far := newPeer(t, at), newPeer(t, at)
	c := newClient(near, far)
	peers := c.Peers
	c.Peers = func(service string) []forwarding.Peer {
		known := slices.Clone(peers(service))
		known[0].Region, known[1].Region = "leon", "sofia"
		return known
	}
	for region, want := range map[string]bool{"leon": true, "sofia": true, "elsewhere": false} {
		r, a := request()
		a.Regions = deployment.Regions{region}
		asked := ""
		for name, p := range map[string]*testPeer{"leon": near, "sofia": far} {
			p.Unable = func() string { asked += name; return "" }
		}
		response, err := c.Do(context.Background(), target, r, a)
		if (err == nil) != want || want && asked != region || !want && asked != "" {
			t.Errorf("region %s: error %v, asked were the peers in %q", region, err, asked)
		}
		if err == nil {
			response.Close()
		}
	}
}

// TestPeerSendsNothingToAWithheldTarget checks that neither a peer nor an instance itself sends
// to a target that is to get no requests, and that this does not count against the target.
func TestPeerSendsNothingToAWithheldTarget(t *testing.T) {
	var arrived atomic.Int64
	at := addressOf(newTarget(t, func(w http.ResponseWriter, r *http.Request) { arrived.Add(1); answer(w, r) }))
	p := newPeer(t, at)
	p.Direct.Withheld = func(deployment.Target) string { return "zone north is evacuated" }
	r, a := request()
	withheld := target
	withheld.Address = at
	for name, send := range map[string]func() error{
		"peer":     func() error { _, err := newClient(p).Do(context.Background(), target, r, a); return err },
		"instance": func() error { _, err := p.Direct.Do(context.Background(), withheld, r, a); return err },
	} {
		if err := send(); !upstream.ErrNotSent.Has(err) || !forwarding.ErrPeer.Has(err) {
			t.Errorf("%s: error %v, want one that says that nothing was sent, for no fault of the target", name, err)
		}
	}
	if n := arrived.Load(); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
}
