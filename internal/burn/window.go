package burn

import (
	"sync"
	"time"

	"heatherrelay/pkg/release"
)

// Window is a span of the past over which events are counted.
type Window struct {
	Name string
	Span time.Duration
}

// Windows are the spans of the report, the shortest first.
var Windows = []Window{
	{Name: "5m", Span: 5 * time.Minute},
	{Name: "1h", Span: time.Hour},
	{Name: "6h", Span: 6 * time.Hour},
	{Name: "3d", Span: 72 * time.Hour},
}

const (
	// windowSlots is the parts that a window is counted in; the oldest one drops
	// out as a whole.
	windowSlots = 30
	windowCount = 4
	// maxSeries bounds the series of an instance; events beyond it are counted
	// under OtherTeam.
	maxSeries = 4096
	// OtherTeam stands for the teams that are not counted apart.
	OtherTeam = "other"
)

// Series is what events are counted by. Its label values are bounded: no
// adapter and no key is among them.
type Series struct {
	Team      string
	Class     release.Class
	Objective Objective
	Good      bool
	// Reason is a refusal's code; empty for good events.
	Reason string
}

// Counts counts events by series over all windows, in a bounded number of rings.
// A process that starts has counted nothing yet; Covered tells how much of each
// window its counts span. The zero value is not ready: Started must be set.
type Counts struct {
	// Started is when counting began.
	Started time.Time

	mu     sync.Mutex
	series map[Series]*[windowCount]ring
}

// Add counts n events.
func (c *Counts) Add(now time.Time, s Series, n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rings := c.rings(s)
	for i := range rings {
		rings[i].add(now, Windows[i].Span, n)
	}
}

func (c *Counts) rings(s Series) *[windowCount]ring {
	if found, ok := c.series[s]; ok {
		return found
	}
	if c.series == nil {
		c.series = map[Series]*[windowCount]ring{}
	}
	if len(c.series) >= maxSeries {
		s.Team, s.Reason = OtherTeam, ""
		if found, ok := c.series[s]; ok {
			return found
		}
	}
	created := &[windowCount]ring{}
	c.series[s] = created
	return created
}

// Each calls f with the count of each series in each window.
func (c *Counts) Each(now time.Time, f func(s Series, w Window, n uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, rings := range c.series {
		for i := range rings {
			f(s, Windows[i], rings[i].sum(now, Windows[i].Span))
		}
	}
}

// Covered returns how much of a window the counts span.
func (c *Counts) Covered(now time.Time, w Window) time.Duration {
	return min(now.Sub(c.Started), w.Span)
}

// ring counts events in slots of equal length, of which the newest is being filled.
type ring struct {
	slots  [windowSlots]uint64
	newest int64
}

func (r *ring) add(now time.Time, span time.Duration, n uint64) {
	r.advance(now, span)
	r.slots[r.newest%windowSlots] += n
}

func (r *ring) sum(now time.Time, span time.Duration) uint64 {
	r.advance(now, span)
	var total uint64
	for _, n := range r.slots {
		total += n
	}
	return total
}

// advance empties the slots that time has passed over.
func (r *ring) advance(now time.Time, span time.Duration) {
	current := now.UnixNano() / int64(span/windowSlots)
	if current <= r.newest {
		return
	}
	for i := max(r.newest+1, current-windowSlots+1); i <= current; i++ {
		r.slots[i%windowSlots] = 0
	}
	r.newest = current
}
