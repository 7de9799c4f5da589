package placement

import (
	"math"
	"sync"
	"time"
)

// Bounds and steps of the load limit.
const (
	// initialLoadsPerEngine is the initial limit per engine of the zone; weight
	// stores are sized for about as many loads.
	initialLoadsPerEngine = 0.6
	// maxLoadsPerEngine is the upper bound of the limit per engine.
	maxLoadsPerEngine = 2.0
	// evaluationInterval is the minimum time between two evaluations.
	evaluationInterval = 500 * time.Millisecond
	// minSamples is the minimum number of loads in an evaluation.
	minSamples = 3
	// A share of late loads above decreaseLateShare shows that too many loads share
	// the weight store, one below increaseLateShare that it has capacity left.
	decreaseLateShare = 0.3
	increaseLateShare = 0.05
	// decreaseFactor lowers the limit, increaseStep raises it.
	decreaseFactor = 0.75
	increaseStep   = 0.5
	// decreaseCooldown is how long the limit stays unchanged after it was lowered.
	decreaseCooldown = 2 * time.Second
)

// LoadLimiter limits the adapters that load from the weight store at once. The store's
// capacity is not announced, and beyond it every load takes longer. Instances
// report whether the adapters that they waited for were ready at the expected
// time; the limit rises by small steps while loads wait and nearly all are on
// time, and falls by a factor when many are late. It is safe for concurrent use;
// the zero value is ready for use.
type LoadLimiter struct {
	mu          sync.Mutex
	limit       float64
	late        int
	timely      int
	waited      bool
	evaluatedAt time.Time
	decreasedAt time.Time
}

// Limit returns how many adapters may load at once for a number of engines.
func (l *LoadLimiter) Limit(engines int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		l.limit = math.Ceil(initialLoadsPerEngine * float64(engines))
	}
	return int(max(1, min(l.limit, maxLoadsPerEngine*float64(engines))))
}

// RecordWait records that a load had to wait because the limit was reached.
func (l *LoadLimiter) RecordWait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waited = true
}

// Observe records how many awaited adapters were ready after and how many by their
// expected time, and adjusts the limit when an evaluation is due.
func (l *LoadLimiter) Observe(late, timely int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late += late
	l.timely += timely
	total := l.late + l.timely
	if now.Sub(l.evaluatedAt) < evaluationInterval || total < minSamples || l.limit == 0 {
		return
	}
	share := float64(l.late) / float64(total)
	switch {
	case share > decreaseLateShare && now.Sub(l.decreasedAt) > decreaseCooldown:
		l.limit = max(1, l.limit*decreaseFactor)
		l.decreasedAt = now
	case share < increaseLateShare && l.waited && now.Sub(l.decreasedAt) > decreaseCooldown:
		l.limit += increaseStep
	}
	l.late, l.timely, l.waited, l.evaluatedAt = 0, 0, false, now
}
