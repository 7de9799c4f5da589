package simulation

import "time"

// Parameters of the simulated weight store. While it is slow, loads take
// slowLoadFactor times as long and start at the rate divided by slowRateDivisor.
const (
	loadTime         = 250 * time.Millisecond
	loadsPerSecond   = 3.0
	loadBurst        = 3.0
	maxLoadsInFlight = 8
	slowLoadFactor   = 4
	slowRateDivisor  = 3
)

// store is the simulated weight store. It includes the load permits by which the
// product limits the rate and concurrency of loads: a token bucket and a maximum
// number of loads in flight.
type store struct {
	// permits is the number of available permits as of refilled.
	permits  float64
	refilled time.Duration
	inFlight int
	// maxInFlight is the maximum that inFlight has reached, and loads the number of
	// loads started.
	maxInFlight int
	loads       int
	// slow is when the store is slow.
	slow Span
}

// rate returns the permitted loads per second.
func (s *store) rate(now time.Duration) float64 {
	if s.slow.contains(now) {
		return loadsPerSecond / slowRateDivisor
	}
	return loadsPerSecond
}

// refill adds the permits that have accrued since the last refill.
func (s *store) refill(now time.Duration) {
	s.permits = min(loadBurst, s.permits+(now-s.refilled).Seconds()*s.rate(now))
	s.refilled = now
}

// canStart reports whether a permit is available for a load now.
func (s *store) canStart(now time.Duration) bool {
	s.refill(now)
	return s.permits >= 1 && s.inFlight < maxLoadsInFlight
}

// untilNextPermit returns the time until the rate allows another load.
func (s *store) untilNextPermit(now time.Duration) time.Duration {
	missing := 1 - s.permits
	return time.Duration(missing/s.rate(now)*float64(time.Second)) + time.Millisecond
}

// start starts a load and returns its duration. The caller decrements inFlight at
// its end.
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
