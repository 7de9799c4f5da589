package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"heatherrelay/internal/team"
)

// The one-way delays of messages.
const (
	ownZoneDelay  = 250 * time.Microsecond
	crossDelay    = 1500 * time.Microsecond
	platformDelay = 4 * time.Millisecond
)

// weights returns how the balancer spreads requests at a time.
func (w workload) weights(at time.Duration) []float64 {
	first := 0
	if w.shift > 0 {
		first = 4 * int(at/w.shift)
	}
	weights := make([]float64, instances)
	for i := range weights {
		weights[(first+i)%instances] = math.Pow(float64(i+1), -w.skew)
	}
	return weights
}

// draw returns an index with probability in proportion to its weight.
func draw(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	left := random.Float64() * total
	for i, w := range weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap by time, then by order of scheduling.
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

// node is one instance: the state machines that run live.
type node struct {
	id, zone string
	share    team.Share
	hints    team.Hints
	peers    []team.Peer
}

// simulation is one run.
type simulation struct {
	workload workload
	result   result
	at       time.Duration
	queue    events
	seq      int
	transfer int
	nodes    []*node
	exact    []team.Bucket
	ideal    []team.Bucket
}

// result is what one run counted.
type result struct {
	requests, wrongful float64
	// within and wrongfulWithin count the teams that ask for no more than their rate.
	within, wrongfulWithin   float64
	transfers, platformCalls float64
	// over is the tokens spent beyond the exact buckets.
	over            float64
	admitted, ideal []float64
}

func (r result) wrongfulShare() float64 { return r.wrongful / r.requests }

func (r result) wrongfulWithinShare() float64 { return r.wrongfulWithin / r.within }

func (r result) perSecond(count float64) float64 { return count / runTime.Seconds() }

// worstTeam returns the least part of what one exact bucket would have admitted
// that a team was given.
func (r result) worstTeam() float64 {
	worst := math.Inf(1)
	for i := range r.admitted {
		worst = min(worst, r.admitted[i]/r.ideal[i])
	}
	return worst
}

func simulate(w workload, p policy, seed uint64) result {
	s := &simulation{workload: w}
	s.result.admitted = make([]float64, len(rates))
	s.result.ideal = make([]float64, len(rates))
	s.exact, s.ideal = fullBuckets(1), fullBuckets(1)
	s.startNodes()
	admit := p.start(s)
	for _, r := range w.requests(rand.New(rand.NewPCG(seed, 0))) {
		s.schedule(r.at, func() {
			s.result.requests++
			if w.load[r.team] <= 1 {
				s.result.within++
			}
			s.compareIdeal(r)
			admit(r)
		})
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.at = e.at
		e.run()
	}
	return s.result
}

// fullBuckets returns a full bucket for each team with a part of its rate.
func fullBuckets(part float64) []team.Bucket {
	buckets := make([]team.Bucket, len(rates))
	for i, r := range rates {
		buckets[i] = team.Bucket{Rate: part * r.TokensPerSecond, Burst: part * r.BurstTokens, Balance: part * r.BurstTokens}
		buckets[i].Advance(epoch)
	}
	return buckets
}

// epoch is the time at which runs start.
var epoch = time.Unix(1_000_000, 0)

func (s *simulation) now() time.Time { return epoch.Add(s.at) }

func (s *simulation) schedule(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: at, seq: s.seq, run: run})
}

func (s *simulation) after(d time.Duration, run func()) { s.schedule(s.at+d, run) }

func (s *simulation) startNodes() {
	for i := range instances {
		n := &node{id: "i" + strconv.Itoa(i), zone: "z" + strconv.Itoa(i%zones)}
		n.share.Tick(epoch.Add(-1))
		n.share.Resize(epoch, epoch, team.Claim{Teams: 1 / float64(instances)})
		n.share.SetRates(epoch, 1, rates)
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

// isolated says that a zone is cut off now.
func (s *simulation) isolated(zone string) bool {
	return s.workload.cut && zone == "z0" && s.at >= cutStart && s.at < cutEnd
}

// compareIdeal gives the request to a bucket that admits whatever fits, for the
// worst-served team's figure.
func (s *simulation) compareIdeal(r request) {
	if s.ideal[r.team].Take(s.now(), r.reserved) {
		s.result.ideal[r.team] += r.used
		s.after(r.runs, func() { s.ideal[r.team].Settle(s.now(), r.reserved, r.used) })
	}
}

// admitted counts an admission; settle is called when the request is over.
func (s *simulation) admitted(r request, settle func()) {
	exact := &s.exact[r.team]
	exact.Advance(s.now())
	exact.Balance -= r.reserved
	s.result.over += max(0, -exact.Balance-rounding)
	s.result.admitted[r.team] += r.used
	s.after(r.runs, func() {
		exact.Settle(s.now(), r.reserved, r.used)
		settle()
	})
}

// rounding is the error of sums that is no overspending.
const rounding = 1e-3

// refused counts a refusal, wrongful if the exact bucket held the tokens.
func (s *simulation) refused(r request) {
	exact := &s.exact[r.team]
	exact.Advance(s.now())
	if exact.Balance >= r.reserved {
		s.result.wrongful++
		if s.workload.load[r.team] <= 1 {
			s.result.wrongfulWithin++
		}
	}
}
