// Package quota limits each team to its rate and burst over all instances. Every
// instance keeps a token bucket of the team's complete allowance and deducts from it
// what it admits itself and what its peers report to have admitted, which it learns
// some hundred milliseconds late. An instance that does not receive the reports of
// all peers scales rate and burst down to the part of the fleet that it receives
// from.
package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/reservation"
)

// The bounds of the Retry-After of a refusal.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// resumeShare is the part of a team's rate that is set against the resumed streams
	// which were told when to come back.
	resumeShare = 0.7
	// reservedFraction is the part of a bucket's depth that is left to resumed streams
	// while refused ones are due back.
	reservedFraction = 0.5
)

// bucket is the token bucket of one team, in tokens or requests. Its level falls
// below zero when peers report late that they admitted more than was left; the debt
// is paid off by refills.
type bucket struct {
	level      float64
	refilledAt time.Time
	// rate is the refill per second, depth the highest level.
	rate  float64
	depth float64
	// unpublished is what this instance admitted since it last called Publish.
	unpublished float64
	createdAt   time.Time
	// resuming is the cost of the resumed streams that this instance refused and that
	// are not due back yet.
	resuming float64
	// reserved is in force while a part of the bucket is left to resumed streams that this
	// instance refused.
	reserved reservation.Reservation
	pace     pace
}

// publishFraction is the part of a bucket's depth that an instance may admit before
// it publishes its usage at once: until then every instance may admit as much
// without the others knowing.
const publishFraction = 0.2

// refill adds what accrued since the last refill, at the given fraction of the rate
// and up to the same fraction of the depth, and drops what is due back since.
func (b *bucket) refill(now time.Time, fraction float64, members int) {
	limit := b.depth * fraction
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	if b.level < limit {
		b.level = min(limit, b.level+elapsed*b.rate*fraction)
	}
	b.resuming = max(b.resuming-elapsed*b.rate*fraction*resumeShare/float64(members), 0)
	b.pace.refill(now, now.Sub(b.refilledAt), b.rate*fraction, members)
	if b.level < 0 {
		b.pace.begin(now)
	}
	b.refilledAt = now
}

// admits reports whether a request may be admitted now. Resumed streams are not paced: they
// were told when there will be room for them.
func (b *bucket) admits(r Request, now time.Time, fraction float64) bool {
	return b.level >= b.needed(r, now, fraction) && (r.Resumed || b.pace.allows(now))
}

// needed returns the level that admits a request. New requests leave a part to resumed
// streams that are due back; what they have cost so far would be lost with them.
func (b *bucket) needed(r Request, now time.Time, fraction float64) float64 {
	if r.Resumed || !b.reserved.InForce(now) {
		return r.Cost
	}
	return max(r.Cost, min(r.Cost+reservedFraction*b.depth*fraction, b.depth*fraction))
}

// refuse returns the time after which a refused request is to come back. A resumed
// stream does so once there is room for it and for those that were refused before, here
// and, as these refuse as many, at the other members: streams that broke off together
// are resumed together, and so come back one after the other.
func (b *bucket) refuse(r Request, now time.Time, fraction float64, members int) time.Duration {
	rate := b.rate * fraction
	seconds := (b.needed(r, now, fraction) - b.level) / rate
	if r.Resumed {
		seconds += b.resuming * float64(members) / (rate * resumeShare)
		// All that was refused is due back after the longest reservation.
		b.resuming = min(b.resuming+r.Cost, reservation.Longest.Seconds()*rate*resumeShare/float64(members))
	}
	if !r.Resumed {
		seconds = max(seconds, b.pace.wait(now, rate, members).Seconds())
	}
	wait := time.Duration(min(max(seconds, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
	if r.Resumed {
		b.reserved.Extend(now, wait)
	}
	return wait
}

// incarnationUsage is what one incarnation of a peer reported to have admitted since
// it started, by team.
type incarnationUsage struct {
	incarnation string
	admitted    map[string]float64
}

// maxIncarnations is how many incarnations of a peer are remembered, so that a late
// report of an earlier one is not counted twice.
const maxIncarnations = 4

// Meter admits requests against the teams' allowances. It is safe for
// concurrent use. Set the exported fields before the first use.
type Meter struct {
	// Window is the time over which a team may use its rate and, once, its burst.
	Window time.Duration
	// ReachableFraction returns the part of the fleet, above 0 and up to 1, that this
	// instance receives reports from, itself included.
	ReachableFraction func() float64
	// Members returns the number of instances, this one included. Nil means that it is
	// the only one.
	Members func() int
	// Publish is called, without the lock, when this instance admitted so much of a
	// team's allowance that its peers should receive a report at once. It must not
	// block; may be nil.
	Publish func()
	Now     func() time.Time

	mu sync.Mutex
	// admittingSince is when the first bucket was created.
	admittingSince time.Time
	// buckets and admitted, which is this instance's own usage, are by team.
	buckets  map[string]*bucket
	admitted map[string]float64
	// peers holds the latest incarnations of each peer, the newest last.
	peers map[string][]*incarnationUsage
}

// Cost returns what a request costs of its team's allowance: 1 for a team that is
// limited in requests, else the request's tokens, or the team's default if the
// request does not state them.
func Cost(team *deployment.Team, hasTokenCounts bool, promptTokens, outputTokens int) float64 {
	switch {
	case !team.CountsTokens:
		return 1
	case hasTokenCounts:
		return float64(promptTokens + outputTokens)
	}
	return team.DefaultTokens
}

// Request is what a request asks of its team's allowance.
type Request struct {
	Cost float64
	// Resumed is set for a stream that goes on.
	Resumed bool
}

// Admit deducts a request's cost from its team's allowance. If too little is left,
// it deducts nothing and returns false and the time after which to retry.
func (m *Meter) Admit(team *deployment.Team, r Request) (bool, time.Duration) {
	if team.Unlimited() {
		return true, 0
	}
	ok, wait, publish := m.admit(team, r, m.ReachableFraction(), m.members())
	if publish && m.Publish != nil {
		m.Publish()
	}
	return ok, wait
}

func (m *Meter) members() int {
	if m.Members == nil {
		return 1
	}
	return max(m.Members(), 1)
}

// admit is Admit for the given fraction of the fleet and its size. publish is set when
// the caller should publish what this instance admitted.
func (m *Meter) admit(team *deployment.Team, r Request, fraction float64, members int) (ok bool, wait time.Duration, publish bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(team)
	now := m.Now()
	b.refill(now, fraction, members)
	if b.admits(r, now, fraction) {
		b.level -= r.Cost
		b.pace.spend(r.Cost, now)
		b.unpublished += r.Cost
		m.admitted[team.Name] += r.Cost
		publish = b.unpublished > publishFraction*b.depth
		if publish {
			b.unpublished = 0
		}
		return true, 0, publish
	}
	return false, b.refuse(r, now, fraction, members), false
}

// Refund refunds the cost of an admitted request that did not run.
func (m *Meter) Refund(team *deployment.Team, cost float64) {
	if team.Unlimited() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(team)
	b.level += cost
	b.pace.spend(-cost, m.Now())
	m.admitted[team.Name] -= cost
}

// initialFraction is the part of a bucket's depth that is available when the bucket
// is created. It is small because a new instance does not know what was admitted
// before, and all instances may have started at the same time.
const initialFraction = 0.125

// bucket returns a team's bucket, updated to the team's present rate and burst. The
// caller holds the lock.
func (m *Meter) bucket(team *deployment.Team) *bucket {
	if m.buckets == nil {
		m.buckets, m.admitted = map[string]*bucket{}, map[string]float64{}
	}
	b, ok := m.buckets[team.Name]
	rate, depth := m.bucketParameters(team)
	if !ok {
		b = &bucket{refilledAt: m.Now(), createdAt: m.Now(), level: depth * initialFraction}
		if m.admittingSince.IsZero() {
			m.admittingSince = b.createdAt
		}
		m.buckets[team.Name] = b
	}
	b.rate, b.depth = rate, depth
	b.level = min(b.level, b.depth)
	return b
}

// largeRequestTokens is the cost of a large request in tokens. It is also the least
// depth of a bucket, unless the burst itself is smaller: in a shallower bucket large
// requests would starve.
const largeRequestTokens = 10_000

// bucketParameters returns the rate and depth of a team's bucket. In any window the
// team may use its rate times the window plus one burst. Most of the burst is
// therefore added to the rate, spread over the window: a bucket as deep as the burst
// would grant the burst once and from then on only the rate, and so refuse in every
// later window a part of what the team may use.
func (m *Meter) bucketParameters(team *deployment.Team) (rate, depth float64) {
	window := m.Window.Seconds()
	if window <= 0 {
		return team.RatePerSecond, team.Burst
	}
	depth = min(max(team.Burst/4, largeRequestTokens), team.Burst)
	return team.RatePerSecond + (team.Burst-depth)/window, depth
}

// Prepare creates the buckets of the teams that have none, so that these fill before
// the team's first request.
func (m *Meter) Prepare(teams []*deployment.Team) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range teams {
		m.bucket(t)
	}
}

// Level returns what was left of a team's allowance when its bucket was last
// refilled or charged. It is negative when peers admitted more than was left.
func (m *Meter) Level(team *deployment.Team) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bucket(team).level
}

// Admitted returns what this instance has admitted since it started, by team and
// without what was refunded.
func (m *Meter) Admitted() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.admitted)
}

// AdmittingFor returns how long this instance has been able to admit requests.
func (m *Meter) AdmittingFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.admittingSince.IsZero() {
		return 0
	}
	return m.Now().Sub(m.admittingSince)
}

// Observe applies a peer's report of what one of its incarnations has admitted since
// it started, by team; a team that is missing has not changed. Of the first report of an
// unknown peer the part counts that falls into the time since this instance's buckets
// were created, if the peer stated for how long it had been admitting requests; the rest
// is about the time before. The same holds for the first report of each further
// incarnation; if it states no time, all of it is deducted.
func (m *Meter) Observe(id, incarnation string, admittingFor time.Duration, admitted map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[string][]*incarnationUsage{}
	}
	incarnations := m.peers[id]
	i := slices.IndexFunc(incarnations, func(u *incarnationUsage) bool { return u.incarnation == incarnation })
	switch {
	case len(incarnations) == 0:
		m.deductFirst(admittingFor, admitted)
		m.peers[id] = []*incarnationUsage{{incarnation: incarnation, admitted: maps.Clone(admitted)}}
	case i < 0:
		if admittingFor > 0 {
			m.deductFirst(admittingFor, admitted)
		} else {
			m.deduct(nil, admitted)
		}
		m.peers[id] = append(incarnations[max(len(incarnations)+1-maxIncarnations, 0):], &incarnationUsage{incarnation: incarnation, admitted: maps.Clone(admitted)})
	default:
		m.deduct(incarnations[i].admitted, admitted)
		maps.Copy(incarnations[i].admitted, admitted)
	}
}

// deductFirst subtracts the part of an incarnation's first report that falls into the time since
// the buckets were created. The caller holds the lock.
func (m *Meter) deductFirst(admittingFor time.Duration, admitted map[string]float64) {
	if admittingFor <= 0 {
		return
	}
	now := m.Now()
	for team, total := range admitted {
		if b, ok := m.buckets[team]; ok {
			b.level -= total * min(now.Sub(b.createdAt).Seconds()/admittingFor.Seconds(), 1)
		}
	}
}

// deduct subtracts from the buckets what was admitted since the previous report. The
// caller holds the lock.
func (m *Meter) deduct(previous, admitted map[string]float64) {
	now := m.Now()
	for team, total := range admitted {
		if b, ok := m.buckets[team]; ok {
			b.level -= total - previous[team]
			b.pace.others.add(total-previous[team], now)
		}
	}
}

// Forget drops what is known of a peer.
func (m *Meter) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, id)
}
