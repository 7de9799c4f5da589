package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"
)

// Loopback is a loopback address with a port that the kernel chooses.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Endpoint is the part common to all stand-ins: it serves HTTP, records the
// requests it receives and can silence its open connections. The zero value is
// ready to use.
type Endpoint struct {
	Received Recorder

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

// Server is the running HTTP server of a stand-in.
type Server struct {
	Address netip.AddrPort

	server     *http.Server
	endpoint   *Endpoint
	background conc.WaitGroup
}

// Close closes all connections and waits for the server to end.
func (s *Server) Close() error {
	err := s.server.Close()
	s.background.Wait()
	return errors.Join(err, s.endpoint.closeSilentConns())
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return "http://" + s.Address.String() }

// start serves a handler on an address until the returned server is closed.
func (e *Endpoint) start(listen netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	s := &Server{
		Address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		endpoint: e,
		server:   &http.Server{Handler: handler, ConnContext: withConn},
	}
	s.background.Go(func() {
		if err := s.server.Serve(&silentListener{Listener: listener, endpoint: e}); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return s, nil
}

// withRecording returns a handler that records each request, except those under
// /admin/, and that serves searches in the records.
func (e *Endpoint) withRecording(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/admin/received":
			writeJSON(w, http.StatusOK, e.Received.Search(r.URL.Query().Get("contains")))
		case strings.HasPrefix(r.URL.Path, "/admin/"):
			handler.ServeHTTP(w, r)
		default:
			e.Received.record(r)
			handler.ServeHTTP(w, r)
		}
	})
}

// silenceConns permanently silences all open connections except that of the
// request in ctx. Both ends of a silenced connection stay open, and new
// connections work.
func (e *Endpoint) silenceConns(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, _ := ctx.Value(connKey{}).(*silentConn)
	for c := range e.conns {
		if c != current {
			c.silent.Store(true)
		}
	}
}

// closeSilentConns closes the silenced connections, which silentConn.Close
// leaves open.
func (e *Endpoint) closeSilentConns() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var err error
	for c := range e.conns {
		if c.silent.Load() {
			err = errors.Join(err, c.Conn.Close())
		}
	}
	e.conns = nil
	return err
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func (e *Endpoint) addConn(c *silentConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = map[*silentConn]struct{}{}
	}
	e.conns[c] = struct{}{}
}

func (e *Endpoint) removeConn(c *silentConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// ErrorBody is the JSON body of an error answer of a stand-in.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the code and message of an error answer.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code string, err error) {
	writeJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: err.Error()}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return
	}
}

// readJSON reads the body into value, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err)
		return false
	}
	return true
}

// abort closes the request's connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
