package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
)

// Request is a client attempt.
type Request struct {
	ID, Method, Path, Key, Body string
	Deadline                    time.Duration
	Header                      map[string]string
	// Until is closed when the client leaves; nil if it stays.
	Until <-chan struct{}
}

// Answer is what the client received.
type Answer struct {
	At, EndedAt time.Time
	Status      int
	Header      http.Header
	Body        string
	// Complete is set when the body ended as HTTP prescribes.
	Complete bool
	Err      error
}

// Send sends a request on a new connection and reads the whole answer.
func Send(p *Instance, r Request) (a Answer) {
	a.At = time.Now()
	defer func() { a.EndedAt = time.Now() }()
	request, err := http.NewRequest(r.Method, "http://"+p.Clients.String()+r.Path, strings.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", r.ID)
	if r.Key != "" {
		request.Header.Set("Key", r.Key)
	}
	request.Header.Set("Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	for name, value := range r.Header {
		request.Header[name] = []string{value}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	client := http.Client{Timeout: r.Deadline, Transport: transport}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-r.Until:
			cancel()
		case <-ctx.Done():
		}
	}()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.Status, a.Header = response.StatusCode, response.Header
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		body.Write(buffer[:n])
		a.Body = body.String()
		if err != nil {
			a.Complete, a.Err = err == io.EOF, err
			return a
		}
	}
}

// Answers collects the answers of concurrent requests.
type Answers struct {
	mu  sync.Mutex
	all map[string]Answer
}

// Put stores the answer to a request.
func (s *Answers) Put(id string, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[string]Answer{}
	}
	s.all[id] = a
}

// All returns the answers by request id. No request may be under way.
func (s *Answers) All() map[string]Answer { return s.all }
