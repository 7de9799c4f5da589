package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The behaviour of the weight store: how long a fetch takes, and how many in
// flight it serves at full speed.
const (
	DefaultFetchTime        = 250 * time.Millisecond
	fullSpeedFetches        = 8
	fetchRateWindow         = time.Second
	maxRememberedFetchTimes = 4096
)

// WeightStore serves the weights of adapters. A fetch takes FetchTime while no
// more than eight are in flight, and proportionally longer beyond that.
type WeightStore struct {
	// FetchTime is zero for the default.
	FetchTime time.Duration

	mu     sync.Mutex
	flying int
	starts []time.Time
	stats  WeightStoreStats
}

// WeightStoreStats counts fetches.
type WeightStoreStats struct {
	Fetches     int `json:"fetches"`
	MaxInFlight int `json:"max_in_flight"`
	// MaxPerSecond is the most fetches that started within one second.
	MaxPerSecond int `json:"max_per_second"`
}

// Fetch waits as long as the weights take.
func (s *WeightStore) Fetch(ctx context.Context) {
	base := s.FetchTime
	if base == 0 {
		base = DefaultFetchTime
	}
	flying := s.begin(time.Now())
	defer s.end()
	pause(ctx, base*time.Duration(max(flying, fullSpeedFetches))/fullSpeedFetches)
}

// Stats returns the counts so far.
func (s *WeightStore) Stats() WeightStoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *WeightStore) begin(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying++
	s.stats.Fetches++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.flying)
	s.starts = append(s.starts, now)
	for len(s.starts) > maxRememberedFetchTimes || now.Sub(s.starts[0]) >= fetchRateWindow {
		s.starts = s.starts[1:]
	}
	s.stats.MaxPerSecond = max(s.stats.MaxPerSecond, len(s.starts))
	return s.flying
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying--
}

func (s *WeightStore) fetch(w http.ResponseWriter, r *http.Request) {
	s.Fetch(r.Context())
	writeJSON(w, http.StatusOK, struct {
		Adapter string `json:"adapter"`
	}{r.URL.Query().Get("adapter")})
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
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
