package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"heatherrelay/internal/objectstore"
)

// Default rate limits of a platform, in calls per second.
const (
	DefaultReadLimit  = 2000
	DefaultWriteLimit = 400
)

// Platform stands in for the platform: its object API on an in-memory store,
// its lists of instances and targets, which change with a lag, and its weight
// store. A call over a rate limit is answered with status 429 and has no
// effect; a waiting watch counts as one read per second.
type Platform struct {
	Endpoint
	// Memory is the object store behind the API.
	Memory objectstore.Memory
	// ListLag is the delay until a change of the instance or target list becomes
	// visible.
	ListLag time.Duration
	// Weights is the weight store shared by all engines.
	Weights WeightStore

	mu           sync.Mutex
	faults       PlatformFaults
	stats        PlatformStats
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// PlatformFaults selects the faults that a platform injects; the zero value
// injects none.
type PlatformFaults struct {
	// Outage makes every call of the API fail with status 503.
	Outage  bool `json:"outage"`
	DelayMS int  `json:"delay_ms"`
	// LoseAnswers is the number of upcoming writes that take effect but whose
	// answers are lost; with a negative number, the answers of all writes are.
	LoseAnswers int `json:"lose_answers"`
	// ReadLimit and WriteLimit are in calls per second; zero selects the
	// default.
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

// Start serves the platform's API on an address.
func (p *Platform) Start(listen netip.AddrPort) (*Server, error) {
	return p.start(listen, p.Handler())
}

// Handler returns the handler of the platform's API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", p.limitedRead(p.list))
	mux.HandleFunc("GET /v1/objects/{key...}", p.limitedRead(p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.limitedWrite(p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.limitedWrite(p.remove))
	mux.HandleFunc("GET /v1/watch", p.limitedRead(p.watch))
	mux.HandleFunc("GET /v1/instances", p.limitedRead(p.instances))
	mux.HandleFunc("GET /v1/targets", p.limitedRead(p.targets))
	mux.HandleFunc("POST /weights/fetch", p.Weights.handleFetch)
	mux.HandleFunc("PUT /admin/instances", p.setInstances)
	mux.HandleFunc("PUT /admin/targets", p.setTargets)
	mux.HandleFunc("PUT /admin/faults", p.setFaults)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	return p.withRecording(mux)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.readLimiter = newLimiter(faults.ReadLimit, DefaultReadLimit)
	p.writeLimiter = newLimiter(faults.WriteLimit, DefaultWriteLimit)
}

// SetInstances replaces the list of instances; the change becomes visible after
// ListLag.
func (p *Platform) SetInstances(entries []objectstore.InstanceEntry) {
	p.applyAfterListLag(func() { p.Memory.SetInstances(entries) })
}

// SetTargets replaces the list of targets; the change becomes visible after
// ListLag.
func (p *Platform) SetTargets(entries []objectstore.TargetEntry) {
	p.applyAfterListLag(func() { p.Memory.SetTargets(entries) })
}

// Stats returns the current counts.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Weights = p.Weights.Stats()
	stats.SeenHeaders = p.Received.Headers()
	return stats
}

func (p *Platform) applyAfterListLag(change func()) {
	if p.ListLag <= 0 {
		change()
		return
	}
	time.AfterFunc(p.ListLag, change)
}

// limitedRead wraps a handler: calls count against the read limit, and injected
// faults apply.
func (p *Platform) limitedRead(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.admit(w, r, false) {
			call(w, r)
		}
	}
}

// limitedWrite wraps a handler: calls count against the write limit, and
// injected faults apply.
func (p *Platform) limitedWrite(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w, r, true) {
			return
		}
		if p.loseAnswer() {
			call(discardWriter{header: http.Header{}}, r)
			abort()
		}
		call(w, r)
	}
}

// admit reports whether a call may run; if not, it has answered the call with
// the outage or the exceeded limit.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	p.mu.Lock()
	faults := p.faults
	allowed := faults.Outage || p.allowCall(write)
	p.mu.Unlock()
	sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
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

// allowCall counts a call and reports whether its rate limit admits it. The
// caller holds mu.
func (p *Platform) allowCall(write bool) bool {
	if p.readLimiter == nil {
		p.readLimiter = newLimiter(0, DefaultReadLimit)
		p.writeLimiter = newLimiter(0, DefaultWriteLimit)
	}
	limit, count := p.readLimiter, &p.stats.Reads
	if write {
		limit, count = p.writeLimiter, &p.stats.Writes
	}
	*count++
	if !limit.Allow() {
		p.stats.Throttled++
		return false
	}
	return true
}

// loseAnswer reports whether the answer of this write is to be lost, and counts
// it as lost.
func (p *Platform) loseAnswer() bool {
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

func newLimiter(limit, fallback float64) *rate.Limiter {
	if limit <= 0 {
		limit = fallback
	}
	return rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
}

// discardWriter is an http.ResponseWriter for a call whose answer is lost.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards b.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}
