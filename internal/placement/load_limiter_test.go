package placement_test

import (
	"testing"
	"time"

	"heatherrelay/internal/placement"
)

// weightStore serves up to capacity loads at full speed; with more, each takes longer.
type weightStore struct{ capacity int }

func (s weightStore) late(loading int) bool { return float64(loading) > 1.15*float64(s.capacity) }

// TestLoadLimitConvergesToStoreCapacity covers more loads than the weight store can
// serve, for stores of several sizes: the limit must end near the number that the
// store serves at full speed, whether it starts below or above it.
func TestLoadLimitConvergesToStoreCapacity(t *testing.T) {
	for _, capacity := range []int{3, 13, 25} {
		const engines = 30
		store := weightStore{capacity: capacity}
		limiter := &placement.LoadLimiter{}
		now := time.Unix(1000, 0)
		within, rounds := 0, 0
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			limit := limiter.Limit(engines)
			limiter.RecordWait()
			if store.late(limit) {
				limiter.Observe(limit, 0, now)
			} else {
				limiter.Observe(0, limit, now)
			}
			if now.Sub(time.Unix(1000, 0)) > 20*time.Second {
				rounds++
				if float64(limit) > 0.6*float64(capacity) && float64(limit) < 1.4*float64(capacity) {
					within++
				}
			}
		}
		if within*10 < rounds*8 {
			t.Errorf("store capacity %d: limit near it in only %d of %d rounds", capacity, within, rounds)
		}
	}
}

// TestLoadLimitStaysWhileNoLoadWaits checks that the limit does not rise without
// need.
func TestLoadLimitStaysWhileNoLoadWaits(t *testing.T) {
	limiter := &placement.LoadLimiter{}
	now := time.Unix(1000, 0)
	before := limiter.Limit(4)
	for range 100 {
		now = now.Add(time.Second)
		limiter.Observe(0, 10, now)
	}
	if after := limiter.Limit(4); after != before {
		t.Errorf("limit %d, was %d before", after, before)
	}
}
