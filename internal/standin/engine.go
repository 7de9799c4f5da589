package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Defaults of the fields of Engine.
const (
	DefaultSlots           = 8
	DefaultMaxBatch        = 16
	DefaultStepTime        = 5 * time.Millisecond
	DefaultStreamRetention = time.Minute
)

// Engine stands in for a model engine. It has a limited number of adapter
// slots, batches continuously in steps that take longer the larger the batch,
// and executes orders that carry fencing numbers. It answers requests only for
// resident adapters, and the text of each answer is Answer(model, prompt,
// tokens). Set exported fields before use; zero values select the defaults.
type Engine struct {
	Endpoint
	ID        string
	BaseModel string
	// Slots is the number of adapter slots.
	Slots int
	// MaxBatch is the maximum number of streams in a batch.
	MaxBatch int
	// StepTime is the duration of a step with a batch of one.
	StepTime time.Duration
	// StreamRetention is how long a stream is retained for a resume after its last
	// reader has disconnected.
	StreamRetention time.Duration
	// ChecksFencing makes the engine refuse calls whose fencing number is lower
	// than the highest it has seen.
	ChecksFencing bool
	// LoadReportMaxAge is the maximum age of a load report; a younger one is
	// served from cache.
	LoadReportMaxAge time.Duration
	// EventLag is the delay until a cache event is published. Every
	// lostEventInterval-th event is never published.
	EventLag time.Duration
	// Weights is the source of the weights of loaded adapters.
	Weights WeightSource

	mu              sync.Mutex
	background      conc.WaitGroup
	started         time.Time
	stepLoopRunning bool
	fencing         uint64
	adapters        map[string]*adapterSlot
	streams         map[string]*stream
	waiting         []*stream
	running         []*stream
	cache           prefixCache
	report          LoadReport
	faults          EngineFaults
	stats           EngineStats
}

// EngineFaults selects the faults that an engine injects.
type EngineFaults struct {
	// ColdRestart drops all streams, adapters and cached prefixes once, when the
	// fault is set.
	ColdRestart bool `json:"cold_restart"`
	// Silent permanently silences all connections that are open when the fault
	// is set.
	Silent      bool `json:"silent"`
	FailLoads   bool `json:"fail_loads"`
	LoadDelayMS int  `json:"load_delay_ms"`
	// WrongModel is the number of upcoming requests that run on another model.
	WrongModel int `json:"wrong_model"`
}

// EngineStats counts the requests, orders and steps of an engine.
type EngineStats struct {
	Requests int `json:"requests"`
	// EvictedInUse counts streams broken by an eviction.
	EvictedInUse int `json:"evicted_in_use"`
	// WrongModel counts requests answered by a model other than the one
	// requested.
	WrongModel   int `json:"wrong_model"`
	NotLoaded    int `json:"not_loaded"`
	Loads        int `json:"loads"`
	FailedLoads  int `json:"failed_loads"`
	Evictions    int `json:"evictions"`
	StaleOrders  int `json:"stale_orders"`
	Resumes      int `json:"resumes"`
	Cancels      int `json:"cancels"`
	Steps        int `json:"steps"`
	Tokens       int `json:"tokens"`
	CachedTokens int `json:"cached_tokens"`
	// MaxBatch is the size of the largest batch so far.
	MaxBatch         int      `json:"max_batch"`
	MaxLoadsInFlight int      `json:"max_loads_in_flight"`
	SeenHeaders      []string `json:"seen_headers"`
}

// adapterSlot holds an adapter that is resident or loading.
type adapterSlot struct {
	resident bool
	// done is closed when the load ends, successfully or not.
	done chan struct{}
}

// Start serves the engine's API on an address.
func (e *Engine) Start(listen netip.AddrPort) (*Server, error) {
	return e.start(listen, e.Handler())
}

// Handler returns the handler of the engine's API.
func (e *Engine) Handler() http.Handler {
	e.mu.Lock()
	e.started = time.Now()
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/streams/{id}/resume", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	mux.HandleFunc("POST /v1/adapters/load", e.handleOrder(e.load))
	mux.HandleFunc("POST /v1/adapters/evict", e.handleOrder(e.evict))
	mux.HandleFunc("POST /v1/fence", e.handleOrder(e.fence))
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.LoadReport(time.Now()))
	})
	mux.HandleFunc("GET /v1/events", e.handleEvents)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("PUT /admin/faults", e.setFaults)
	return e.withRecording(mux)
}

// Stats returns the current counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.SeenHeaders = e.Received.Headers()
	return stats
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if !readJSON(w, r, &faults) {
		return
	}
	e.mu.Lock()
	e.faults = faults
	if faults.ColdRestart {
		e.coldRestart()
	}
	e.mu.Unlock()
	if faults.Silent {
		e.silenceConns(r.Context())
	}
	writeJSON(w, http.StatusOK, faults)
}

// coldRestart drops all state of the engine. The caller holds mu.
func (e *Engine) coldRestart() {
	for _, s := range e.streams {
		s.end(errBrokenStream)
	}
	e.streams, e.adapters = nil, nil
	e.waiting, e.running = nil, nil
	e.fencing = 0
	e.cache = prefixCache{}
	e.started = time.Now()
	e.report = LoadReport{}
}

func (e *Engine) slots() int { return orDefault(e.Slots, DefaultSlots) }

func (e *Engine) maxBatch() int { return orDefault(e.MaxBatch, DefaultMaxBatch) }

func (e *Engine) stepTime() time.Duration { return orDefault(e.StepTime, DefaultStepTime) }

func (e *Engine) streamRetention() time.Duration {
	return orDefault(e.StreamRetention, DefaultStreamRetention)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
