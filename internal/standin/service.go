package standin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Service stands in for a plain service: it echoes each call and counts it by
// its ids. A call that was counted did run, whatever became of its answer.
type Service struct {
	Endpoint
	Name string

	mu     sync.Mutex
	faults ServiceFaults
	counts ServiceCounts
}

// ServiceFaults switches failures on.
type ServiceFaults struct {
	DelayMS int `json:"delay_ms"`
	// DropAfterRun is the number of coming calls that run and whose connection
	// then closes without an answer; below zero drops all.
	DropAfterRun int `json:"drop_after_run"`
	// Silent makes all connections open now silent for good.
	Silent bool `json:"silent"`
}

// ServiceCounts counts the calls that ran by each of their ids.
type ServiceCounts struct {
	RequestIDs      map[string]int `json:"request_ids"`
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
	Paths           map[string]int `json:"paths"`
}

// ServiceStats tells what the service saw.
type ServiceStats struct {
	SeenHeaders []string `json:"seen_headers"`
}

// Echo is the service's answer.
type Echo struct {
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query"`
	Body           string `json:"body"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
}

// Start serves the service on an address.
func (s *Service) Start(listen netip.AddrPort) (*Running, error) {
	return s.start(listen, s.Handler())
}

// Handler returns the service's calls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.call)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, ServiceStats{SeenHeaders: s.Received.Headers()})
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults ServiceFaults
		if readJSON(w, r, &faults) {
			s.SetFaults(r.Context(), faults)
			writeJSON(w, http.StatusOK, faults)
		}
	})
	return s.recording(mux)
}

// SetFaults replaces the switched failures. The context is that of the call
// which asks for it.
func (s *Service) SetFaults(ctx context.Context, faults ServiceFaults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	if faults.Silent {
		s.silence(ctx)
	}
}

// Counts returns a copy of the counts so far.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready()
	return ServiceCounts{
		RequestIDs:      maps.Clone(s.counts.RequestIDs),
		IdempotencyKeys: maps.Clone(s.counts.IdempotencyKeys),
		Paths:           maps.Clone(s.counts.Paths),
	}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abort()
	}
	echo := Echo{
		Service:        s.Name,
		Method:         r.Method,
		Path:           r.URL.Path,
		Query:          r.URL.RawQuery,
		Body:           string(body),
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	delay, drop := s.run(echo)
	pause(r.Context(), delay)
	if drop {
		abort()
	}
	w.Header().Set("X-Request-Id", echo.RequestID)
	writeJSON(w, http.StatusOK, echo)
}

// run counts a call and returns how its answer fails.
func (s *Service) run(echo Echo) (delay time.Duration, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready()
	if echo.RequestID != "" {
		s.counts.RequestIDs[echo.RequestID]++
	}
	if echo.IdempotencyKey != "" {
		s.counts.IdempotencyKeys[echo.IdempotencyKey]++
	}
	s.counts.Paths[echo.Path]++
	drop = s.faults.DropAfterRun != 0
	if s.faults.DropAfterRun > 0 {
		s.faults.DropAfterRun--
	}
	return time.Duration(s.faults.DelayMS) * time.Millisecond, drop
}

func (s *Service) ready() {
	if s.counts.Paths == nil {
		s.counts = ServiceCounts{RequestIDs: map[string]int{}, IdempotencyKeys: map[string]int{}, Paths: map[string]int{}}
	}
}
