package speed

import (
	"math"
	"time"
)

// Kind is what a sample measures.
type Kind int

// The kinds of samples.
const (
	// Start is the time from sending a request to the first event of its stream.
	Start Kind = iota
	// Event is the time between two events of a stream.
	Event
	// Response is the time from sending a request to the end of a response that is no
	// stream.
	Response
	kinds
)

const (
	// usualStep is the weight of a sample for what is usual, levelStep that for what is
	// usual at a level of load. The first samples weigh more, at a level as if levelPrior
	// others had been there.
	usualStep  = 0.02
	levelStep  = 0.02
	levelPrior = 8
	// maxLevel bounds how far what is usual at a level of load is from the rest.
	maxLevel = 1.0
	// firstSamples is how many samples make what is usual reliable.
	firstSamples = 16
	levels       = 12
)

// Load is what a target had to do when a sample began.
type Load struct {
	// Nominal is how long a usual target is supposed to take, up to a factor that is
	// learned.
	Nominal time.Duration
	// Requests is the number of requests in flight.
	Requests int
}

// level returns the level of a load for a kind: those at which the factor may differ.
func (l Load) level(k Kind) int {
	size := l.Requests
	if k == Start {
		size = int(l.Nominal.Milliseconds() / 8)
	}
	return min(int(math.Log2(float64(max(size, 0)+1))), levels-1)
}

// usual is how long the targets of a service take, by kind and load: the factor to what is
// nominal, as a logarithm.
type usual struct {
	samples [kinds]int
	factor  [kinds]float64
	level   [kinds][levels]struct {
		samples int
		factor  float64
	}
}

// log returns the logarithm of the usual time in seconds.
func (u *usual) log(k Kind, l Load) float64 {
	return math.Log(l.Nominal.Seconds()) + u.factor[k] + u.level[k][l.level(k)].factor
}

// learn adds a sample whose time was excess above the usual one, as logarithms, of which
// its target's slowness explains explained.
func (u *usual) learn(k Kind, l Load, excess, explained float64) {
	u.samples[k]++
	bound := maxSurprise
	if u.samples[k] <= firstSamples {
		bound = maxLog
	}
	rest := clamp(excess-explained, bound)
	u.factor[k] += rest * max(usualStep, 1/float64(u.samples[k]))
	if u.samples[k] > firstSamples {
		level := &u.level[k][l.level(k)]
		step := max(levelStep, 1/float64(level.samples+levelPrior))
		level.samples++
		level.factor = clamp(level.factor+step*clamp(rest, maxSurprise), maxLevel)
	}
}

// reliability returns how much samples of a kind weigh for a target's slowness: little while
// it is hardly known what is usual.
func (u *usual) reliability(k Kind) float64 {
	return min(1, float64(u.samples[k])/firstSamples)
}
