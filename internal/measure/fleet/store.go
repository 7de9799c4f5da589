package fleet

import "time"

// The fake weight store.
const (
	loadTime         = 250 * time.Millisecond
	loadsPerSecond   = 3.0
	loadBurst        = 3.0
	maxLoadsInFlight = 8
	slowLoadFactor   = 4
	slowRateDivisor  = 3
)

// store is the weight store with the permits that the product keeps to.
type store struct {
	permits     float64
	refilled    time.Duration
	inFlight    int
	maxInFlight int
	loads       int
	slow        Span
}

func (s *store) rate(now time.Duration) float64 {
	if s.slow.contains(now) {
		return loadsPerSecond / slowRateDivisor
	}
	return loadsPerSecond
}

func (s *store) refill(now time.Duration) {
	s.permits = min(loadBurst, s.permits+(now-s.refilled).Seconds()*s.rate(now))
	s.refilled = now
}

// canStart reports whether a load may start now.
func (s *store) canStart(now time.Duration) bool {
	s.refill(now)
	return s.permits >= 1 && s.inFlight < maxLoadsInFlight
}

// untilNextPermit returns how long until the rate allows a load.
func (s *store) untilNextPermit(now time.Duration) time.Duration {
	missing := 1 - s.permits
	return time.Duration(missing/s.rate(now)*float64(time.Second)) + time.Millisecond
}

// start begins a load and returns how long it takes.
func (s *store) start(now time.Duration) time.Duration {
	s.permits--
	s.inFlight++
	s.loads++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	if s.slow.contains(now) {
		return loadTime * slowLoadFactor
	}
	return loadTime
}
