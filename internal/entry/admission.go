package entry

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
	// The pause of a patient request between two tries at its team's allowance.
	minAdmissionPause = 50 * time.Millisecond
	maxAdmissionPause = time.Second
	// waitersPerTeamPart is the part of RequestsInFlight that one team's patient
	// requests may hold while they wait for their allowance.
	waitersPerTeamPart = 16
)

// waiters counts each team's patient requests that wait for their allowance.
type waiters struct {
	mu     sync.Mutex
	counts map[string]int
}

// enter reports whether one more request of a team may wait.
func (w *waiters) enter(name string, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[name] >= limit {
		return false
	}
	if w.counts == nil {
		w.counts = map[string]int{}
	}
	w.counts[name]++
	return true
}

func (w *waiters) leave(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[name]--; w.counts[name] <= 0 {
		delete(w.counts, name)
	}
}

// reserve takes tokens from a team's allowance. A request on an open route
// without a key has no team and no allowance.
func (s *Server) reserve(name string, tokens float64, deadline time.Time) (team.Reservation, error) {
	if name == "" || tokens <= 0 {
		return team.Reservation{Settle: func(float64) {}}, nil
	}
	ctx, cancel := context.WithDeadline(s.work, deadline)
	defer cancel()
	return s.Admit(ctx, name, tokens)
}

// reserveFor is reserve for a model request. One of class patient waits for its
// allowance until its deadline, while its caller is there and not too many of
// its team wait already.
func (s *Server) reserveFor(name string, tokens float64, deadline time.Time, class release.Class, conn *net.TCPConn) (team.Reservation, error) {
	reservation, err := s.reserve(name, tokens, deadline)
	if class != release.Patient || !overRate(err) {
		return reservation, err
	}
	if !s.waiting.enter(name, s.Limits.RequestsInFlight/waitersPerTeamPart) {
		return reservation, err
	}
	defer s.waiting.leave(name)
	ctx, cancel := context.WithDeadline(s.work, deadline)
	defer cancel()
	ctx, leave := whilePresent(ctx, conn)
	defer leave()
	for overRate(err) && pauseFor(ctx, admissionPause(err)) {
		reservation, err = s.reserve(name, tokens, deadline)
	}
	return reservation, err
}

func overRate(err error) bool {
	return err != nil && refusal.From(err).Code == refusal.CodeRateLimited
}

// admissionPause returns when to try again, spread so that waiters do not come
// back all at once.
func admissionPause(err error) time.Duration {
	advised := min(max(refusal.From(err).RetryAfter, minAdmissionPause), maxAdmissionPause)
	return advised/2 + rand.N(advised)
}

// pauseFor reports whether the whole pause went by before ctx ended.
func pauseFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
