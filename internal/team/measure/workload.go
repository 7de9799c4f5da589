package main

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"heatherrelay/internal/team"
)

// The size of the fleet and the length of a run.
var (
	instances = 9
	zones     = 3
	runTime   = 300 * time.Second
)

// The times between which the first zone is cut off.
const (
	cutStart = 100 * time.Second
	cutEnd   = 160 * time.Second
)

// meanTokens is the mean cost of a request as it is reserved.
const meanTokens = 500

// workload says who sends how much to whom.
type workload struct {
	name string
	// skew is the exponent of the balancer's weights; zero is an even balancer.
	skew float64
	// shift is how often the weights move on to other instances.
	shift time.Duration
	// load is each team's demand in parts of its rate.
	load []float64
	// cut cuts the first zone from the others and the platform for a minute.
	cut bool
}

var workloads = []workload{
	{name: "even", load: []float64{0.9, 0.9, 0.9, 0.9, 0.9}},
	{name: "skew", skew: 1.2, shift: 30 * time.Second, load: []float64{0.9, 0.9, 0.9, 0.9, 0.9}},
	{name: "five times", skew: 0.6, shift: 30 * time.Second, load: []float64{0.9, 5, 0.9, 0.9, 0.9}},
	{name: "zone cut", skew: 0.6, shift: 30 * time.Second, load: []float64{0.9, 0.9, 0.9, 0.9, 0.9}, cut: true},
}

// rates are the teams, unequal in size; a burst fills in five seconds or ten.
var rates = []team.Rate{
	{Name: team.Name("a"), TokensPerSecond: 16000, BurstTokens: 80000},
	{Name: team.Name("b"), TokensPerSecond: 8000, BurstTokens: 40000},
	{Name: team.Name("c"), TokensPerSecond: 4000, BurstTokens: 40000},
	{Name: team.Name("d"), TokensPerSecond: 2000, BurstTokens: 20000},
	{Name: team.Name("e"), TokensPerSecond: 500, BurstTokens: 5000},
}

// tokensPerInstance is the rate of a large fleet, per instance.
const tokensPerInstance = 6800

// growTeams replaces the teams by a number of teams whose rates follow Zipf's
// law and together grow with the fleet.
func growTeams(count int) {
	weights := 0.0
	for i := range count {
		weights += 1 / float64(i+1)
	}
	rates = nil
	for i := range count {
		r := tokensPerInstance * float64(instances) / (float64(i+1) * weights)
		rates = append(rates, team.Rate{Name: team.Name(strconv.Itoa(i)), TokensPerSecond: r, BurstTokens: max(2*maxTokens, burstTime.Seconds()*r)})
	}
	for i := range workloads {
		workloads[i].load = slices.Repeat([]float64{0.9}, count)
	}
}

// The largest request, and the time in which a grown team's burst fills.
const (
	maxTokens = 900
	burstTime = 5 * time.Second
)

// request is one request of a team, sent to an instance.
type request struct {
	at       time.Duration
	team     int
	instance int
	reserved float64
	used     float64
	runs     time.Duration
}

// requests returns all requests of a run, in order of time.
func (w workload) requests(random *rand.Rand) []request {
	var all []request
	perSecond := make([]float64, len(rates))
	total := 0.0
	for i, r := range rates {
		perSecond[i] = w.load[i] * r.TokensPerSecond / (meanTokens * meanUsed)
		total += perSecond[i]
	}
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= runTime {
			return all
		}
		reserved := 100 + random.Float64()*2*(meanTokens-100)
		all = append(all, request{
			at: at, team: draw(random, perSecond), instance: draw(random, w.weights(at)), reserved: reserved,
			used: reserved * (2*meanUsed - 1 + random.Float64()*2*(1-meanUsed)),
			runs: time.Duration((0.2 + random.ExpFloat64()) * float64(time.Second)),
		})
	}
}

// meanUsed is the mean part of a reservation that a request uses.
const meanUsed = 0.7
