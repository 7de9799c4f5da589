package burn

import (
	"sync"
	"time"

	"heatherrelay/pkg/release"
)

// Window is a sliding time window, up to now, over which events are counted.
type Window struct {
	Name string
	Span time.Duration
}

// Windows lists the windows of the report in ascending order of their spans.
var Windows = []Window{
	{Name: "5m", Span: 5 * time.Minute},
	{Name: "1h", Span: time.Hour},
	{Name: "6h", Span: 6 * time.Hour},
	{Name: "3d", Span: 72 * time.Hour},
}

const (
	// windowSlots is the number of slots that a window is divided into. Events
	// expire a whole slot at a time.
	windowSlots = 30
	// windowCount is the length of Windows.
	windowCount = 4
	// maxSeries is the maximum number of series of an instance; events of further
	// series are counted under OtherTeam.
	maxSeries = 4096
	// OtherTeam is the label value shared by the teams beyond the limits.
	OtherTeam = "other"
)

// Series holds the labels by which events are counted. The number of label values is
// bounded, so adapters and keys are not among them.
type Series struct {
	Team      string
	Class     release.Class
	Objective Objective
	Good      bool
	// Reason is the refusal's code or another reason of a bad event; empty for good
	// events.
	Reason string
}

// Counts counts events by series over all windows, for a bounded number of series.
// The counts start empty with the process; CoveredSpan returns how much of a window
// they span. StartedAt must be set before use.
type Counts struct {
	// StartedAt is the time at which counting began.
	StartedAt time.Time

	mu     sync.Mutex
	series map[Series]*[windowCount]ring
}

// Add counts n events of a series at now.
func (c *Counts) Add(now time.Time, s Series, n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rings := c.rings(s)
	for i := range rings {
		rings[i].add(now, Windows[i].Span, n)
	}
}

// rings returns the rings of a series, one per window. Beyond maxSeries it returns
// those of OtherTeam. The caller holds mu.
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

// CoveredSpan returns how much of a window the counts span at now.
func (c *Counts) CoveredSpan(now time.Time, w Window) time.Duration {
	return min(now.Sub(c.StartedAt), w.Span)
}

// ring is a ring buffer of event counts over slots of equal length. newest is the
// number of the current slot since the Unix epoch.
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

// advance moves to the slot of now and clears the slots that have expired.
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
