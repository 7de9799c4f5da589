package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/reservation"
)

// A stream that no target of its software version can take now is to come back between
// minBoundRetry and maxBoundRetry later, at a time drawn for it. Targets that crashed are
// back in seconds, and the clients of all streams that these broke off come at once and
// give up after some tries.
const (
	minBoundRetry = 1500 * time.Millisecond
	maxBoundRetry = 3 * time.Second
)

// openShare is the part of the slots of a target that requests may use which are bound to no
// software version, while that of the target is scarce.
const openShare = 0.75

// returnSlack is how much later than it was told a client may be back.
const returnSlack = 500 * time.Millisecond

// scarcity knows the software versions at whose targets streams were refused that cannot go
// on elsewhere, and has room left for them there until they are due back. Its size is bounded
// by the versions that targets have within a reservation.Interval. The zero value is ready; it
// is safe for concurrent use.
type scarcity struct {
	mu       sync.Mutex
	reserved map[serviceVersion]*reservation.Reservation
}

// serviceVersion is a software version of the targets of a service.
type serviceVersion struct{ service, version string }

// record notes that a stream which goes on at targets of v only was refused and told to come
// back after wait.
func (s *scarcity) record(v serviceVersion, now time.Time, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved == nil {
		s.reserved = map[serviceVersion]*reservation.Reservation{}
	}
	maps.DeleteFunc(s.reserved, func(_ serviceVersion, r *reservation.Reservation) bool { return r.Over(now) })
	if s.reserved[v] == nil {
		s.reserved[v] = &reservation.Reservation{}
	}
	s.reserved[v].Extend(now, wait+returnSlack)
}

// current returns the versions at whose targets room is to be left; nil if there are none.
func (s *scarcity) current(now time.Time) map[serviceVersion]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var versions map[serviceVersion]bool
	for v, r := range s.reserved {
		if !r.InForce(now) {
			continue
		}
		if versions == nil {
			versions = map[serviceVersion]bool{}
		}
		versions[v] = true
	}
	return versions
}

// openCandidates returns the candidates that the request may use, in the order in which
// these lists are to be tried. One that is bound to no software version uses targets of a
// scarce one last, and only up to openShare of their slots.
func (e *exchange) openCandidates(candidates []placement.Candidate) [][]placement.Candidate {
	scarce := e.server.scarcity.current(e.server.Now())
	if e.software.bound || scarce == nil {
		return [][]placement.Candidate{candidates}
	}
	upTo := func(share float64) []placement.Candidate {
		return slices.DeleteFunc(slices.Clone(candidates), func(c placement.Candidate) bool {
			return scarce[serviceVersion{c.Service, c.SoftwareVersion}] && (share == 0 || c.Slots > 0 && float64(c.Requests) >= share*float64(c.Slots))
		})
	}
	return [][]placement.Candidate{upTo(0), upTo(openShare)}
}

// chooseEngine returns the engine for a request, as an index of the candidates returned with
// it, or refuses the request.
func (e *exchange) chooseEngine(service *deployment.Service, request placement.Request, candidates []placement.Candidate) ([]placement.Candidate, placement.Choice, *refusal.Error) {
	var choice placement.Choice
	var ok, reserved bool
	for _, open := range e.openCandidates(candidates) {
		choice, ok = placement.Choose(request, open)
		if ok && choice.Delay <= maxStartDelay {
			return open, choice, nil
		}
		reserved = len(open) < len(candidates)
	}
	switch {
	case reserved:
		return nil, choice, refusal.NotRun(refusal.CodeOverloaded, "the free slots are left to resumed streams").WithRetryAfter(maxBoundRetry)
	case ok:
		return nil, choice, e.refuseUnserved(service, choice.Delay/2, refusal.NotRun(refusal.CodeOverloaded, "all engines are busy"))
	}
	return nil, choice, e.refuseUnserved(service, retrySoon, refusal.NotRun(refusal.CodeNoTarget, "no engine can take the request"))
}

// refuseUnserved completes the refusal of a request that no target of the service can take
// now, which is to come back after delay if nothing else is known.
func (e *exchange) refuseUnserved(service *deployment.Service, delay time.Duration, refused *refusal.Error) *refusal.Error {
	if !e.restricted(service) {
		return refused.WithRetryAfter(e.retryAfter(service, delay))
	}
	wait := e.retryAfter(service, minBoundRetry+rand.N(maxBoundRetry-minBoundRetry))
	e.unserved = &unservedStream{serviceVersion{service.Name, e.software.version}, wait}
	return refused.WithRetryAfter(wait)
}

// unservedStream is a stream that no target of its software version can take now. Its client
// is told to come back after wait.
type unservedStream struct {
	serviceVersion
	wait time.Duration
}

// reserveForReturn has room left for a stream whose client is refused and told to come back.
func (e *exchange) reserveForReturn(refused *refusal.Error) {
	if u := e.unserved; u != nil && refused.NotRun {
		e.server.scarcity.record(u.serviceVersion, e.server.Now(), u.wait)
	}
}

// restricted reports whether the stream is bound to a software version that some targets of
// the service do not have.
func (e *exchange) restricted(service *deployment.Service) bool {
	if !e.software.bound || !origin.IsSoftwareVersion(e.software.version) {
		return false
	}
	for _, t := range e.server.Catalog.Targets() {
		if t.Service == service.Name && t.SoftwareVersion != e.software.version {
			return true
		}
	}
	return false
}
