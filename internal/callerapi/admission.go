package callerapi

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

const (
	// Bounds on the backoff of a patient request between two attempts to reserve
	// tokens from its team's allowance.
	minAdmissionBackoff = 50 * time.Millisecond
	maxAdmissionBackoff = time.Second
	// teamWaitersDivisor divides the limit on all requests in flight to give the
	// limit on the patient requests of one team that wait for its allowance.
	teamWaitersDivisor = 16
)

// teamWaiters counts, by team, the patient requests that wait for their team's
// allowance.
type teamWaiters struct {
	mu     sync.Mutex
	counts map[string]int
}

// tryAcquire counts one more waiting request of a team. It returns false and
// counts nothing if limit requests of the team already wait.
func (w *teamWaiters) tryAcquire(teamName string, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[teamName] >= limit {
		return false
	}
	if w.counts == nil {
		w.counts = map[string]int{}
	}
	w.counts[teamName]++
	return true
}

// release ends the wait of a request that tryAcquire counted.
func (w *teamWaiters) release(teamName string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[teamName]--; w.counts[teamName] <= 0 {
		delete(w.counts, teamName)
	}
}

// reserve reserves tokens from a team's allowance. A request without a key on
// an open route has no team and therefore no allowance: its teamName is empty
// and nothing is reserved.
func (s *Server) reserve(teamName string, tokens float64, deadline time.Time) (team.Reservation, error) {
	if teamName == "" || tokens <= 0 {
		return team.Reservation{Settle: func(float64) {}}, nil
	}
	ctx, cancel := context.WithDeadline(s.requestsCtx, deadline)
	defer cancel()
	return s.Admit(ctx, teamName, tokens)
}

// reserveOrWait reserves the tokens of a model request. A request of class
// patient that is over its team's rate retries until its deadline or until its
// caller disconnects, unless too many requests of its team already wait.
func (s *Server) reserveOrWait(teamName string, tokens float64, deadline time.Time, class release.Class, conn *net.TCPConn) (team.Reservation, error) {
	reservation, err := s.reserve(teamName, tokens, deadline)
	if class != release.Patient || !isRateLimited(err) {
		return reservation, err
	}
	if !s.patientWaiters.tryAcquire(teamName, s.Limits.RequestsInFlight/teamWaitersDivisor) {
		return reservation, err
	}
	defer s.patientWaiters.release(teamName)
	ctx, cancel := context.WithDeadline(s.requestsCtx, deadline)
	defer cancel()
	ctx, stopWatching := cancelOnDisconnect(ctx, conn)
	defer stopWatching()
	for isRateLimited(err) && sleepContext(ctx, admissionBackoff(err)) {
		reservation, err = s.reserve(teamName, tokens, deadline)
	}
	return reservation, err
}

// isRateLimited reports whether err refuses a request that is over its team's
// rate.
func isRateLimited(err error) bool {
	return err != nil && refusal.From(err).Code == refusal.CodeRateLimited
}

// admissionBackoff returns the time to wait before the next attempt. It is
// jittered so that the waiting requests do not all retry at once.
func admissionBackoff(err error) time.Duration {
	base := min(max(refusal.From(err).RetryAfter, minAdmissionBackoff), maxAdmissionBackoff)
	return base/2 + rand.N(base)
}

// sleepContext sleeps for d and returns true, or returns false as soon as ctx
// is done.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
