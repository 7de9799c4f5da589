package instance_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/instance"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

// resetPause lets what was sent arrive before the connection is reset.
const resetPause = 100 * time.Millisecond

// resetListener keeps its connections, so that they can be reset.
type resetListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept returns the next connection.
func (l *resetListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, err
}

// reset closes all connections so far as a lost middle box would.
func (l *resetListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
	l.conns = nil
}

// fakePeer answers requests as an instance of another zone.
type fakePeer struct {
	heatherrelayv1connect.UnimplementedPeerServiceHandler
	answer func(id string) []*v1.ExecuteResponse
	// resets is how many requests are answered with a reset of the connection.
	resets atomic.Int64
	// before is what is sent before a reset.
	before   []*v1.ExecuteResponse
	listener *resetListener
}

// Execute sends the scripted events.
func (p *fakePeer) Execute(_ context.Context, m *v1.ExecuteRequest, stream *connect.ServerStream[v1.ExecuteResponse]) error {
	if p.resets.Add(-1) >= 0 {
		for _, event := range p.before {
			if err := stream.Send(event); err != nil {
				return err
			}
		}
		time.Sleep(resetPause)
		p.listener.reset()
		return nil
	}
	for _, event := range p.answer(m.GetRequestId()) {
		if err := stream.Send(event); err != nil {
			return err
		}
	}
	return nil
}

func chunk(id string) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Chunk{Chunk: &v1.Chunk{RequestId: id, Tokens: 1, Data: []byte("{}")}}}
}

func finished(id string) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Finished{Finished: &v1.Finished{RequestId: id, CompletionTokens: 1}}}
}

// forwardingRouter returns a router whose zone has no target, and which knows
// one instance of another zone that has.
func forwardingRouter(t *testing.T, peer *fakePeer) *instance.Router {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer.listener = &resetListener{Listener: listener}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	_, handler := heatherrelayv1connect.NewPeerServiceHandler(peer)
	server := &http.Server{Handler: handler, Protocols: &protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(peer.listener) }()
	t.Cleanup(func() { _ = server.Close() })

	memory := &objectstore.Memory{}
	store := memory.Store()
	lease, err := json.Marshal(objectstore.InstanceLease{ID: "far", Zone: "b", Peer: netip.MustParseAddrPort(listener.Addr().String()), Ready: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), objectstore.InstanceLeaseKey("far"), lease, 0); err != nil {
		t.Fatal(err)
	}
	memory.SetTargets([]objectstore.TargetEntry{{ID: "e", Zone: "b", Kind: objectstore.TargetEngine, BaseModel: "base"}})
	directory := &instance.Directory{Store: store, Term: time.Minute, Log: zap.NewNop()}
	if err := directory.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &instance.Router{
		Zone:      "a",
		Self:      "near",
		BaseModel: func(string) (string, bool) { return "base", true },
		Ownership: &instance.Ownership{Zone: "a", GroupCount: 1, Directory: directory, Log: zap.NewNop()},
		Directory: directory,
		Peers:     &instance.Peers{InstanceID: "near"},
	}
}

func modelRequest() target.Request {
	return target.Request{
		ID:        "r",
		Adapter:   adapter.ID{Name: "a", Version: "1"},
		MaxTokens: 1,
		Deadline:  time.Now().Add(30 * time.Second),
	}
}

// TestRouterStartsOverAfterAConnectionReset loses the connection to another
// zone before and after the first token.
func TestRouterStartsOverAfterAConnectionReset(t *testing.T) {
	cases := map[string]struct {
		before    []*v1.ExecuteResponse
		startOver bool
		whole     bool
	}{
		"before the first token":                {whole: true},
		"after a token not given to the caller": {before: []*v1.ExecuteResponse{chunk("r")}, startOver: true, whole: true},
		"after a token given to the caller":     {before: []*v1.ExecuteResponse{chunk("r")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			peer := &fakePeer{before: c.before, answer: func(id string) []*v1.ExecuteResponse {
				return []*v1.ExecuteResponse{chunk(id), finished(id)}
			}}
			peer.resets.Store(1)
			router := forwardingRouter(t, peer)
			tokens := 0
			request := modelRequest()
			if c.startOver {
				request.StartOver = func() { tokens = 0 }
			}
			_, err := router.Execute(t.Context(), request, func(c target.Chunk) error {
				tokens += c.Tokens
				return nil
			})
			if c.whole != (err == nil) || tokens != 1 {
				t.Fatalf("Execute() = %v with %d tokens; whole: %v", err, tokens, c.whole)
			}
			if err != nil && refusal.From(err).NotRun {
				t.Errorf("Execute() = %v claims 'not run'", err)
			}
		})
	}
}

func TestRouterPassesOnNothingOfAnotherRequest(t *testing.T) {
	cases := map[string]*v1.ExecuteResponse{
		"chunk":    chunk("other"),
		"finished": finished("other"),
		"refused": {Event: &v1.ExecuteResponse_Refused{Refused: &v1.Refused{
			RequestId: "other",
			Code:      string(refusal.CodeRateLimited),
			NotRun:    true,
		}}},
	}
	for name, event := range cases {
		t.Run(name, func(t *testing.T) {
			peer := &fakePeer{answer: func(string) []*v1.ExecuteResponse { return []*v1.ExecuteResponse{event} }}
			router := forwardingRouter(t, peer)
			request := modelRequest()
			request.Deadline = time.Now().Add(time.Second)
			_, err := router.Execute(t.Context(), request, func(target.Chunk) error {
				t.Error("a chunk of another request was passed on")
				return nil
			})
			if err == nil || refusal.From(err).NotRun {
				t.Errorf("Execute() = %v, want a refusal that does not claim 'not run'", err)
			}
		})
	}
}

// TestPatientRequestIsTriedUntilItsDeadline refuses more often than an
// interactive request is tried.
func TestPatientRequestIsTriedUntilItsDeadline(t *testing.T) {
	t.Parallel()
	for _, class := range []release.Class{release.Interactive, release.Patient} {
		t.Run(string(class), func(t *testing.T) {
			t.Parallel()
			refusals := 9
			peer := &fakePeer{answer: func(id string) []*v1.ExecuteResponse {
				if refusals--; refusals < 0 {
					return []*v1.ExecuteResponse{chunk(id), finished(id)}
				}
				return []*v1.ExecuteResponse{{Event: &v1.ExecuteResponse_Refused{Refused: &v1.Refused{
					RequestId: id,
					Code:      string(refusal.CodeOverloaded),
					NotRun:    true,
				}}}}
			}}
			request := modelRequest()
			request.Class = class
			_, err := forwardingRouter(t, peer).Execute(t.Context(), request, func(target.Chunk) error { return nil })
			if (err == nil) != (class == release.Patient) {
				t.Errorf("Execute() = %v", err)
			}
			if err != nil && !refusal.From(err).NotRun {
				t.Errorf("Execute() = %v, want a refusal that says 'not run'", err)
			}
		})
	}
}
