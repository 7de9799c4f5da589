package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
)

const (
	// downtime is how long a worker that has crashed is away. Its entry lapses after
	// lapseTime, three heartbeat intervals.
	downtime  = 2 * time.Second
	lapseTime = 3600 * time.Millisecond
	// workerSlots is how many requests a worker runs at the same time.
	workerSlots = 6
)

// worker is a stand-in of a target of a plain service. When it crashes, it is back after
// downtime at the same address, as another incarnation with another id.
type worker struct {
	name, zone, address string
	store               *platformtest.Store
	log                 *record
	// serve answers a request that the incarnation with an id may run.
	serve func(id string, response http.ResponseWriter, r *http.Request, body string)

	mu       sync.Mutex
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
}

// start begins an incarnation, and writes its entry.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	id := w.name + "-" + strconv.Itoa(w.starts)
	w.address, w.listener, w.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	w.mu.Unlock()
	server := &http.Server{Handler: w.handler(id), ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, state http.ConnState) { w.track(c, state) }}
	// It serves until the listener is closed.
	go func() { _ = server.Serve(listener) }()
	w.store.Put("servers", id, map[string]any{
		"service": plainService, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	return nil
}

func (w *worker) track(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// crash ends an incarnation: its listener and all its connections are closed, and nothing is
// written.
func (w *worker) crash(id string) {
	w.log.add("%s crashes", id)
	w.mu.Lock()
	// They may have ended.
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	time.AfterFunc(lapseTime, func() { w.store.Delete("servers", id) })
	time.AfterFunc(downtime, func() {
		if err := w.start(); err != nil {
			w.log.add("%s does not start again: %v", w.name, err)
		}
	})
}

// handler serves the requests of an incarnation.
func (w *worker) handler(id string) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		response.Header().Set(requestID, r.Header.Get(requestID))
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			response.Header().Set(notExecuted, "1")
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.serve(id, response, r, string(body))
	})
}

// finish answers a request that has run.
func finish(response http.ResponseWriter, r *http.Request) {
	response.Header().Set("Response-Seal", "seal-"+r.Header.Get(requestID))
	// A caller that has left reads no answer.
	_, _ = io.WriteString(response, "done")
}
