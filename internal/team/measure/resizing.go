package main

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"heatherrelay/internal/team"
)

// Parameters of demand-driven resizing. One round of changes costs one write
// per zone. Writes are limited by a token bucket.
const (
	sampleInterval  = time.Second
	resizeInterval  = 5 * time.Second
	growDelay       = 100 * time.Millisecond
	demandSamples   = 10
	trendAgreement  = 0.7
	minFraction     = 0.02
	writesPerSecond = 1.0
	writeBurst      = 30.0
)

// demand tracks one team's demand at one instance, in tokens per sample.
type demand struct {
	samples     []float64
	accumulated float64
}

// recordSample starts a new sample and drops the oldest one of more than
// demandSamples.
func (d *demand) recordSample() {
	d.samples = append(d.samples, d.accumulated)
	if len(d.samples) > demandSamples {
		d.samples = d.samples[1:]
	}
	d.accumulated = 0
}

// estimate returns the median of the samples. If enough of the slopes between
// samples agree in sign, it is extrapolated along the Theil-Sen trend.
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
	extrapolation := float64(demandSamples)/2 + resizeInterval.Seconds()/2
	return max(0, level+extrapolation*stat.Quantile(0.5, stat.Empirical, slopes, nil))
}

// slopes returns the slopes between all pairs of samples.
func (d *demand) slopes() []float64 {
	var slopes []float64
	for i, a := range d.samples {
		for j, b := range d.samples[i+1:] {
			slopes = append(slopes, (b-a)/float64(j+1))
		}
	}
	return slopes
}

// resizer moves slices to the instances with demand, without transfers.
type resizer struct {
	*simulation
	buckets     [][]team.Bucket
	demands     [][]demand
	writeBudget team.Bucket
}

// resizing is demand-driven resizing of the slices after "Automated
// Demand-driven Resource Scaling in Relational Database-as-a-Service".
func resizing(s *simulation) func(r request) {
	z := &resizer{simulation: s, writeBudget: team.Bucket{Rate: writesPerSecond, Burst: writeBurst, Balance: writeBurst}}
	for range instances {
		z.buckets = append(z.buckets, fullBuckets(1/float64(instances)))
		z.demands = append(z.demands, make([]demand, len(rates)))
	}
	for at := sampleInterval; at < runTime; at += sampleInterval {
		s.schedule(at, z.recordSamples)
	}
	for at := resizeInterval; at < runTime; at += resizeInterval {
		s.schedule(at, z.resize)
	}
	return z.admit
}

func (z *resizer) admit(r request) {
	b := &z.buckets[r.instance][r.team]
	z.demands[r.instance][r.team].accumulated += r.reserved
	if !b.Take(z.now(), r.reserved) {
		z.refused(r)
		return
	}
	z.admitted(r, func() { b.Settle(z.now(), r.reserved, r.used) })
}

func (z *resizer) recordSamples() {
	for i := range z.demands {
		for t := range z.demands[i] {
			z.demands[i][t].recordSample()
		}
	}
}

// resize shrinks slices at once and grows others after growDelay. Each
// instance's report costs one write, and so do each zone's new slices.
func (z *resizer) resize() {
	if !z.writeBudget.Take(z.now(), float64(zones)) {
		return
	}
	z.result.platformCalls += float64(instances + 2*zones)
	for t := range rates {
		z.resizeTeam(t)
	}
}

// resizeTeam distributes a team's parts over the reachable instances in
// proportion to their estimated demand. Each keeps at least minFraction.
func (z *resizer) resizeTeam(t int) {
	var reachable []int
	ownedFraction, totalDemand := 0.0, 0.0
	estimates := make([]float64, instances)
	for i, n := range z.nodes {
		if z.isolated(n.zone) {
			continue
		}
		reachable = append(reachable, i)
		ownedFraction += z.buckets[i][t].Burst / rates[t].BurstTokens
		estimates[i] = z.demands[i][t].estimate()
		totalDemand += estimates[i]
	}
	if totalDemand == 0 {
		return
	}
	distributable := ownedFraction - minFraction*float64(len(reachable))
	freed, grown := 0.0, 0.0
	newFractions := make([]float64, instances)
	for _, i := range reachable {
		newFractions[i] = minFraction + distributable*estimates[i]/totalDemand
		b := &z.buckets[i][t]
		if fraction := b.Burst / rates[t].BurstTokens; newFractions[i] < fraction {
			before := b.Balance
			b.Resize(z.now(), newFractions[i]*rates[t].TokensPerSecond, newFractions[i]*rates[t].BurstTokens)
			freed += before - b.Balance
			continue
		}
		grown += newFractions[i] - b.Burst/rates[t].BurstTokens
	}
	z.after(growDelay, func() { z.grow(t, newFractions, freed, grown) })
}

// grow raises the slices that are below their new fraction and divides the freed
// balance among them.
func (z *resizer) grow(t int, newFractions []float64, freed, grown float64) {
	for i, newFraction := range newFractions {
		b := &z.buckets[i][t]
		growth := newFraction - b.Burst/rates[t].BurstTokens
		if newFraction == 0 || growth <= 0 {
			continue
		}
		b.Resize(z.now(), newFraction*rates[t].TokensPerSecond, newFraction*rates[t].BurstTokens)
		b.Settle(z.now(), freed*growth/grown, 0)
	}
}
