package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"heatherrelay/internal/objectstore"
)

// The limits of a platform that sets none, in calls per second.
const (
	DefaultReadLimit  = 2000
	DefaultWriteLimit = 400
)

// Platform stands in for the platform: its object API over a store in memory,
// its lagging lists and its weight store. A call over the limits is answered
// with 429 and does nothing; a waiting watch counts as a read each second.
type Platform struct {
	Endpoint
	// Memory is the store behind the API.
	Memory objectstore.Memory
	// ListLag is how long a change of a list takes to be seen.
	ListLag time.Duration
	// Weights is the weight store of all engines.
	Weights WeightStore

	mu     sync.Mutex
	faults PlatformFaults
	stats  PlatformStats
	reads  *rate.Limiter
	writes *rate.Limiter
}

// PlatformFaults switches failures on; the zero value is a healthy platform.
type PlatformFaults struct {
	// Outage answers 503 to every call of the API.
	Outage  bool `json:"outage"`
	DelayMS int  `json:"delay_ms"`
	// LoseAnswers is the number of coming writes that take effect and whose
	// answers are lost; below zero loses all.
	LoseAnswers int `json:"lose_answers"`
	// ReadLimit and WriteLimit are in calls per second; zero takes the default.
	ReadLimit  float64 `json:"read_limit"`
	WriteLimit float64 `json:"write_limit"`
}

// PlatformStats counts the calls of the API.
type PlatformStats struct {
	Reads       int              `json:"reads"`
	Writes      int              `json:"writes"`
	Watches     int              `json:"watches"`
	Throttled   int              `json:"throttled"`
	LostAnswers int              `json:"lost_answers"`
	Weights     WeightStoreStats `json:"weights"`
	SeenHeaders []string         `json:"seen_headers"`
}

// Start serves the platform on an address.
func (p *Platform) Start(listen netip.AddrPort) (*Running, error) {
	return p.start(listen, p.Handler())
}

// Handler returns the platform's calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", p.read(p.list))
	mux.HandleFunc("GET /v1/objects/{key...}", p.read(p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.write(p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.write(p.remove))
	mux.HandleFunc("GET /v1/watch", p.read(p.watch))
	mux.HandleFunc("GET /v1/instances", p.read(p.instances))
	mux.HandleFunc("GET /v1/targets", p.read(p.targets))
	mux.HandleFunc("POST /weights/fetch", p.Weights.fetch)
	mux.HandleFunc("PUT /admin/instances", p.setInstances)
	mux.HandleFunc("PUT /admin/targets", p.setTargets)
	mux.HandleFunc("PUT /admin/faults", p.setFaults)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	return p.recording(mux)
}

// SetFaults replaces the switched failures.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.reads = limiter(faults.ReadLimit, DefaultReadLimit)
	p.writes = limiter(faults.WriteLimit, DefaultWriteLimit)
}

// SetInstances replaces the list of instances; it is seen after ListLag.
func (p *Platform) SetInstances(entries []objectstore.InstanceEntry) {
	p.later(func() { p.Memory.SetInstances(entries) })
}

// SetTargets replaces the list of targets; it is seen after ListLag.
func (p *Platform) SetTargets(entries []objectstore.TargetEntry) {
	p.later(func() { p.Memory.SetTargets(entries) })
}

// Stats returns the counts so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Weights = p.Weights.Stats()
	stats.SeenHeaders = p.Received.Headers()
	return stats
}

func (p *Platform) later(change func()) {
	if p.ListLag <= 0 {
		change()
		return
	}
	time.AfterFunc(p.ListLag, change)
}

// read counts a call against the read limit and applies the failures to it.
func (p *Platform) read(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.enter(w, r, false) {
			call(w, r)
		}
	}
}

// write counts a call against the write limit and applies the failures to it.
func (p *Platform) write(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.enter(w, r, true) {
			return
		}
		if p.losesAnswer() {
			call(discard{header: http.Header{}}, r)
			abort()
		}
		call(w, r)
	}
}

// enter answers a call that fails or is over a limit and returns false.
func (p *Platform) enter(w http.ResponseWriter, r *http.Request, write bool) bool {
	p.mu.Lock()
	faults := p.faults
	allowed := faults.Outage || p.allow(write)
	p.mu.Unlock()
	pause(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
	switch {
	case faults.Outage:
		writeError(w, http.StatusServiceUnavailable, "outage", objectstore.ErrUnavailable.New("outage"))
		return false
	case !allowed:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "throttled", objectstore.ErrThrottled.New("over the limit"))
		return false
	}
	return true
}

// allow counts one call and says whether the limits let it pass; mu is held.
func (p *Platform) allow(write bool) bool {
	if p.reads == nil {
		p.reads = limiter(0, DefaultReadLimit)
		p.writes = limiter(0, DefaultWriteLimit)
	}
	calls, count := p.reads, &p.stats.Reads
	if write {
		calls, count = p.writes, &p.stats.Writes
	}
	*count++
	if !calls.Allow() {
		p.stats.Throttled++
		return false
	}
	return true
}

func (p *Platform) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
	}
	p.stats.LostAnswers++
	return true
}

func limiter(limit, fallback float64) *rate.Limiter {
	if limit <= 0 {
		limit = fallback
	}
	return rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
}

// discard is the answer to a call whose answer is lost.
type discard struct{ header http.Header }

// Header returns headers that are never sent.
func (d discard) Header() http.Header { return d.header }

// Write drops b.
func (d discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}
