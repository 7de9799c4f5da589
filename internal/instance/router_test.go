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

// resetDelay lets sent data arrive before the connection is reset.
const resetDelay = 100 * time.Millisecond

// resetListener records its connections, so that a test can reset them.
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

// reset closes all accepted connections with a TCP reset, as a middlebox that
// lost its state would.
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

// fakePeer is an instance of another zone that answers with scripted events.
type fakePeer struct {
	heatherrelayv1connect.UnimplementedPeerServiceHandler
	events func(id string) []*v1.ExecuteResponse
	// resetsLeft is the number of requests still to be answered with a connection
	// reset.
	resetsLeft atomic.Int64
	// eventsBeforeReset are sent before each reset.
	eventsBeforeReset []*v1.ExecuteResponse
	listener          *resetListener
}

// Execute sends the scripted events, or resets the connection.
func (p *fakePeer) Execute(_ context.Context, m *v1.ExecuteRequest, stream *connect.ServerStream[v1.ExecuteResponse]) error {
	if p.resetsLeft.Add(-1) >= 0 {
		for _, event := range p.eventsBeforeReset {
			if err := stream.Send(event); err != nil {
				return err
			}
		}
		time.Sleep(resetDelay)
		p.listener.reset()
		return nil
	}
	for _, event := range p.events(m.GetRequestId()) {
		if err := stream.Send(event); err != nil {
			return err
		}
	}
	return nil
}

func chunkEvent(id string) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Chunk{Chunk: &v1.Chunk{RequestId: id, Tokens: 1, Data: []byte("{}")}}}
}

func finishedEvent(id string) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Finished{Finished: &v1.Finished{RequestId: id, CompletionTokens: 1}}}
}

// newForwardingRouter returns a router in a zone without targets, and peer as the
// only instance of another zone, which has one target.
func newForwardingRouter(t *testing.T, peer *fakePeer) *instance.Router {
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
		Zone:       "a",
		InstanceID: "near",
		BaseModel:  func(string) (string, bool) { return "base", true },
		Ownership:  &instance.Ownership{Zone: "a", GroupCount: 1, Directory: directory, Log: zap.NewNop()},
		Directory:  directory,
		Peers:      &instance.Peers{InstanceID: "near"},
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

// TestRouterStartsOverAfterAConnectionReset resets the connection to another zone
// before and after the first token. The router must start the request over unless
// the caller has received a token, and must never report it as not run.
func TestRouterStartsOverAfterAConnectionReset(t *testing.T) {
	cases := map[string]struct {
		eventsBeforeReset []*v1.ExecuteResponse
		startOver         bool
		complete          bool
	}{
		"before the first token":                {complete: true},
		"after a token not given to the caller": {eventsBeforeReset: []*v1.ExecuteResponse{chunkEvent("r")}, startOver: true, complete: true},
		"after a token given to the caller":     {eventsBeforeReset: []*v1.ExecuteResponse{chunkEvent("r")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			peer := &fakePeer{eventsBeforeReset: c.eventsBeforeReset, events: func(id string) []*v1.ExecuteResponse {
				return []*v1.ExecuteResponse{chunkEvent(id), finishedEvent(id)}
			}}
			peer.resetsLeft.Store(1)
			router := newForwardingRouter(t, peer)
			tokens := 0
			request := modelRequest()
			if c.startOver {
				request.DiscardEmitted = func() { tokens = 0 }
			}
			_, err := router.Execute(t.Context(), request, func(c target.Chunk) error {
				tokens += c.Tokens
				return nil
			})
			if c.complete != (err == nil) || tokens != 1 {
				t.Fatalf("Execute() = %v with %d tokens; want one token and success: %v", err, tokens, c.complete)
			}
			if err != nil && refusal.From(err).NotRun {
				t.Errorf("Execute() = %v with NotRun set, but the request may have run", err)
			}
		})
	}
}

// TestRouterRejectsEventsOfAnotherRequest checks that the router emits no chunk
// and trusts no refusal that carries the ID of another request.
func TestRouterRejectsEventsOfAnotherRequest(t *testing.T) {
	cases := map[string]*v1.ExecuteResponse{
		"chunk":    chunkEvent("other"),
		"finished": finishedEvent("other"),
		"refused": {Event: &v1.ExecuteResponse_Refused{Refused: &v1.Refused{
			RequestId: "other",
			Code:      string(refusal.CodeRateLimited),
			NotRun:    true,
		}}},
	}
	for name, event := range cases {
		t.Run(name, func(t *testing.T) {
			peer := &fakePeer{events: func(string) []*v1.ExecuteResponse { return []*v1.ExecuteResponse{event} }}
			router := newForwardingRouter(t, peer)
			request := modelRequest()
			request.Deadline = time.Now().Add(time.Second)
			_, err := router.Execute(t.Context(), request, func(target.Chunk) error {
				t.Error("a chunk of another request was emitted")
				return nil
			})
			if err == nil || refusal.From(err).NotRun {
				t.Errorf("Execute() = %v, want a refusal without NotRun", err)
			}
		})
	}
}

// TestPatientRequestIsRetriedUntilItsDeadline refuses a request more often than
// an interactive request is attempted. Only the patient request may succeed.
func TestPatientRequestIsRetriedUntilItsDeadline(t *testing.T) {
	t.Parallel()
	for _, class := range []release.Class{release.Interactive, release.Patient} {
		t.Run(string(class), func(t *testing.T) {
			t.Parallel()
			refusals := 9
			peer := &fakePeer{events: func(id string) []*v1.ExecuteResponse {
				if refusals--; refusals < 0 {
					return []*v1.ExecuteResponse{chunkEvent(id), finishedEvent(id)}
				}
				return []*v1.ExecuteResponse{{Event: &v1.ExecuteResponse_Refused{Refused: &v1.Refused{
					RequestId: id,
					Code:      string(refusal.CodeOverloaded),
					NotRun:    true,
				}}}}
			}}
			request := modelRequest()
			request.Class = class
			_, err := newForwardingRouter(t, peer).Execute(t.Context(), request, func(target.Chunk) error { return nil })
			if (err == nil) != (class == release.Patient) {
				t.Errorf("Execute() = %v; only a patient request may succeed, and it must", err)
			}
			if err != nil && !refusal.From(err).NotRun {
				t.Errorf("Execute() = %v, want a refusal with NotRun set", err)
			}
		})
	}
}
