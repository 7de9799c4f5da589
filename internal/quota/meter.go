// Package quota keeps each team to its rate and burst over all instances. Every
// instance knows how much the others admitted, some hundred milliseconds late,
// and fills and empties the same bucket. An instance that does not hear from
// others lives on the part of the rate and burst that falls to those it hears.
package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// The bounds of the time to come back that a refusal gives.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// bucket is one team's allowance as this instance sees it. The level may be
// below zero: what others admitted is known late, and is owed then.
type bucket struct {
	level  float64
	filled time.Time
	rate   float64
	burst  float64
	// unshared is what was admitted since the others were last told at once.
	unshared float64
}

// sharedPart is the part of a bucket's depth that an instance may spend before it
// tells the others at once: all instances may spend as much in the meantime.
const sharedPart = 0.2

func (b *bucket) fill(now time.Time, fraction float64) {
	limit := b.burst * fraction
	if elapsed := now.Sub(b.filled).Seconds(); elapsed > 0 && b.level < limit {
		b.level = min(limit, b.level+elapsed*b.rate*fraction)
	}
	b.filled = now
}

// run is what an instance told of one run of its process.
type run struct {
	incarnation string
	admitted    map[string]float64
}

// maxRuns is how many runs of an instance are known; late word of an earlier one
// must not be counted twice.
const maxRuns = 4

// Meter admits requests against the teams' allowances. It is safe for
// concurrent use. Set the exported fields before the first use.
type Meter struct {
	// Window is the span over which a team may spend its rate and once its burst.
	Window time.Duration
	// Fraction returns the part of the fleet, from above 0 to 1, that this
	// instance hears from, itself included.
	Fraction func() float64
	// Share is called when a team spent so much that the other instances should
	// hear of it at once. It must not wait; may be nil.
	Share func()
	Now   func() time.Time

	mu       sync.Mutex
	buckets  map[string]*bucket
	admitted map[string]float64
	// peers are the latest runs of the other instances, by instance.
	peers map[string][]*run
}

// Cost returns what a request counts against its team's allowance.
func Cost(team *deployment.Team, countsTokens bool, promptTokens, outputTokens int) float64 {
	switch {
	case !team.CountsTokens:
		return 1
	case countsTokens:
		return float64(promptTokens + outputTokens)
	}
	return team.PlainTokens
}

// Admit takes a request's cost from its team's allowance. If there is too
// little it takes nothing, and returns false and when there will be enough.
func (m *Meter) Admit(team *deployment.Team, cost float64) (bool, time.Duration) {
	if team.Unlimited() {
		return true, 0
	}
	ok, wait, share := m.admit(team, cost, m.Fraction())
	if share && m.Share != nil {
		m.Share()
	}
	return ok, wait
}

func (m *Meter) admit(team *deployment.Team, cost, fraction float64) (ok bool, wait time.Duration, share bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(team)
	b.fill(m.Now(), fraction)
	if b.level >= cost {
		b.level -= cost
		b.unshared += cost
		m.admitted[team.Name] += cost
		share = b.unshared > sharedPart*b.burst
		if share {
			b.unshared = 0
		}
		return true, 0, share
	}
	wait = time.Duration((cost - b.level) / (b.rate * fraction) * float64(time.Second))
	return false, min(max(wait, minRetryAfter), maxRetryAfter), false
}

// Return gives back what was admitted for a request that did not run.
func (m *Meter) Return(team *deployment.Team, cost float64) {
	if team.Unlimited() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bucket(team).level += cost
	m.admitted[team.Name] -= cost
}

// startPart is the part of a bucket's depth that a new instance starts with: what
// ran before is not known here, and all instances may have started at once.
const startPart = 0.125

// bucket returns a team's bucket with the rate and burst in force.
func (m *Meter) bucket(team *deployment.Team) *bucket {
	if m.buckets == nil {
		m.buckets, m.admitted = map[string]*bucket{}, map[string]float64{}
	}
	b, ok := m.buckets[team.Name]
	rate, depth := m.spread(team)
	if !ok {
		b = &bucket{filled: m.Now(), level: depth * startPart}
		m.buckets[team.Name] = b
	}
	b.rate, b.burst = rate, depth
	b.level = min(b.level, b.burst)
	return b
}

// largeRequest is the cost of a large request in tokens: a bucket is not made
// smaller than a few of them, or large requests would starve.
const largeRequest = 10_000

// spread turns an allowance, which is rate times window and one burst in any
// window, into the rate and depth of a bucket. Most of the burst is spread over
// the window: a bucket of the whole burst would grant it once and then only the
// rate, and refuse in every later window what the team may still spend.
func (m *Meter) spread(team *deployment.Team) (rate, depth float64) {
	window := m.Window.Seconds()
	if window <= 0 {
		return team.RatePerSecond, team.Burst
	}
	depth = min(max(team.Burst/4, largeRequest), team.Burst)
	return team.RatePerSecond + (team.Burst-depth)/window, depth
}

// Prepare makes buckets for all teams, so that they fill before the first request.
func (m *Meter) Prepare(teams []*deployment.Team) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range teams {
		m.bucket(t)
	}
}

// Level returns what is left of a team's allowance; below zero it is owed.
func (m *Meter) Level(team *deployment.Team) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bucket(team).level
}

// Admitted returns what this instance admitted since it started, by team.
func (m *Meter) Admitted() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.admitted)
}

// Observe takes what a run of a peer admitted since it started. What it admitted
// before this instance first heard of the peer was before this instance's
// buckets filled; of a later run of a known peer all counts.
func (m *Meter) Observe(id, incarnation string, admitted map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[string][]*run{}
	}
	known := m.peers[id]
	i := slices.IndexFunc(known, func(r *run) bool { return r.incarnation == incarnation })
	switch {
	case len(known) == 0:
		m.peers[id] = []*run{{incarnation: incarnation, admitted: admitted}}
	case i < 0:
		m.take(nil, admitted)
		m.peers[id] = append(known[max(len(known)+1-maxRuns, 0):], &run{incarnation: incarnation, admitted: admitted})
	default:
		m.take(known[i].admitted, admitted)
		known[i].admitted = admitted
	}
}

// take takes what was admitted since the last word off the buckets.
func (m *Meter) take(before, admitted map[string]float64) {
	for team, total := range admitted {
		if b, ok := m.buckets[team]; ok {
			b.level -= total - before[team]
		}
	}
}

// Forget forgets a peer.
func (m *Meter) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, id)
}
