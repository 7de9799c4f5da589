package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// The behaviour of an engine that sets none of its own.
const (
	DefaultSlots       = 8
	DefaultMaxBatch    = 16
	DefaultStepTime    = 5 * time.Millisecond
	DefaultKeptStreams = time.Minute
)

// Engine stands in for a model engine: it holds few adapters, batches
// continuously in steps that take longer the fuller the batch, and obeys orders
// with fencing numbers. It answers only for adapters that are resident, and the
// text of each answer is Answer of the model and the prompt. Exported fields are
// set before use; zero values take the defaults.
type Engine struct {
	Endpoint
	ID        string
	BaseModel string
	// Slots is the number of adapters that can be resident.
	Slots    int
	MaxBatch int
	// StepTime is the time of a step for a batch of one.
	StepTime time.Duration
	// KeptStreams is how long a stream is kept after its last reader left.
	KeptStreams time.Duration
	// ChecksFencing makes the engine refuse calls with an old fencing number.
	ChecksFencing bool
	// LoadLag is the age that a load report may have.
	LoadLag time.Duration
	// EventLag is how late cache events are published; every eventGap-th is lost.
	EventLag time.Duration
	// Weights is where loads come from.
	Weights WeightSource

	mu       sync.Mutex
	duties   conc.WaitGroup
	started  time.Time
	stepping bool
	fencing  uint64
	adapters map[string]*slot
	streams  map[string]*stream
	waiting  []*stream
	running  []*stream
	cache    prefixCache
	report   LoadReport
	faults   EngineFaults
	stats    EngineStats
}

// EngineFaults switches failures on.
type EngineFaults struct {
	// ColdRestart drops all streams, adapters and cached prefixes once.
	ColdRestart bool `json:"cold_restart"`
	// Silent makes all connections open now silent for good.
	Silent      bool `json:"silent"`
	FailLoads   bool `json:"fail_loads"`
	LoadDelayMS int  `json:"load_delay_ms"`
	// WrongModel is the number of coming requests that run on another model.
	WrongModel int `json:"wrong_model"`
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Requests int `json:"requests"`
	// EvictedInUse counts streams broken by an eviction.
	EvictedInUse int `json:"evicted_in_use"`
	// WrongModel counts requests answered by a model that they did not name.
	WrongModel       int      `json:"wrong_model"`
	NotLoaded        int      `json:"not_loaded"`
	Loads            int      `json:"loads"`
	FailedLoads      int      `json:"failed_loads"`
	Evictions        int      `json:"evictions"`
	StaleOrders      int      `json:"stale_orders"`
	Resumes          int      `json:"resumes"`
	Cancels          int      `json:"cancels"`
	Steps            int      `json:"steps"`
	Tokens           int      `json:"tokens"`
	CachedTokens     int      `json:"cached_tokens"`
	MaxBatch         int      `json:"max_batch"`
	MaxLoadsInFlight int      `json:"max_loads_in_flight"`
	SeenHeaders      []string `json:"seen_headers"`
}

// slot is an adapter that is resident or being loaded.
type slot struct {
	resident bool
	// done is closed when the load ended.
	done chan struct{}
}

// Start serves the engine on an address.
func (e *Engine) Start(listen netip.AddrPort) (*Running, error) {
	return e.start(listen, e.Handler())
}

// Handler returns the engine's calls.
func (e *Engine) Handler() http.Handler {
	e.mu.Lock()
	e.started = time.Now()
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/streams/{id}/resume", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("POST /v1/adapters/load", e.order(e.load))
	mux.HandleFunc("POST /v1/adapters/evict", e.order(e.evict))
	mux.HandleFunc("POST /v1/fence", e.order(e.fence))
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Load(time.Now()))
	})
	mux.HandleFunc("GET /v1/events", e.events)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("PUT /admin/faults", e.setFaults)
	return e.recording(mux)
}

// Stats returns the counts so far.
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
		e.silence(r.Context())
	}
	writeJSON(w, http.StatusOK, faults)
}

// coldRestart drops all that the engine held; mu is held.
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

func (e *Engine) keptStreams() time.Duration { return orDefault(e.KeptStreams, DefaultKeptStreams) }

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
