package placement

import (
	"math"
	"sync"
	"time"
)

// The bounds of a pace.
const (
	// initialLoadsPerEngine is the adapters on their way per engine that a zone's holder
	// starts with: weight stores are sized for about as many.
	initialLoadsPerEngine = 0.6
	// maxLoadsPerEngine bounds what it may reach.
	maxLoadsPerEngine = 2.0
	// evaluationInterval is the time over which loads are judged.
	evaluationInterval = 500 * time.Millisecond
	// minSamples is how many loads a judgement takes.
	minSamples = 3
	// decreaseLateShare of late loads shows that the weight store is shared by too many,
	// timelyShare that it is not.
	decreaseLateShare = 0.3
	increaseLateShare = 0.05
	// decreaseFactor and speedUp change the pace.
	decreaseFactor = 0.75
	increaseStep   = 0.5
	// decreaseCooldown is how long the pace stays after it was lowered.
	decreaseCooldown = 2 * time.Second
)

// Pace finds how many adapters may be on their way from the weight store at
// once. What the store can serve is not announced, and beyond it every load
// takes longer: instances tell whether the adapters that they waited for were
// there in time, and the pace rises slowly while loads wait and all are timely,
// and falls fast when they are late. It is safe for concurrent use; the zero
// value is ready for use.
type Pace struct {
	mu          sync.Mutex
	limit       float64
	late        int
	timely      int
	waited      bool
	evaluatedAt time.Time
	decreasedAt time.Time
}

// Limit returns how many adapters may be on their way to a number of engines.
func (p *Pace) Limit(engines int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		p.limit = math.Ceil(initialLoadsPerEngine * float64(engines))
	}
	return int(max(1, min(p.limit, maxLoadsPerEngine*float64(engines))))
}

// RecordWait notes that a load had to wait for others.
func (p *Pace) RecordWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waited = true
}

// Note takes how many awaited adapters were late and how many were there in time.
func (p *Pace) Note(late, timely int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late += late
	p.timely += timely
	total := p.late + p.timely
	if now.Sub(p.evaluatedAt) < evaluationInterval || total < minSamples || p.limit == 0 {
		return
	}
	share := float64(p.late) / float64(total)
	switch {
	case share > decreaseLateShare && now.Sub(p.decreasedAt) > decreaseCooldown:
		p.limit = max(1, p.limit*decreaseFactor)
		p.decreasedAt = now
	case share < increaseLateShare && p.waited && now.Sub(p.decreasedAt) > decreaseCooldown:
		p.limit += increaseStep
	}
	p.late, p.timely, p.waited, p.evaluatedAt = 0, 0, false, now
}
