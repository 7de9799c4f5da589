package peer

import (
	"maps"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
)

// useSums adds up what several sources, instances or zones, have in flight at each
// target. A change of a source costs as much as the targets that it names. It is not
// safe for concurrent use. Set onChange before the first use.
type useSums struct {
	// onChange is called with each target whose sum may have changed.
	onChange func(deployment.TargetID)

	sources map[string]*useSource
	sums    map[deployment.TargetID]inflight.TargetUse
}

// useSource is what one source has in flight, as of a time.
type useSource struct {
	uses map[deployment.TargetID]inflight.TargetUse
	asOf time.Time
}

// source returns a source, which it creates if needed.
func (s *useSums) source(name string) *useSource {
	if s.sources == nil {
		s.sources, s.sums = map[string]*useSource{}, map[deployment.TargetID]inflight.TargetUse{}
	}
	source, ok := s.sources[name]
	if !ok {
		source = &useSource{uses: map[deployment.TargetID]inflight.TargetUse{}}
		s.sources[name] = source
	}
	return source
}

// patch replaces what a source has at the targets in changes. No requests at a target
// mean that it has none.
func (s *useSums) patch(name string, changes map[deployment.TargetID]inflight.TargetUse, asOf time.Time) {
	source := s.source(name)
	source.asOf = asOf
	for id, next := range changes {
		previous, known := source.uses[id]
		if known {
			s.add(id, previous, -1)
		}
		if next.IsZero() {
			delete(source.uses, id)
		} else {
			source.uses[id] = next
			s.add(id, next, 1)
		}
		if known || !next.IsZero() {
			s.onChange(id)
		}
	}
}

// replace replaces all that a source has.
func (s *useSums) replace(name string, uses map[deployment.TargetID]inflight.TargetUse, asOf time.Time) {
	changes := maps.Clone(uses)
	if changes == nil {
		changes = map[deployment.TargetID]inflight.TargetUse{}
	}
	for id := range s.source(name).uses {
		if _, ok := uses[id]; !ok {
			changes[id] = inflight.TargetUse{}
		}
	}
	s.patch(name, changes, asOf)
}

// removeFunc removes the sources that satisfy match.
func (s *useSums) removeFunc(match func(name string, source *useSource) bool) {
	for name, source := range s.sources {
		if match(name, source) {
			s.replace(name, nil, source.asOf)
			delete(s.sources, name)
		}
	}
}

// add adds a use to the sum of a target, or subtracts it if sign is -1.
func (s *useSums) add(id deployment.TargetID, use inflight.TargetUse, sign int) {
	sum := s.sums[id]
	if sign < 0 {
		sum.Add(use.Negative())
	} else {
		sum.Add(use.Use)
	}
	for name, requests := range use.Adapters {
		if sum.Adapters == nil {
			sum.Adapters = map[deployment.AdapterName]int{}
		}
		if sum.Adapters[name] += sign * requests; sum.Adapters[name] == 0 {
			delete(sum.Adapters, name)
		}
	}
	if sum.IsZero() {
		delete(s.sums, id)
		return
	}
	s.sums[id] = sum
}

// of returns the sum of a target, without what one source has there.
func (s *useSums) of(id deployment.TargetID, without string) inflight.Use {
	sum := s.sums[id].Use
	if source, ok := s.sources[without]; ok {
		sum.Add(source.uses[id].Negative())
	}
	return sum
}

// adapterRequests returns how many requests for an adapter are in flight at a target.
func (s *useSums) adapterRequests(id deployment.TargetID, name deployment.AdapterName) int {
	return s.sums[id].Adapters[name]
}
