package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// adapterSlots is how many adapters an engine holds, maxComing how many of them may be
	// loading.
	adapterSlots = 20
	maxComing    = 4
	// loadTime is how long an adapter takes.
	loadTime = 250 * time.Millisecond
	// notExecuted says that a request was not run.
	notExecuted = "Not-Executed"
	requestID   = "Request-Id"
)

// engineSettings are what engines of a case have in common, and the version of their software.
type engineSettings struct {
	version string
	// events is the number of events of a stream, gap the time between them.
	events int
	gap    time.Duration
}

// engine is a stand-in of a model engine.
type engine struct {
	engineSettings
	id, zone string
	born     int64
	log      *record
	server   *http.Server
	// crashed is set by the case once it has crashed the engine.
	crashed bool

	listener net.Listener
	mu       sync.Mutex
	sequence int
	adapters map[string]*adapter
	orders   []receivedOrder
}

// adapter is an adapter that an engine holds or loads.
type adapter struct {
	readyAt time.Time
	runs    int
	// leaving is set when the adapter is to be unloaded once its runs have ended.
	leaving bool
}

// receivedOrder is an order as it arrived.
type receivedOrder struct {
	at     time.Time
	holder string
	token  uint64
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int   `json:"expect"`
	Holder    string `json:"holder"`
	Token     uint64 `json:"fencing-token"`
}

// newEngine starts an engine.
func newEngine(id, zone string, settings engineSettings, log *record) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{engineSettings: settings, id: id, zone: zone, born: time.Now().UnixMilli(), log: log, listener: listener, adapters: map[string]*adapter{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET /report", e.handleReport)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.id) })
	mux.HandleFunc("/", e.handleRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	// It serves until the engine crashes or the program ends.
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// crash ends the engine: its listener and all its connections are closed, and nothing is
// written.
func (e *engine) crash() {
	e.log.add("%s crashes", e.id)
	// Whatever it fails at has ended already.
	_ = e.server.Close()
}

// entry returns the engine's entry in the store.
func (e *engine) entry(address string) map[string]any {
	return map[string]any{
		"service": modelService, "address": address, "zone": e.zone, "version": e.version, "slots": 128, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": e.born,
		"models": []any{map[string]any{"name": model, "version": 1, "adapters": []string{}}},
	}
}

// misdirected refuses a request that names another target, and reports whether it did.
func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get("Expect-Instance"); expected == "" || expected == e.id {
		return false
	}
	w.Header().Set(notExecuted, "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, receivedOrder{at, o.Holder, o.Token})
	status := e.carryOut(o)
	e.log.add("%s gets an order of %s: %s %s, fencing token %d, answer %d", e.id, o.Holder, o.Operation, o.Adapter, o.Token, status)
	w.WriteHeader(status)
}

// carryOut accepts an order or refuses it, and returns the status. The caller holds the lock.
func (e *engine) carryOut(o order) int {
	if o.Expect != nil && *o.Expect != e.sequence {
		return http.StatusConflict
	}
	a, held := e.adapters[o.Adapter]
	switch {
	case o.Operation == "load" && held && !a.leaving:
		return http.StatusOK
	case o.Operation == "load" && (held || e.coming() >= maxComing):
		return http.StatusConflict
	case o.Operation == "load":
		if len(e.adapters) >= adapterSlots {
			e.log.add("%s is ordered to hold more adapters than it has places", e.id)
		}
		e.adapters[o.Adapter] = &adapter{readyAt: time.Now().Add(loadTime)}
		e.sequence++
		return http.StatusAccepted
	case !held:
		return http.StatusOK
	}
	e.sequence++
	if a.leaving = true; a.runs > 0 {
		return http.StatusAccepted
	}
	delete(e.adapters, o.Adapter)
	return http.StatusOK
}

// coming returns the number of adapters that are loading. The caller holds the lock.
func (e *engine) coming() int {
	n := 0
	for _, a := range e.adapters {
		if time.Now().Before(a.readyAt) {
			n++
		}
	}
	return n
}

func (e *engine) handleReport(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	resident, coming := []string{}, []string{}
	for name, a := range e.adapters {
		if time.Now().Before(a.readyAt) {
			coming = append(coming, model+"/"+name+"@1")
		} else {
			resident = append(resident, name+"@1")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left reads no answer.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"born": e.born, "stage": "colocated", "models": []any{map[string]any{"name": model, "version": 1, "adapters": resident}},
		"busy": false, "sequence": e.sequence, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 100000, "handles": 0, "coming": coming,
	})
}

// handleRequest answers a request for an adapter with a stream.
func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(requestID, r.Header.Get(requestID))
	if e.misdirected(w, r) {
		return
	}
	_, name, _ := strings.Cut(r.Header.Get("Model"), "/")
	if !e.begin(name) {
		w.Header().Set(notExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.end(name)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal-"+r.Header.Get(requestID))
	w.Header().Set("Weight-Versions", "1")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for id := after + 1; id <= e.events && r.Context().Err() == nil; id++ {
		time.Sleep(e.gap)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, e.version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// begin counts a run of an adapter, and reports whether the engine holds the adapter.
func (e *engine) begin(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, held := e.adapters[name]
	if !held || a.leaving || time.Now().Before(a.readyAt) {
		return false
	}
	a.runs++
	return true
}

// end ends a run of an adapter, which is unloaded if that was ordered.
func (e *engine) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.adapters[name]
	if a.runs--; a.leaving && a.runs == 0 {
		delete(e.adapters, name)
	}
}

// runs returns the number of streams that the engine runs.
func (e *engine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.adapters {
		n += a.runs
	}
	return n
}

// lastOrder returns the last order that the engine has got; false if it has got none.
func (e *engine) lastOrder() (receivedOrder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) == 0 {
		return receivedOrder{}, false
	}
	return e.orders[len(e.orders)-1], true
}
