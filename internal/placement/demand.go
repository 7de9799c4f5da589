package placement

import (
	"math"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// demandHalfLife is the time after which a request counts half. It is short
	// because demand moves to other adapters within seconds.
	demandHalfLife = 6 * time.Second
	// sweepThreshold is the number of tracked adapters from which rarely requested
	// ones are removed, minDemand the decayed count below which they are.
	sweepThreshold = 2000
	minDemand      = 0.1
	// copyInterval is the minimum time between two requests of one instance for a
	// further copy of an adapter.
	copyInterval = time.Second
)

// DecayedCount is a number of requests that decays exponentially. The zero value counts none.
type DecayedCount struct {
	requests  float64
	updatedAt time.Time
}

// Value returns the count as of now.
func (c *DecayedCount) Value(now time.Time) float64 {
	return c.requests * math.Exp2(-now.Sub(c.updatedAt).Seconds()/demandHalfLife.Seconds())
}

// Add counts a request.
func (c *DecayedCount) Add(now time.Time) {
	c.requests = c.Value(now) + 1
	c.updatedAt = now
}

// Demand counts an instance's requests by adapter, to find the adapters that need
// more than one engine. The requests of an instance are a sample of those of all
// instances. Demand is safe for concurrent use. Set Now before the first use.
type Demand struct {
	Now func() time.Time

	mu       sync.Mutex
	total    DecayedCount
	adapters map[deployment.AdapterName]*DecayedCount
	copiedAt map[deployment.AdapterName]time.Time
}

// Record counts a request for an adapter.
func (d *Demand) Record(name deployment.AdapterName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.adapters == nil {
		d.adapters = map[deployment.AdapterName]*DecayedCount{}
	}
	now := d.Now()
	d.total.Add(now)
	c, ok := d.adapters[name]
	if !ok {
		d.sweep(now)
		c = &DecayedCount{updatedAt: now}
		d.adapters[name] = c
	}
	c.Add(now)
}

// sweep removes rarely requested adapters. The caller holds the lock.
func (d *Demand) sweep(now time.Time) {
	if len(d.adapters) < sweepThreshold {
		return
	}
	for name, c := range d.adapters {
		if c.Value(now) < minDemand {
			delete(d.adapters, name)
		}
	}
	for name, at := range d.copiedAt {
		if now.Sub(at) > copyInterval {
			delete(d.copiedAt, name)
		}
	}
}

// WantedCopies returns how many of the given engines should hold an adapter so that
// none of them gets more requests than if every engine held every adapter. One
// standard deviation of the count is subtracted, so that a few requests do not
// count as high demand.
func (d *Demand) WantedCopies(name deployment.AdapterName, engines int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.adapters[name]
	if !ok || name.Adapter == "" {
		return 0
	}
	now := d.Now()
	return c.Share(&d.total, now) * float64(engines)
}

// Share returns the share of a total that the count has. One standard deviation is
// subtracted.
func (c *DecayedCount) Share(total *DecayedCount, now time.Time) float64 {
	requests := c.Value(now)
	return (requests - math.Sqrt(requests)) / total.Value(now)
}

// AllowCopy reports whether this instance may request a further copy of an adapter
// now. If so, it starts the interval until the next one.
func (d *Demand) AllowCopy(name deployment.AdapterName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if now.Sub(d.copiedAt[name]) < copyInterval {
		return false
	}
	if d.copiedAt == nil {
		d.copiedAt = map[deployment.AdapterName]time.Time{}
	}
	d.copiedAt[name] = now
	return true
}
