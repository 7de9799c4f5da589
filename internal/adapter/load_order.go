package adapter

import (
	"math"
	"slices"
	"time"

	"heatherrelay/pkg/release"
)

// patientLoadWeight is what a waiting second of patient work counts beside one
// of interactive work. It does count, so that no load waits without end.
const patientLoadWeight = 0.1

// Load names one load: an adapter onto a target.
type Load struct {
	TargetID string
	Adapter  ID
}

// Waiter is what a load order needs to know of a request that waits for a load.
type Waiter struct {
	Team  string
	Class release.Class
}

// LoadOrder holds the pending loads of one owner, one for each target and
// adapter however many requests wait on it. Teams share the loads by fair
// queueing: of the teams with a pending load, the one with the fewest loads goes
// next. All teams count alike, since a small team with as many rare adapters needs
// about as many loads as a large one. Among a team's loads, the one whose requests have waited
// longest in sum, weighted by class, goes first. A load's weight grows without
// bound while a new load starts at zero, so each one gets its turn.
// It is not safe for concurrent use. The zero value is ready for use.
type LoadOrder struct {
	pending map[Load]*pendingLoad
	added   uint64
	// starts are the teams' virtual start times; those not above virtualTime are
	// left out.
	starts      map[string]float64
	virtualTime float64
}

// pendingLoad keeps the weighted waiting time as a line in time:
// weight * (now - since) is the sum over all waiting requests.
type pendingLoad struct {
	teams  []string
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

func (p *pendingLoad) addTeam(team string) {
	if !slices.Contains(p.teams, team) {
		p.teams = append(p.teams, team)
	}
}

// Add counts one more request that waits for a load, of no team in particular.
// The weight scales its waiting time. A weight of zero or less counts as one.
func (o *LoadOrder) Add(load Load, weight float64, class release.Class, now time.Time) {
	if weight <= 0 {
		weight = 1
	}
	o.add(load, Waiter{Class: class}, weight, now)
}

// AddFor counts one more request of a team that waits for a load.
func (o *LoadOrder) AddFor(load Load, waiter Waiter, now time.Time) {
	o.add(load, waiter, 1, now)
}

func (o *LoadOrder) add(load Load, waiter Waiter, weight float64, now time.Time) {
	if waiter.Class == release.Patient {
		weight *= patientLoadWeight
	}
	if o.pending == nil {
		o.pending = map[Load]*pendingLoad{}
		o.starts = map[string]float64{}
	}
	p, ok := o.pending[load]
	if !ok {
		o.added++
		p = &pendingLoad{since: now, order: o.added}
		o.pending[load] = p
	}
	p.add(weight, now)
	p.addTeam(waiter.Team)
}

// Next removes and returns the load to start now. Loads that ready refuses stay
// and keep their waiting time; a nil ready takes every load.
func (o *LoadOrder) Next(now time.Time, ready func(Load) bool) (Load, bool) {
	var first *pendingLoad
	var next Load
	for load, p := range o.pending {
		if first != nil && !o.before(p, first, now) {
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
	o.charge(first)
	return next, true
}

// start returns the least virtual start of the teams that wait for a load, and
// that team.
func (o *LoadOrder) start(p *pendingLoad) (float64, string) {
	least, team := math.Inf(1), ""
	for _, name := range p.teams {
		if start := max(o.starts[name], o.virtualTime); start < least {
			least, team = start, name
		}
	}
	return least, team
}

// charge moves on the team that a load is started for.
func (o *LoadOrder) charge(p *pendingLoad) {
	start, team := o.start(p)
	o.starts[team] = start + 1
	o.virtualTime = start
	for name, s := range o.starts {
		if s <= o.virtualTime {
			delete(o.starts, name)
		}
	}
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

func (o *LoadOrder) before(a, b *pendingLoad, now time.Time) bool {
	startA, _ := o.start(a)
	startB, _ := o.start(b)
	if startA != startB {
		return startA < startB
	}
	waitedA, waitedB := a.waited(now), b.waited(now)
	if waitedA != waitedB {
		return waitedA > waitedB
	}
	return a.order < b.order
}
