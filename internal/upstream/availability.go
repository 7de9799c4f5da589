package upstream

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
)

// unlistedRetention is how long the statements of a target that is no longer listed
// are kept: the entry of a running target can lapse for a while and then return.
const unlistedRetention = time.Minute

// maxPause bounds the pause that a target may ask for, in case its clock or its
// configuration is wrong. A target that needs longer asks again.
const maxPause = 5 * time.Minute

// Pause returns for how long the target wants no requests; zero if it does not ask for
// a pause.
func (h *ResponseHead) Pause() time.Duration {
	if h.Status != http.StatusServiceUnavailable {
		return 0
	}
	return min(max(h.RetryAfter, 0), maxPause)
}

// Availability records what targets state in their responses about whether they take
// requests. A statement applies to one generation of a target. It is safe for
// concurrent use. Set the exported fields before the first use.
type Availability struct {
	Now func() time.Time
	Log *zap.Logger
	// OnStatement is called with the head of a response that states a limit, or that the
	// target is brittle; may be nil.
	OnStatement func(target deployment.Target, head *ResponseHead)

	mu         sync.Mutex
	statements map[deployment.TargetID]*statement
}

// statement is what one generation of a target has stated.
type statement struct {
	generation int64
	leaving    bool
	// pausedUntil is when the target takes requests again.
	pausedUntil time.Time
	// unlistedSince is when the target was first missing from the listed ones; zero
	// while it is listed.
	unlistedSince time.Time
}

// Observe records what a target states in the head of a response.
func (a *Availability) Observe(target deployment.Target, head *ResponseHead) {
	pause := head.Pause()
	if head.TargetID != "" && head.TargetID != target.ID {
		return
	}
	if (head.Limited || head.Brittle) && a.OnStatement != nil {
		a.OnStatement(target, head)
	}
	if !head.Leaving && pause == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.statement(target)
	if s == nil {
		return
	}
	if head.Leaving && !s.leaving {
		s.leaving = true
		a.Log.Info("target is leaving", zap.String("target", string(target.ID)), zap.Int64("generation", target.Generation))
	}
	if pause > 0 {
		a.extendPause(target.ID, s, pause)
	}
}

// extendPause makes a target's pause last at least as long as given. The caller holds
// the lock.
func (a *Availability) extendPause(id deployment.TargetID, s *statement, pause time.Duration) {
	now := a.Now()
	if !now.Before(s.pausedUntil) {
		a.Log.Info("target asked for a pause", zap.String("target", string(id)), zap.Duration("pause", pause))
	}
	if until := now.Add(pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
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

// PausedFor returns how much longer the target wants no requests; zero if it takes
// them.
func (a *Availability) PausedFor(target deployment.Target) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.statements[target.ID]
	if !ok || s.generation != target.Generation {
		return 0
	}
	return max(s.pausedUntil.Sub(a.Now()), 0)
}

// Available reports whether the target takes requests now: it has not stated that it
// is leaving, and no pause that it asked for is under way.
func (a *Availability) Available(target deployment.Target) bool {
	return !a.Leaving(target) && a.PausedFor(target) == 0
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
