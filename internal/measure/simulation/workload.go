// Package simulation simulates a fleet in virtual time: it replays seeded workloads
// against the product's code for routing, adapter eviction, load queueing and
// request queueing. Engines (with continuous batching) and the weight store are
// simulated; there is no network and there are no processes.
package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrelay/pkg/release"
)

// The dimensions of the simulated fleet, the same for all workloads. Each adapter
// has prefixesPerAdapter prompt prefixes of prefixTokens tokens.
const (
	Zones              = 3
	EnginesPerZone     = 4
	RoutersPerZone     = 3
	Engines            = Zones * EnginesPerZone
	Routers            = Zones * RoutersPerZone
	slotsPerEngine     = 16
	batchPerEngine     = 8
	adapterCount       = 3000
	prefixesPerAdapter = 3
	prefixTokens       = 200
)

var zoneNames = [Zones]string{"silom", "bang-na", "nonthaburi"}

// teamShares is each team's share of the requests. The teams' weights are
// proportional to it.
var teamShares = [...]float64{0.40, 0.25, 0.20, 0.10, 0.05}

// Teams is the number of teams.
const Teams = len(teamShares)

// request is one arrival of a workload.
type request struct {
	// at is the arrival time since the start of the run.
	at      time.Duration
	number  int
	team    int
	class   release.Class
	adapter int
	// prompt and output are lengths in tokens.
	prompt int
	output int
	prefix uint64
	router int
}

// Span is a half-open period of a run, in virtual time.
type Span struct {
	From, To time.Duration
}

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.To }

// Workload describes the arrivals and faults of a run. A zero Span means never.
type Workload struct {
	Name string
	// Duration is the length of a run, and Warmup the initial part of it whose
	// requests are not measured.
	Duration, Warmup time.Duration
	// RequestsPerSecond is the mean arrival rate of all teams together.
	RequestsPerSecond float64
	// ZipfExponent is the exponent of the Zipf law of the adapters' popularity.
	ZipfExponent float64
	// ShiftEvery is the interval at which some of the popular adapters are swapped
	// for others; zero means never.
	ShiftEvery time.Duration
	// Burst is when team BurstTeam sends burstFactor (5) times its rate.
	Burst     Span
	BurstTeam int
	// RateLimited applies a token bucket to BurstTeam, as admission does; the requests
	// above it are dropped.
	RateLimited bool
	// SingleTeam restricts the workload to the requests of team OnlyTeam.
	SingleTeam bool
	OnlyTeam   int
	// SkewedShare is the share of requests that all go to the first router; the
	// others are spread evenly.
	SkewedShare float64
	// Restarts are the times of cold restarts, each of a different engine in turn.
	Restarts []time.Duration
	// Partition is when the zones are partitioned: routers can use only the targets
	// of their own zone.
	Partition Span
	// SlowStore is when loads take four times as long and start at a third of the
	// rate.
	SlowStore Span
}

const (
	burstFactor = 5

	// At each shift, each of the shiftHeadSize most popular adapters is swapped with a
	// random one with probability shiftProbability.
	shiftHeadSize    = 200
	shiftProbability = 0.25

	// patientShare is the share of patient requests; their outputs are
	// patientOutputFactor times as long. meanOutput and meanPromptSuffix are the mean
	// numbers of output tokens and of prompt tokens after the prefix.
	patientShare        = 0.3
	meanOutput          = 180
	meanPromptSuffix    = 100
	patientOutputFactor = 1.5

	// A team's rate limit is its mean rate, of meanRequestTokens tokens a request,
	// multiplied by rateLimitHeadroom. Its burst is rateLimitBurst at that rate.
	meanRequestTokens = 510
	rateLimitHeadroom = 1.0
	rateLimitBurst    = 30 * time.Second
)

// bucket is a token bucket with continuous refill. Rates are in tokens per second;
// used is the part of the burst that is taken.
type bucket struct {
	rate, burst, used float64
	refilled          time.Duration
}

// take takes tokens from the bucket, or returns false if it has too few.
func (b *bucket) take(at time.Duration, tokens float64) bool {
	b.used = max(0, b.used-(at-b.refilled).Seconds()*b.rate)
	b.refilled = at
	if b.used+tokens > b.burst {
		return false
	}
	b.used += tokens
	return true
}

// Workloads returns all workloads.
func Workloads() []Workload {
	base := Workload{
		Duration: 40 * time.Minute, Warmup: 10 * time.Minute, RequestsPerSecond: 8, ZipfExponent: 1.1,
	}
	named := func(name string, change func(*Workload)) Workload {
		w := base
		w.Name = name
		change(&w)
		return w
	}
	middle := Span{From: 20 * time.Minute, To: 30 * time.Minute}
	return []Workload{
		named("steady", func(*Workload) {}),
		named("shift", func(w *Workload) { w.ShiftEvery = 5 * time.Minute }),
		named("noisy team", func(w *Workload) { w.Burst, w.BurstTeam = Span{From: w.Warmup, To: w.Duration}, 0 }),
		named("noisy team, admitted", func(w *Workload) {
			w.Burst, w.BurstTeam, w.RateLimited = Span{From: w.Warmup, To: w.Duration}, 0, true
		}),
		named("skewed balancer", func(w *Workload) { w.SkewedShare = 0.7 }),
		named("restarts", func(w *Workload) {
			for at := 12 * time.Minute; at < w.Duration; at += 4 * time.Minute {
				w.Restarts = append(w.Restarts, at)
			}
		}),
		named("zone cut", func(w *Workload) { w.Partition = middle }),
		named("slow store", func(w *Workload) { w.SlowStore = middle }),
	}
}

// generate returns the arrivals in order of time, numbered from zero.
func (w *Workload) generate(seed uint64) []request {
	var all []request
	for team := range Teams {
		if w.SingleTeam && team != w.OnlyTeam {
			continue
		}
		all = append(all, w.generateTeam(team, seed)...)
	}
	slices.SortFunc(all, func(a, b request) int { return int(a.at - b.at) })
	for i := range all {
		all[i].number = i
	}
	return all
}

// generateTeam draws one team's arrivals from a random stream of its own, so that
// its requests are the same with and without another team's burst.
func (w *Workload) generateTeam(team int, seed uint64) []request {
	r := rand.New(rand.NewPCG(seed, uint64(team)))
	popularity := newPopularity(w, team, r)
	var out []request
	at := time.Duration(0)
	rate := w.RequestsPerSecond * teamShares[team] * meanRequestTokens * rateLimitHeadroom
	bucket := &bucket{rate: rate, burst: rate * rateLimitBurst.Seconds()}
	for {
		arrivals := w.RequestsPerSecond * teamShares[team]
		if team == w.BurstTeam && w.Burst.contains(at) {
			arrivals *= burstFactor
		}
		at += time.Duration(r.ExpFloat64() / arrivals * float64(time.Second))
		if at >= w.Duration {
			return out
		}
		q := w.draw(team, at, popularity, r)
		if team != w.BurstTeam || !w.RateLimited || bucket.take(at, float64(q.prompt+q.output)) {
			out = append(out, q)
		}
	}
}

// draw draws the properties of one request.
func (w *Workload) draw(team int, at time.Duration, p *popularity, r *rand.Rand) request {
	id := p.draw(at, r)
	q := request{
		at: at, team: team, class: release.Interactive, adapter: id,
		prompt: prefixTokens + 1 + int(r.ExpFloat64()*meanPromptSuffix),
		output: 1 + int(r.ExpFloat64()*meanOutput),
		prefix: uint64(id*prefixesPerAdapter+r.IntN(prefixesPerAdapter)) + 1,
		router: r.IntN(Routers),
	}
	if r.Float64() < patientShare {
		q.class = release.Patient
		q.output = int(float64(q.output)*patientOutputFactor) + 1
	}
	if r.Float64() < w.SkewedShare {
		q.router = 0
	}
	return q
}

// popularity draws a team's adapters by a Zipf law. Adapters are assigned to the
// teams round-robin by rank, so that each team has popular and rarely used ones.
type popularity struct {
	// cumulative holds the cumulative weights by popularity rank within the team,
	// and ranked the adapter numbers at those ranks.
	cumulative []float64
	ranked     []int
	shiftEvery time.Duration
	// nextShift is the time of the next shift.
	nextShift time.Duration
}

func newPopularity(w *Workload, team int, r *rand.Rand) *popularity {
	p := &popularity{shiftEvery: w.ShiftEvery, nextShift: w.ShiftEvery}
	sum := 0.0
	for rank := team; rank < adapterCount; rank += Teams {
		sum += math.Pow(float64(rank+1), -w.ZipfExponent)
		p.cumulative = append(p.cumulative, sum)
		p.ranked = append(p.ranked, rank)
	}
	r.Shuffle(len(p.ranked), func(i, j int) { p.ranked[i], p.ranked[j] = p.ranked[j], p.ranked[i] })
	return p
}

// draw draws an adapter number for a request at a time, after any shifts that are
// due by then.
func (p *popularity) draw(at time.Duration, r *rand.Rand) int {
	for p.shiftEvery > 0 && at >= p.nextShift {
		p.shift(r)
		p.nextShift += p.shiftEvery
	}
	x := r.Float64() * p.cumulative[len(p.cumulative)-1]
	i, _ := slices.BinarySearch(p.cumulative, x)
	return p.ranked[min(i, len(p.ranked)-1)]
}

// shift swaps some of the most popular adapters for random others.
func (p *popularity) shift(r *rand.Rand) {
	for i := range shiftHeadSize / Teams {
		if r.Float64() < shiftProbability {
			j := r.IntN(len(p.ranked))
			p.ranked[i], p.ranked[j] = p.ranked[j], p.ranked[i]
		}
	}
}
