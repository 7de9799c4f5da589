package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"heatherrelay/internal/team"
)

// One-way message delays.
const (
	localZoneDelay = 250 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
	platformDelay  = 4 * time.Millisecond
)

// weights returns the load balancer's weight of each instance at a time.
func (w workload) weights(at time.Duration) []float64 {
	heaviest := 0
	if w.shiftInterval > 0 {
		heaviest = 4 * int(at/w.shiftInterval)
	}
	weights := make([]float64, instances)
	for i := range weights {
		weights[(heaviest+i)%instances] = math.Pow(float64(i+1), -w.skew)
	}
	return weights
}

// drawIndex returns a random index with probability proportional to its weight.
func drawIndex(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	remaining := random.Float64() * total
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// event is a function to run at a point of virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap ordered by time, then by order of scheduling.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one instance, made of the state machines that run in production.
type node struct {
	id, zone string
	share    team.Share
	hints    team.Hints
	peers    []team.Peer
}

// simulation is the state of one run.
type simulation struct {
	workload       workload
	result         result
	elapsed        time.Duration
	queue          events
	seq            int
	lastTransferID int
	nodes          []*node
	// charged is one fleet-wide bucket per team that is charged with every
	// admission. It shows overspending and unjustified refusals.
	charged []team.Bucket
	// ideal is one fleet-wide bucket per team that admits all that fits.
	ideal []team.Bucket
}

// result holds the counts of one run.
type result struct {
	// unjustified counts the refusals while the charged bucket held enough.
	requests, unjustified float64
	// withinRate counts the requests of teams whose demand is at most their
	// rate; unjustifiedWithinRate counts the unjustified refusals among them.
	withinRate, unjustifiedWithinRate float64
	transfers, platformCalls          float64
	// overspent is the sum of the tokens admitted beyond the charged buckets.
	overspent       float64
	admitted, ideal []float64
}

func (r result) unjustifiedShare() float64 { return r.unjustified / r.requests }

func (r result) unjustifiedWithinShare() float64 { return r.unjustifiedWithinRate / r.withinRate }

func (r result) perSecond(count float64) float64 { return count / runTime.Seconds() }

// worstTeamShare returns the lowest ratio, over all teams, of the tokens
// admitted to those that one fleet-wide bucket would have admitted.
func (r result) worstTeamShare() float64 {
	worst := math.Inf(1)
	for i := range r.admitted {
		worst = min(worst, r.admitted[i]/r.ideal[i])
	}
	return worst
}

// simulate runs one policy under one workload with one seed.
func simulate(w workload, p policy, seed uint64) result {
	s := &simulation{workload: w}
	s.result.admitted = make([]float64, len(rates))
	s.result.ideal = make([]float64, len(rates))
	s.charged, s.ideal = fullBuckets(1), fullBuckets(1)
	s.startNodes()
	admit := p.start(s)
	for _, r := range w.requests(rand.New(rand.NewPCG(seed, 0))) {
		s.schedule(r.at, func() {
			s.result.requests++
			if w.demand[r.team] <= 1 {
				s.result.withinRate++
			}
			s.admitIdeal(r)
			admit(r)
		})
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.elapsed = e.at
		e.run()
	}
	return s.result
}

// fullBuckets returns a full bucket for each team with a fraction of its rate
// and burst.
func fullBuckets(fraction float64) []team.Bucket {
	buckets := make([]team.Bucket, len(rates))
	for i, r := range rates {
		buckets[i] = team.Bucket{Rate: fraction * r.TokensPerSecond, Burst: fraction * r.BurstTokens, Balance: fraction * r.BurstTokens}
		buckets[i].Advance(simulationStart)
	}
	return buckets
}

// simulationStart is the wall-clock time of virtual time zero.
var simulationStart = time.Unix(1_000_000, 0)

func (s *simulation) now() time.Time { return simulationStart.Add(s.elapsed) }

func (s *simulation) schedule(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: at, seq: s.seq, run: run})
}

func (s *simulation) after(d time.Duration, run func()) { s.schedule(s.elapsed+d, run) }

// startNodes creates the instances with equal claims and ticks them once per
// second.
func (s *simulation) startNodes() {
	for i := range instances {
		n := &node{id: "i" + strconv.Itoa(i), zone: "z" + strconv.Itoa(i%zones)}
		n.share.Tick(simulationStart.Add(-1))
		n.share.ApplyClaim(simulationStart, simulationStart, team.Claim{Teams: 1 / float64(instances)})
		n.share.SetRates(simulationStart, 1, rates)
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		for _, p := range s.nodes {
			if p != n {
				n.peers = append(n.peers, team.Peer{ID: p.id, Zone: p.zone})
			}
		}
	}
	for at := time.Second; at < runTime; at += time.Second {
		s.schedule(at, func() {
			for _, n := range s.nodes {
				n.share.Tick(s.now())
			}
		})
	}
}

// isolated reports whether a zone is partitioned at the current time.
func (s *simulation) isolated(zone string) bool {
	return s.workload.partition && zone == "z0" && s.elapsed >= partitionStart && s.elapsed < partitionEnd
}

// admitIdeal runs the request against a fleet-wide bucket that admits all that
// fits, as the reference for worstTeamShare.
func (s *simulation) admitIdeal(r request) {
	if s.ideal[r.team].Take(s.now(), r.reserved) {
		s.result.ideal[r.team] += r.used
		s.after(r.duration, func() { s.ideal[r.team].Settle(s.now(), r.reserved, r.used) })
	}
}

// admitted counts an admission. settle is called when the request ends.
func (s *simulation) admitted(r request, settle func()) {
	charged := &s.charged[r.team]
	charged.Advance(s.now())
	charged.Balance -= r.reserved
	s.result.overspent += max(0, -charged.Balance-roundingTolerance)
	s.result.admitted[r.team] += r.used
	s.after(r.duration, func() {
		charged.Settle(s.now(), r.reserved, r.used)
		settle()
	})
}

// roundingTolerance is the floating-point error in tokens that does not count
// as overspending.
const roundingTolerance = 1e-3

// refused counts a refusal. It is unjustified if the charged bucket held enough
// tokens.
func (s *simulation) refused(r request) {
	charged := &s.charged[r.team]
	charged.Advance(s.now())
	if charged.Balance >= r.reserved {
		s.result.unjustified++
		if s.workload.demand[r.team] <= 1 {
			s.result.unjustifiedWithinRate++
		}
	}
}
