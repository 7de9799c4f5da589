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
	level      float64
	refilledAt time.Time
	rate       float64
	depth      float64
	// unpublished is what was admitted since the others were last told at once.
	unpublished float64
}

// publishFraction is the part of a bucket's depth that an instance may spend before it
// tells the others at once: all instances may spend as much in the meantime.
const publishFraction = 0.2

func (b *bucket) refill(now time.Time, fraction float64) {
	limit := b.depth * fraction
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 && b.level < limit {
		b.level = min(limit, b.level+elapsed*b.rate*fraction)
	}
	b.refilledAt = now
}

// incarnationUsage is what an instance told of one incarnationUsage of its process.
type incarnationUsage struct {
	incarnation string
	admitted    map[string]float64
}

// maxIncarnations is how many runs of an instance are known; late word of an earlier one
// must not be counted twice.
const maxIncarnations = 4

// Meter admits requests against the teams' allowances. It is safe for
// concurrent use. Set the exported fields before the first use.
type Meter struct {
	// Window is the span over which a team may spend its rate and once its burst.
	Window time.Duration
	// Fraction returns the part of the fleet, from above 0 to 1, that this
	// instance hears from, itself included.
	Fraction func() float64
	// Publish is called when a team spent so much that the other instances should
	// hear of it at once. It must not wait; may be nil.
	Publish func()
	Now     func() time.Time

	mu       sync.Mutex
	buckets  map[string]*bucket
	admitted map[string]float64
	// peers are the latest runs of the other instances, by instance.
	peers map[string][]*incarnationUsage
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
	ok, wait, publish := m.admit(team, cost, m.Fraction())
	if publish && m.Publish != nil {
		m.Publish()
	}
	return ok, wait
}

func (m *Meter) admit(team *deployment.Team, cost, fraction float64) (ok bool, wait time.Duration, publish bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(team)
	b.refill(m.Now(), fraction)
	if b.level >= cost {
		b.level -= cost
		b.unpublished += cost
		m.admitted[team.Name] += cost
		publish = b.unpublished > publishFraction*b.depth
		if publish {
			b.unpublished = 0
		}
		return true, 0, publish
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

// initialFraction is the part of a bucket's depth that a new instance starts with: what
// ran before is not known here, and all instances may have started at once.
const initialFraction = 0.125

// bucket returns a team's bucket with the rate and burst in force.
func (m *Meter) bucket(team *deployment.Team) *bucket {
	if m.buckets == nil {
		m.buckets, m.admitted = map[string]*bucket{}, map[string]float64{}
	}
	b, ok := m.buckets[team.Name]
	rate, depth := m.bucketParameters(team)
	if !ok {
		b = &bucket{refilledAt: m.Now(), level: depth * initialFraction}
		m.buckets[team.Name] = b
	}
	b.rate, b.depth = rate, depth
	b.level = min(b.level, b.depth)
	return b
}

// largeRequestTokens is the cost of a large request in tokens: a bucket is not made
// smaller than a few of them, or large requests would starve.
const largeRequestTokens = 10_000

// bucketParameters turns an allowance, which is rate times window and one burst in any
// window, into the rate and depth of a bucket. Most of the burst is bucketParameters over
// the window: a bucket of the whole burst would grant it once and then only the
// rate, and refuse in every later window what the team may still spend.
func (m *Meter) bucketParameters(team *deployment.Team) (rate, depth float64) {
	window := m.Window.Seconds()
	if window <= 0 {
		return team.RatePerSecond, team.Burst
	}
	depth = min(max(team.Burst/4, largeRequestTokens), team.Burst)
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
		m.peers = map[string][]*incarnationUsage{}
	}
	incarnations := m.peers[id]
	i := slices.IndexFunc(incarnations, func(u *incarnationUsage) bool { return u.incarnation == incarnation })
	switch {
	case len(incarnations) == 0:
		m.peers[id] = []*incarnationUsage{{incarnation: incarnation, admitted: admitted}}
	case i < 0:
		m.deduct(nil, admitted)
		m.peers[id] = append(incarnations[max(len(incarnations)+1-maxIncarnations, 0):], &incarnationUsage{incarnation: incarnation, admitted: admitted})
	default:
		m.deduct(incarnations[i].admitted, admitted)
		incarnations[i].admitted = admitted
	}
}

// deduct takes what was admitted since the last word off the buckets.
func (m *Meter) deduct(previous, admitted map[string]float64) {
	for team, total := range admitted {
		if b, ok := m.buckets[team]; ok {
			b.level -= total - previous[team]
		}
	}
}

// Forget forgets a peer.
func (m *Meter) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, id)
}
