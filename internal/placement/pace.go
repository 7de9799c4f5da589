package placement

import (
	"math"
	"sync"
	"time"
)

// The bounds of a pace.
const (
	// startPerEngine is the adapters on their way per engine that a zone's holder
	// starts with: weight stores are sized for about as many.
	startPerEngine = 0.6
	// mostPerEngine bounds what it may reach.
	mostPerEngine = 2.0
	// paceInterval is the time over which loads are judged.
	paceInterval = 500 * time.Millisecond
	// leastJudged is how many loads a judgement takes.
	leastJudged = 3
	// lateShare of late loads shows that the weight store is shared by too many,
	// timelyShare that it is not.
	lateShare   = 0.3
	timelyShare = 0.05
	// slowDown and speedUp change the pace.
	slowDown = 0.75
	speedUp  = 0.5
	// settleTime is how long the pace stays after it was lowered.
	settleTime = 2 * time.Second
)

// Pace finds how many adapters may be on their way from the weight store at
// once. What the store can serve is not announced, and beyond it every load
// takes longer: instances tell whether the adapters that they waited for were
// there in time, and the pace rises slowly while loads wait and all are timely,
// and falls fast when they are late. It is safe for concurrent use; the zero
// value is ready for use.
type Pace struct {
	mu      sync.Mutex
	limit   float64
	late    int
	timely  int
	waited  bool
	judged  time.Time
	lowered time.Time
}

// Share returns how many adapters may be on their way to a number of engines.
func (p *Pace) Share(engines int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		p.limit = math.Ceil(startPerEngine * float64(engines))
	}
	return int(max(1, min(p.limit, mostPerEngine*float64(engines))))
}

// Waited notes that a load had to wait for others.
func (p *Pace) Waited() {
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
	all := p.late + p.timely
	if now.Sub(p.judged) < paceInterval || all < leastJudged || p.limit == 0 {
		return
	}
	share := float64(p.late) / float64(all)
	switch {
	case share > lateShare && now.Sub(p.lowered) > settleTime:
		p.limit = max(1, p.limit*slowDown)
		p.lowered = now
	case share < timelyShare && p.waited && now.Sub(p.lowered) > settleTime:
		p.limit += speedUp
	}
	p.late, p.timely, p.waited, p.judged = 0, 0, false, now
}
