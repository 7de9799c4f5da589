package speed

import (
	"math"
	"time"
)

const (
	// momentHalfLife is the time after which a sample counts half for how slow a target is
	// just now, makeHalfLife the same for how it is made.
	momentHalfLife = 700 * time.Millisecond
	makeHalfLife   = time.Minute
	// momentPrior and makePrior are how many samples the assumption weighs that a target
	// is as it is made, and that it is made like the others.
	momentPrior = 3.0
	makePrior   = 4.0
	// sampleDeviation is the standard deviation of the logarithm of a sample.
	sampleDeviation = 0.5
	// maxSurprise bounds how far the logarithm of a sample counts from what is known of its
	// target, so that a single one moves little. For the present it is less strict the more
	// samples there are, as far as a single one is lost in their noise.
	maxSurprise = 0.7
	// maxJump bounds how far a sample counts from the present, however many there are.
	maxJump = 1.6
	// confidence is how many standard deviations a difference must have to count.
	confidence = 2.0
	// maxLog bounds the logarithm of a slowness.
	maxLog = 3.0
)

// tally is the sum of the logarithms of samples, and their number, both decayed.
type tally struct{ sum, weight float64 }

func (t tally) times(factor float64) tally { return tally{t.sum * factor, t.weight * factor} }

func (t tally) plus(other tally) tally { return tally{t.sum + other.sum, t.weight + other.weight} }

// mean returns the mean of the samples, of which prior further ones have the value base.
func (t tally) mean(base, prior float64) float64 {
	if t.weight+prior <= 0 {
		return base
	}
	return (t.sum + base*prior) / (t.weight + prior)
}

// Evidence is what the answers of a target say of its speed: how many times as long as usual
// they took, as logarithms. It decays with time, and decayed evidence of several instances
// may be added. The zero value says nothing.
type Evidence struct {
	moment, made tally
	// asOf is the time at which the tallies have their values.
	asOf time.Time
}

// at returns the evidence as it counts at a time. Evidence of a later time is unchanged.
func (e Evidence) at(now time.Time) Evidence {
	age := now.Sub(e.asOf)
	if age <= 0 || e.asOf.IsZero() {
		e.asOf = now
		return e
	}
	return Evidence{
		moment: e.moment.times(math.Exp2(-age.Seconds() / momentHalfLife.Seconds())),
		made:   e.made.times(math.Exp2(-age.Seconds() / makeHalfLife.Seconds())),
		asOf:   now,
	}
}

// plus returns the sum of e and other, both as they count at the time of e.
func (e Evidence) plus(other Evidence) Evidence {
	other = other.at(e.asOf)
	return Evidence{moment: e.moment.plus(other.moment), made: e.made.plus(other.made), asOf: e.asOf}
}

// minus returns e without other, which e includes.
func (e Evidence) minus(other Evidence) Evidence {
	other = other.at(e.asOf)
	rest := e.plus(Evidence{moment: other.moment.times(-1), made: other.made.times(-1), asOf: e.asOf})
	if rest.moment.weight <= 0 {
		rest.moment = tally{}
	}
	if rest.made.weight <= 0 {
		rest.made = tally{}
	}
	return rest
}

// build returns the logarithm of how slow the target is made, and its standard deviation.
func (e Evidence) build() (log, deviation float64) {
	return e.made.mean(0, makePrior), sampleDeviation / math.Sqrt(e.made.weight+makePrior)
}

// present returns the logarithm of how slow the target is just now: as it is made, unless the
// latest samples clearly differ.
func (e Evidence) present() float64 {
	made, _ := e.build()
	difference := e.moment.mean(made, momentPrior) - made
	noise := sampleDeviation * math.Sqrt(e.moment.weight) / (e.moment.weight + momentPrior)
	if math.Abs(difference) <= confidence*noise {
		return made
	}
	return made + difference
}

// add adds a sample. known is what is known of the target from all evidence.
func (e *Evidence) add(log, weight float64, known Evidence) {
	log = clamp(log, maxLog)
	made, _ := known.build()
	latest := known.moment.mean(made, momentPrior)
	bound := min(max(maxSurprise, confidence*sampleDeviation*math.Sqrt(known.moment.weight)), maxJump)
	e.moment = e.moment.plus(tally{latest + clamp(log-latest, bound), 1}.times(weight))
	e.made = e.made.plus(tally{made + clamp(log-made, maxSurprise), 1}.times(weight))
}

// clamp returns x, or the bound of the same sign if x is beyond it.
func clamp(x, bound float64) float64 { return min(max(x, -bound), bound) }
