package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"heatherrelay/platform/platformtest"
)

// The answers of a worker process. An answer that is no stream has bodyBytes, half of which
// come pauseTime after the others; a stream has workerEvents.
const (
	bodyBytes    = 800
	pauseTime    = 400 * time.Millisecond
	workerEvents = 60
	eventPause   = 50 * time.Millisecond
)

// runWorker runs a worker as a process of its own, which serves an address until it is
// killed. Its answers have neither a length nor chunks and end with their connection. It
// writes a line for each request that it has begun and completed.
func runWorker(address string) int {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", reportWorker)
	mux.HandleFunc("/stream/", answerWith(writeEvents))
	mux.HandleFunc("/", answerWith(writeBody))
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: time.Minute}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return statusNotRun
}

func reportWorker(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the caller has left.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"born": 1, "stage": "colocated", "sequence": 0, "busy": false, "coming": []string{},
		"models": []any{map[string]any{"name": platformtest.Model, "version": 1, "adapters": []string{}}},
	})
}

// answerWith returns a handler that answers on the connection itself.
func answerWith(write func(net.Conn, string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		id := r.Header.Get("Request-Id")
		fmt.Printf("begun %s\n", id)
		if err := write(conn, id); err == nil {
			fmt.Printf("completed %s\n", id)
		}
	}
}

// unframedHead returns the head of an answer that ends with its connection.
func unframedHead(id, contentType string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\nConnection: close\r\n\r\n"
}

// wholeBody returns the body of the answer to a request.
func wholeBody(id string) string {
	text := "answer to " + id + ": "
	return text + strings.Repeat("x", bodyBytes-len(text))
}

func writeBody(conn net.Conn, id string) error {
	body := wholeBody(id)
	if _, err := io.WriteString(conn, unframedHead(id, "text/plain")+body[:bodyBytes/2]); err != nil {
		return err
	}
	time.Sleep(pauseTime)
	_, err := io.WriteString(conn, body[bodyBytes/2:])
	return err
}

// wholeStream returns the events of a stream from one to another.
func wholeStream(from, to int) string {
	var events strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return events.String()
}

func writeEvents(conn net.Conn, id string) error {
	if _, err := io.WriteString(conn, unframedHead(id, "text/event-stream")); err != nil {
		return err
	}
	for i := range workerEvents {
		if _, err := io.WriteString(conn, wholeStream(i+1, i+1)); err != nil {
			return err
		}
		time.Sleep(eventPause)
	}
	return nil
}
