package adapter

import (
	"math"
	"slices"
	"time"

	"heatherrelay/pkg/release"
)

// patientLoadWeight is the weight of a patient request's waiting time; an
// interactive request's has weight 1. It is above zero so that loads that only
// patient requests wait for are not starved.
const patientLoadWeight = 0.1

// Load identifies the loading of one adapter onto one target.
type Load struct {
	TargetID string
	Adapter  ID
}

// Waiter describes a request that waits for a load.
type Waiter struct {
	Team  string
	Class release.Class
}

// LoadQueue is the queue of an owner's pending loads. It holds one entry for each
// target and adapter, however many requests wait for it. Teams share the loads by
// start-time fair queueing: of the teams with a pending load, the one with the
// least virtual start, which grows by one with each load started for the team, goes
// next. All teams have the same weight, since a small team with as many rarely used
// adapters needs about as many loads as a large one. Within a team, the load with
// the largest sum of its requests' waiting times, weighted by class, goes first.
// That sum grows without bound and starts at zero for a new load, so no load is
// starved. It is not safe for concurrent use. The zero value is ready for use.
type LoadQueue struct {
	pending map[Load]*pendingLoad
	// addedLoads counts the loads ever added and supplies their sequence numbers.
	addedLoads uint64
	// virtualStarts maps teams to their virtual start times. A team whose start is
	// not above virtualTime has no entry.
	virtualStarts map[string]float64
	virtualTime   float64
}

// pendingLoad is one load and the requests that wait for it. Their weighted
// waiting time is linear in time, so it is kept as weight * (now - since).
type pendingLoad struct {
	// teams are the teams of the waiting requests, without duplicates.
	teams []string
	// weight is the sum of the waiting requests' weights.
	weight float64
	since  time.Time
	// sequence is the order of addition; it breaks ties.
	sequence uint64
}

// weightedWait returns the weighted sum of the requests' waiting times, in seconds.
func (p *pendingLoad) weightedWait(now time.Time) float64 {
	return p.weight * now.Sub(p.since).Seconds()
}

// addWaiter adds a request that starts to wait at now; it leaves the weighted
// waiting time as of now unchanged.
func (p *pendingLoad) addWaiter(weight float64, now time.Time) {
	weightedWait := p.weightedWait(now)
	p.weight += weight
	p.since = now.Add(-time.Duration(weightedWait / p.weight * float64(time.Second)))
}

// addTeam adds a team to teams unless it is there.
func (p *pendingLoad) addTeam(team string) {
	if !slices.Contains(p.teams, team) {
		p.teams = append(p.teams, team)
	}
}

// Add records a request without a team that waits for a load. Its waiting time
// is multiplied by weight; a weight of zero or less counts as one.
func (q *LoadQueue) Add(load Load, weight float64, class release.Class, now time.Time) {
	if weight <= 0 {
		weight = 1
	}
	q.addWeighted(load, Waiter{Class: class}, weight, now)
}

// AddWaiter records a team's request that waits for a load.
func (q *LoadQueue) AddWaiter(load Load, waiter Waiter, now time.Time) {
	q.addWeighted(load, waiter, 1, now)
}

// addWeighted records a waiting request, scales weight by its class, and queues the
// load if it is not pending yet.
func (q *LoadQueue) addWeighted(load Load, waiter Waiter, weight float64, now time.Time) {
	if waiter.Class == release.Patient {
		weight *= patientLoadWeight
	}
	if q.pending == nil {
		q.pending = map[Load]*pendingLoad{}
		q.virtualStarts = map[string]float64{}
	}
	p, ok := q.pending[load]
	if !ok {
		q.addedLoads++
		p = &pendingLoad{since: now, sequence: q.addedLoads}
		q.pending[load] = p
	}
	p.addWaiter(weight, now)
	p.addTeam(waiter.Team)
}

// Next removes and returns the load to start now, or false if there is none.
// Loads for which canStart returns false stay queued and keep their waiting time;
// a nil canStart admits every load.
func (q *LoadQueue) Next(now time.Time, canStart func(Load) bool) (Load, bool) {
	var best *pendingLoad
	var next Load
	for load, p := range q.pending {
		if best != nil && !q.startsBefore(p, best, now) {
			continue
		}
		if canStart != nil && !canStart(load) {
			continue
		}
		best, next = p, load
	}
	if best == nil {
		return Load{}, false
	}
	delete(q.pending, next)
	q.charge(best)
	return next, true
}

// leastStart returns the least virtual start among the teams that wait for a load,
// and that team.
func (q *LoadQueue) leastStart(p *pendingLoad) (float64, string) {
	least, team := math.Inf(1), ""
	for _, name := range p.teams {
		if start := max(q.virtualStarts[name], q.virtualTime); start < least {
			least, team = start, name
		}
	}
	return least, team
}

// charge accounts a started load to the team with the least virtual start among
// those that wait for it, and advances the virtual time.
func (q *LoadQueue) charge(p *pendingLoad) {
	start, team := q.leastStart(p)
	q.virtualStarts[team] = start + 1
	q.virtualTime = start
	for name, s := range q.virtualStarts {
		if s <= q.virtualTime {
			delete(q.virtualStarts, name)
		}
	}
}

// Remove removes a load, for example when no request waits for it any more.
func (q *LoadQueue) Remove(load Load) { delete(q.pending, load) }

// RemoveTarget removes all loads onto a target.
func (q *LoadQueue) RemoveTarget(targetID string) {
	for load := range q.pending {
		if load.TargetID == targetID {
			delete(q.pending, load)
		}
	}
}

// Pending reports whether a load is queued.
func (q *LoadQueue) Pending(load Load) bool {
	_, ok := q.pending[load]
	return ok
}

// Len returns the number of pending loads.
func (q *LoadQueue) Len() int { return len(q.pending) }

// startsBefore reports whether load a goes before load b: by virtual start, then
// by weighted waiting time, then by order of addition.
func (q *LoadQueue) startsBefore(a, b *pendingLoad, now time.Time) bool {
	startA, _ := q.leastStart(a)
	startB, _ := q.leastStart(b)
	if startA != startB {
		return startA < startB
	}
	waitA, waitB := a.weightedWait(now), b.weightedWait(now)
	if waitA != waitB {
		return waitA > waitB
	}
	return a.sequence < b.sequence
}
