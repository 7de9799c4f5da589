package upstream

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// unlistedRetention is how long the statements of a target that is no longer listed
// are kept: the entry of a running target can lapse for a while and then return.
const unlistedRetention = time.Minute

// Availability records what targets state in their responses about whether they take
// requests. A statement applies to one generation of a target. It is safe for
// concurrent use. Set Now before the first use.
type Availability struct {
	Now func() time.Time

	mu         sync.Mutex
	statements map[deployment.TargetID]*statement
}

// statement is what one generation of a target has stated.
type statement struct {
	generation int64
	leaving    bool
	// unlistedSince is when the target was first missing from the listed ones; zero
	// while it is listed.
	unlistedSince time.Time
}

// Observe records what a target states in the head of a response.
func (a *Availability) Observe(target deployment.Target, head *ResponseHead) {
	if !head.Leaving || head.TargetID != "" && head.TargetID != target.ID {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.statement(target); s != nil {
		s.leaving = true
	}
}

// statement returns the statement of a target's generation, or nil if a later
// generation has made one. The caller holds the lock.
func (a *Availability) statement(target deployment.Target) *statement {
	s, ok := a.statements[target.ID]
	if ok && s.generation > target.Generation {
		return nil
	}
	if !ok || s.generation < target.Generation {
		s = &statement{generation: target.Generation}
		if a.statements == nil {
			a.statements = map[deployment.TargetID]*statement{}
		}
		a.statements[target.ID] = s
	}
	return s
}

// Leaving reports whether the target has stated that it is leaving. Such a target
// gets no new requests, but completes those that it has.
func (a *Availability) Leaving(target deployment.Target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.statements[target.ID]
	return ok && s.generation == target.Generation && s.leaving
}

// Retain removes the statements of all targets that have been missing from the listed
// ones for unlistedRetention.
func (a *Availability) Retain(listed map[deployment.TargetID]deployment.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	for id, s := range a.statements {
		_, ok := listed[id]
		switch {
		case ok:
			s.unlistedSince = time.Time{}
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		case now.Sub(s.unlistedSince) > unlistedRetention:
			delete(a.statements, id)
		}
	}
}
