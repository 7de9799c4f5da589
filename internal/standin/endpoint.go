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

// Loopback is a loopback address whose port the kernel chooses.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Endpoint is what all stand-ins share: it serves HTTP, records what it
// received and can silence its open connections. The zero value is ready.
type Endpoint struct {
	Received Recorder

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

// Running is a stand-in that listens.
type Running struct {
	Address netip.AddrPort

	server   *http.Server
	endpoint *Endpoint
	duties   conc.WaitGroup
}

// Close cuts all connections and waits for the server to end.
func (r *Running) Close() error {
	err := r.server.Close()
	r.duties.Wait()
	return errors.Join(err, r.endpoint.closeSilent())
}

// URL returns the base URL of the stand-in.
func (r *Running) URL() string { return "http://" + r.Address.String() }

// start serves a handler on an address until the returned value is closed.
func (p *Endpoint) start(listen netip.AddrPort, handler http.Handler) (*Running, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	r := &Running{
		Address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		endpoint: p,
		server:   &http.Server{Handler: handler, ConnContext: withConn},
	}
	r.duties.Go(func() {
		if err := r.server.Serve(&silentListener{Listener: listener, endpoint: p}); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return r, nil
}

// recording adds the recording of requests and the call to search it.
func (p *Endpoint) recording(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/admin/received":
			writeJSON(w, http.StatusOK, p.Received.Search(r.URL.Query().Get("contains")))
		case strings.HasPrefix(r.URL.Path, "/admin/"):
			handler.ServeHTTP(w, r)
		default:
			p.Received.record(r)
			handler.ServeHTTP(w, r)
		}
	})
}

// silence makes all connections that are open now silent for good, but for the
// one of the call itself; both ends stay up and new connections work.
func (p *Endpoint) silence(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own, _ := ctx.Value(connKey{}).(*silentConn)
	for c := range p.conns {
		if c != own {
			c.silent.Store(true)
		}
	}
}

// closeSilent closes the connections that were kept open when they were silenced.
func (p *Endpoint) closeSilent() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	for c := range p.conns {
		if c.silent.Load() {
			err = errors.Join(err, c.Conn.Close())
		}
	}
	p.conns = nil
	return err
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func (p *Endpoint) add(c *silentConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*silentConn]struct{}{}
	}
	p.conns[c] = struct{}{}
}

func (p *Endpoint) remove(c *silentConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// ErrorBody is the JSON of a stand-in's refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail names the reason of a stand-in's refusal.
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

// abort closes the connection of the request without an answer.
func abort() { panic(http.ErrAbortHandler) }
