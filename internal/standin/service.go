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
// request ID, idempotency key and path. A counted call has run, even if its
// answer was lost.
type Service struct {
	Endpoint
	Name string

	mu     sync.Mutex
	faults ServiceFaults
	counts ServiceCounts
}

// ServiceFaults selects the faults that a service injects.
type ServiceFaults struct {
	DelayMS int `json:"delay_ms"`
	// DropAfterRun is the number of upcoming calls that run and whose connection
	// is then closed without an answer; with a negative number, every
	// connection is.
	DropAfterRun int `json:"drop_after_run"`
	// Silent permanently silences all connections that are open when the fault
	// is set.
	Silent bool `json:"silent"`
}

// ServiceCounts counts the calls that ran, by request ID, by idempotency key
// and by path.
type ServiceCounts struct {
	RequestIDs      map[string]int `json:"request_ids"`
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
	Paths           map[string]int `json:"paths"`
}

// ServiceStats lists the names of the headers that the service received.
type ServiceStats struct {
	SeenHeaders []string `json:"seen_headers"`
}

// Echo is the body of the service's answer: the call as received.
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
func (s *Service) Start(listen netip.AddrPort) (*Server, error) {
	return s.start(listen, s.Handler())
}

// Handler returns the handler of the service and of its administration calls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleCall)
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
	return s.withRecording(mux)
}

// SetFaults replaces the injected faults. If ctx belongs to a request, that
// request's connection is not silenced.
func (s *Service) SetFaults(ctx context.Context, faults ServiceFaults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	if faults.Silent {
		s.silenceConns(ctx)
	}
}

// Counts returns a copy of the current counts.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initCounts()
	return ServiceCounts{
		RequestIDs:      maps.Clone(s.counts.RequestIDs),
		IdempotencyKeys: maps.Clone(s.counts.IdempotencyKeys),
		Paths:           maps.Clone(s.counts.Paths),
	}
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
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
	delay, drop := s.recordCall(echo)
	sleep(r.Context(), delay)
	if drop {
		abort()
	}
	w.Header().Set("X-Request-Id", echo.RequestID)
	writeJSON(w, http.StatusOK, echo)
}

// recordCall counts a call and returns the faults that apply to its answer.
func (s *Service) recordCall(echo Echo) (delay time.Duration, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initCounts()
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

// initCounts creates the maps on first use. The caller holds mu.
func (s *Service) initCounts() {
	if s.counts.Paths == nil {
		s.counts = ServiceCounts{RequestIDs: map[string]int{}, IdempotencyKeys: map[string]int{}, Paths: map[string]int{}}
	}
}
