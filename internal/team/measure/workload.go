package main

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"heatherrelay/internal/team"
)

// Size of the fleet and length of a run.
var (
	instances = 9
	zones     = 3
	runTime   = 300 * time.Second
)

// Start and end of the partition of the first zone.
const (
	partitionStart = 100 * time.Second
	partitionEnd   = 160 * time.Second
)

// meanReservedTokens is the mean number of tokens reserved for a request.
const meanReservedTokens = 500

// workload describes the requests of all teams and their distribution over
// instances.
type workload struct {
	name string
	// skew is the exponent of the load balancer's weights. Zero balances
	// evenly.
	skew float64
	// shiftInterval is how often the weights move on to other instances.
	shiftInterval time.Duration
	// demand is each team's demand as a multiple of its rate.
	demand []float64
	// partition separates the first zone from the others and the platform
	// between partitionStart and partitionEnd.
	partition bool
}

var workloads = []workload{
	{name: "even", demand: []float64{0.9, 0.9, 0.9, 0.9, 0.9}},
	{name: "skew", skew: 1.2, shiftInterval: 30 * time.Second, demand: []float64{0.9, 0.9, 0.9, 0.9, 0.9}},
	{name: "five times", skew: 0.6, shiftInterval: 30 * time.Second, demand: []float64{0.9, 5, 0.9, 0.9, 0.9}},
	{name: "zone cut", skew: 0.6, shiftInterval: 30 * time.Second, demand: []float64{0.9, 0.9, 0.9, 0.9, 0.9}, partition: true},
}

// rates are teams of unequal size. A burst refills in five or ten seconds.
var rates = []team.Rate{
	{Name: team.Name("a"), TokensPerSecond: 16000, BurstTokens: 80000},
	{Name: team.Name("b"), TokensPerSecond: 8000, BurstTokens: 40000},
	{Name: team.Name("c"), TokensPerSecond: 4000, BurstTokens: 40000},
	{Name: team.Name("d"), TokensPerSecond: 2000, BurstTokens: 20000},
	{Name: team.Name("e"), TokensPerSecond: 500, BurstTokens: 5000},
}

// tokensPerInstance is the rate of a large fleet in tokens per second per
// instance.
const tokensPerInstance = 6800

// growTeams replaces the teams by the given number of teams, whose rates follow
// Zipf's law and whose total grows with the fleet.
func growTeams(count int) {
	totalWeight := 0.0
	for i := range count {
		totalWeight += 1 / float64(i+1)
	}
	rates = nil
	for i := range count {
		rate := tokensPerInstance * float64(instances) / (float64(i+1) * totalWeight)
		rates = append(rates, team.Rate{Name: team.Name(strconv.Itoa(i)), TokensPerSecond: rate, BurstTokens: max(2*maxTokens, burstFillTime.Seconds()*rate)})
	}
	for i := range workloads {
		workloads[i].demand = slices.Repeat([]float64{0.9}, count)
	}
}

// Size of the largest request, and the time in which a generated team's burst
// refills.
const (
	maxTokens     = 900
	burstFillTime = 5 * time.Second
)

// request is one request of a team, sent to an instance.
type request struct {
	at       time.Duration
	team     int
	instance int
	// reserved and used are in tokens.
	reserved float64
	used     float64
	duration time.Duration
}

// requests returns all requests of a run in order of time.
func (w workload) requests(random *rand.Rand) []request {
	var all []request
	perSecond := make([]float64, len(rates))
	total := 0.0
	for i, r := range rates {
		perSecond[i] = w.demand[i] * r.TokensPerSecond / (meanReservedTokens * meanUsedFraction)
		total += perSecond[i]
	}
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= runTime {
			return all
		}
		reserved := 100 + random.Float64()*2*(meanReservedTokens-100)
		all = append(all, request{
			at: at, team: drawIndex(random, perSecond), instance: drawIndex(random, w.weights(at)), reserved: reserved,
			used:     reserved * (2*meanUsedFraction - 1 + random.Float64()*2*(1-meanUsedFraction)),
			duration: time.Duration((0.2 + random.ExpFloat64()) * float64(time.Second)),
		})
	}
}

// meanUsedFraction is the mean fraction of its reservation that a request uses.
const meanUsedFraction = 0.7
