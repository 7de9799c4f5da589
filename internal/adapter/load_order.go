package adapter

import (
	"time"

	"heatherrelay/pkg/release"
)

// The weight of a waiting second by class. Patient work ages more slowly, but
// it does age, so that no load waits without end.
const (
	interactiveLoadWeight = 1.0
	patientLoadWeight     = 0.1
)

// Load names one load: an adapter onto a target.
type Load struct {
	TargetID string
	Adapter  ID
}

// LoadOrder holds the pending loads of one owner, one for each target and
// adapter however many requests wait on it. The load whose requests have waited
// longest in sum, weighted by team and class, goes first. A load's weight grows
// without bound while a new load starts at zero, so each one gets its turn.
// It is not safe for concurrent use. The zero value is ready for use.
type LoadOrder struct {
	pending map[Load]*pendingLoad
	added   uint64
}

// pendingLoad keeps the weighted waiting time as a line in time:
// weight * (now - since) is the sum over all waiting requests.
type pendingLoad struct {
	weight float64
	since  time.Time
	order  uint64
}

func (p *pendingLoad) waited(now time.Time) float64 {
	return p.weight * now.Sub(p.since).Seconds()
}

func (p *pendingLoad) add(weight float64, now time.Time) {
	waited := p.waited(now)
	p.weight += weight
	p.since = now.Add(-time.Duration(waited / p.weight * float64(time.Second)))
}

// Add counts one more request that waits for a load. A team weight of zero or
// less counts as one.
func (o *LoadOrder) Add(load Load, teamWeight float64, class release.Class, now time.Time) {
	if teamWeight <= 0 {
		teamWeight = 1
	}
	weight := teamWeight * interactiveLoadWeight
	if class == release.Patient {
		weight = teamWeight * patientLoadWeight
	}
	if p, ok := o.pending[load]; ok {
		p.add(weight, now)
		return
	}
	if o.pending == nil {
		o.pending = map[Load]*pendingLoad{}
	}
	o.added++
	o.pending[load] = &pendingLoad{weight: weight, since: now, order: o.added}
}

// Next removes and returns the load to start now. Loads that ready refuses stay
// and keep their waiting time; a nil ready takes every load.
func (o *LoadOrder) Next(now time.Time, ready func(Load) bool) (Load, bool) {
	var first *pendingLoad
	var next Load
	for load, p := range o.pending {
		if first != nil && !before(p, first, now) {
			continue
		}
		if ready != nil && !ready(load) {
			continue
		}
		first, next = p, load
	}
	if first == nil {
		return Load{}, false
	}
	delete(o.pending, next)
	return next, true
}

// Remove forgets a load that nobody waits for any more.
func (o *LoadOrder) Remove(load Load) { delete(o.pending, load) }

// RemoveTarget forgets all loads onto a target.
func (o *LoadOrder) RemoveTarget(targetID string) {
	for load := range o.pending {
		if load.TargetID == targetID {
			delete(o.pending, load)
		}
	}
}

// Pending reports whether a load waits for its turn.
func (o *LoadOrder) Pending(load Load) bool {
	_, ok := o.pending[load]
	return ok
}

// Len returns the number of pending loads.
func (o *LoadOrder) Len() int { return len(o.pending) }

func before(a, b *pendingLoad, now time.Time) bool {
	wa, wb := a.waited(now), b.waited(now)
	if wa != wb {
		return wa > wb
	}
	return a.order < b.order
}
