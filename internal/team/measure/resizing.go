package main

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"heatherrelay/internal/team"
)

// The constants of demand-driven resizing. A round of changes costs one write a
// zone out of a budget of writes that is itself a token bucket.
const (
	sampleInterval  = time.Second
	resizeInterval  = 5 * time.Second
	growDelay       = 100 * time.Millisecond
	demandSamples   = 10
	trendAgreement  = 0.7
	leastPart       = 0.02
	budgetPerSecond = 1.0
	budgetBurst     = 30.0
)

// demand is one team's demand at one instance, in tokens a sample.
type demand struct {
	samples []float64
	current float64
}

func (d *demand) sample() {
	d.samples = append(d.samples, d.current)
	if len(d.samples) > demandSamples {
		d.samples = d.samples[1:]
	}
	d.current = 0
}

// estimate returns the median of the samples, carried on along the Theil-Sen
// trend if enough of the slopes between samples agree in sign.
func (d *demand) estimate() float64 {
	if len(d.samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.samples))
	level := stat.Quantile(0.5, stat.Empirical, sorted, nil)
	slopes := d.slopes()
	rising, falling := 0.0, 0.0
	for _, slope := range slopes {
		if slope > 0 {
			rising++
		}
		if slope < 0 {
			falling++
		}
	}
	if count := float64(len(slopes)); count == 0 || max(rising, falling) < trendAgreement*count {
		return level
	}
	slices.Sort(slopes)
	ahead := float64(demandSamples)/2 + resizeInterval.Seconds()/2
	return max(0, level+ahead*stat.Quantile(0.5, stat.Empirical, slopes, nil))
}

func (d *demand) slopes() []float64 {
	var slopes []float64
	for i, a := range d.samples {
		for j, b := range d.samples[i+1:] {
			slopes = append(slopes, (b-a)/float64(j+1))
		}
	}
	return slopes
}

// resizer moves slices to where it sees demand, without transfers.
type resizer struct {
	*simulation
	buckets [][]team.Bucket
	demands [][]demand
	budget  team.Bucket
}

// resizing is demand-driven resizing of the slices after "Automated
// Demand-driven Resource Scaling in Relational Database-as-a-Service".
func resizing(s *simulation) func(r request) {
	z := &resizer{simulation: s, budget: team.Bucket{Rate: budgetPerSecond, Burst: budgetBurst, Balance: budgetBurst}}
	for range instances {
		z.buckets = append(z.buckets, fullBuckets(1/float64(instances)))
		z.demands = append(z.demands, make([]demand, len(rates)))
	}
	for at := sampleInterval; at < runTime; at += sampleInterval {
		s.schedule(at, z.sample)
	}
	for at := resizeInterval; at < runTime; at += resizeInterval {
		s.schedule(at, z.resize)
	}
	return z.admit
}

func (z *resizer) admit(r request) {
	b := &z.buckets[r.instance][r.team]
	z.demands[r.instance][r.team].current += r.reserved
	if !b.Take(z.now(), r.reserved) {
		z.refused(r)
		return
	}
	z.admitted(r, func() { b.Settle(z.now(), r.reserved, r.used) })
}

func (z *resizer) sample() {
	for i := range z.demands {
		for t := range z.demands[i] {
			z.demands[i][t].sample()
		}
	}
}

// resize shrinks what has too much at once and grows the others later. Each
// instance's report is a write, and each zone's new slices are another.
func (z *resizer) resize() {
	if !z.budget.Take(z.now(), float64(zones)) {
		return
	}
	z.result.platformCalls += float64(instances + 2*zones)
	for t := range rates {
		z.resizeTeam(t)
	}
}

func (z *resizer) resizeTeam(t int) {
	var reached []int
	parts, wanted := 0.0, 0.0
	estimates := make([]float64, instances)
	for i, n := range z.nodes {
		if z.isolated(n.zone) {
			continue
		}
		reached = append(reached, i)
		parts += z.buckets[i][t].Burst / rates[t].BurstTokens
		estimates[i] = z.demands[i][t].estimate()
		wanted += estimates[i]
	}
	if wanted == 0 {
		return
	}
	spare := parts - leastPart*float64(len(reached))
	freed, grown := 0.0, 0.0
	targets := make([]float64, instances)
	for _, i := range reached {
		targets[i] = leastPart + spare*estimates[i]/wanted
		b := &z.buckets[i][t]
		if part := b.Burst / rates[t].BurstTokens; targets[i] < part {
			before := b.Balance
			b.Resize(z.now(), targets[i]*rates[t].TokensPerSecond, targets[i]*rates[t].BurstTokens)
			freed += before - b.Balance
			continue
		}
		grown += targets[i] - b.Burst/rates[t].BurstTokens
	}
	z.after(growDelay, func() { z.grow(t, targets, freed, grown) })
}

func (z *resizer) grow(t int, targets []float64, freed, grown float64) {
	for i, target := range targets {
		b := &z.buckets[i][t]
		more := target - b.Burst/rates[t].BurstTokens
		if target == 0 || more <= 0 {
			continue
		}
		b.Resize(z.now(), target*rates[t].TokensPerSecond, target*rates[t].BurstTokens)
		b.Settle(z.now(), freed*more/grown, 0)
	}
}
