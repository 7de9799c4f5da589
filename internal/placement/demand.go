package placement

import (
	"math"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// demandHalfLife is the time after which a request counts half: demand moves
	// to other adapters within seconds.
	demandHalfLife = 6 * time.Second
	// demandSweep is the number of adapters from which those that are hardly asked
	// for are forgotten, and leastDemand what these count at most.
	demandSweep = 2000
	leastDemand = 0.1
	// copyPause is the time between two copies of an adapter that one instance
	// asks for.
	copyPause = time.Second
)

// count is a number of requests, decayed.
type count struct {
	requests float64
	at       time.Time
}

func (c *count) value(now time.Time) float64 {
	return c.requests * math.Exp2(-now.Sub(c.at).Seconds()/demandHalfLife.Seconds())
}

func (c *count) add(now time.Time) {
	c.requests = c.value(now) + 1
	c.at = now
}

// Demand counts an instance's requests by adapter, to tell which adapters are
// asked for so much that one engine should not carry them alone. The requests
// of an instance are a sample of the fleet's. It is safe for concurrent use. Set
// Now before the first use.
type Demand struct {
	Now func() time.Time

	mu       sync.Mutex
	all      count
	adapters map[deployment.AdapterName]*count
	copied   map[deployment.AdapterName]time.Time
}

// Note counts a request for an adapter.
func (d *Demand) Note(name deployment.AdapterName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.adapters == nil {
		d.adapters = map[deployment.AdapterName]*count{}
	}
	now := d.Now()
	d.all.add(now)
	c, ok := d.adapters[name]
	if !ok {
		d.sweep(now)
		c = &count{at: now}
		d.adapters[name] = c
	}
	c.add(now)
}

// sweep forgets what is hardly asked for; the caller holds the lock.
func (d *Demand) sweep(now time.Time) {
	if len(d.adapters) < demandSweep {
		return
	}
	for name, c := range d.adapters {
		if c.value(now) < leastDemand {
			delete(d.adapters, name)
		}
	}
	for name, at := range d.copied {
		if now.Sub(at) > copyPause {
			delete(d.copied, name)
		}
	}
}

// Copies returns how many of a number of engines should hold an adapter so that
// none gets more requests than it would if all adapters were everywhere. Few
// requests are not taken for many: their standard deviation is taken off.
func (d *Demand) Copies(name deployment.AdapterName, engines int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.adapters[name]
	if !ok || name.Adapter == "" {
		return 0
	}
	now := d.Now()
	requests := c.value(now)
	return (requests - math.Sqrt(requests)) / d.all.value(now) * float64(engines)
}

// MayCopy says whether this instance may ask for a further copy of an adapter
// now, and notes that it does.
func (d *Demand) MayCopy(name deployment.AdapterName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if now.Sub(d.copied[name]) < copyPause {
		return false
	}
	if d.copied == nil {
		d.copied = map[deployment.AdapterName]time.Time{}
	}
	d.copied[name] = now
	return true
}
