package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Properties of the weight store: the duration of a fetch, the number of
// concurrent fetches that it serves at full speed, and the window and size of
// the list of start times from which it derives the rate.
const (
	DefaultFetchTime    = 250 * time.Millisecond
	maxFullSpeedFetches = 8
	fetchRateWindow     = time.Second
	maxFetchStarts      = 4096
)

// WeightStore serves the weights of adapters. A fetch takes FetchTime while at
// most eight are in flight, and proportionally longer with more.
type WeightStore struct {
	// FetchTime is the duration of a fetch; zero selects DefaultFetchTime.
	FetchTime time.Duration

	mu          sync.Mutex
	inFlight    int
	fetchStarts []time.Time
	stats       WeightStoreStats
}

// WeightStoreStats counts fetches, and holds the maxima of their concurrency
// and rate.
type WeightStoreStats struct {
	Fetches     int `json:"fetches"`
	MaxInFlight int `json:"max_in_flight"`
	// MaxPerSecond is the largest number of fetches that started within one
	// second.
	MaxPerSecond int `json:"max_per_second"`
}

// Fetch blocks for the duration of a fetch or until ctx ends.
func (s *WeightStore) Fetch(ctx context.Context) {
	base := s.FetchTime
	if base == 0 {
		base = DefaultFetchTime
	}
	inFlight := s.begin(time.Now())
	defer s.end()
	sleep(ctx, base*time.Duration(max(inFlight, maxFullSpeedFetches))/maxFullSpeedFetches)
}

// Stats returns the current counts.
func (s *WeightStore) Stats() WeightStoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// begin records the start of a fetch and returns the number in flight,
// including this one.
func (s *WeightStore) begin(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.stats.Fetches++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.inFlight)
	s.fetchStarts = append(s.fetchStarts, now)
	for len(s.fetchStarts) > maxFetchStarts || now.Sub(s.fetchStarts[0]) >= fetchRateWindow {
		s.fetchStarts = s.fetchStarts[1:]
	}
	s.stats.MaxPerSecond = max(s.stats.MaxPerSecond, len(s.fetchStarts))
	return s.inFlight
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *WeightStore) handleFetch(w http.ResponseWriter, r *http.Request) {
	s.Fetch(r.Context())
	writeJSON(w, http.StatusOK, struct {
		Adapter string `json:"adapter"`
	}{r.URL.Query().Get("adapter")})
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
