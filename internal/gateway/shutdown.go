package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/wait"
)

// drainPollInterval is the time between two looks at the requests that are under way.
const drainPollInterval = 50 * time.Millisecond

// errShutdown is the cause with which the requests end that a shutdown does not wait for.
var errShutdown = errors.New("the instance shuts down")

// abortSignal is a channel that is closed once. The zero value is ready; it is safe for
// concurrent use.
type abortSignal struct {
	initOnce, sendOnce sync.Once
	channel            chan struct{}
}

func (a *abortSignal) done() <-chan struct{} {
	a.initOnce.Do(func() { a.channel = make(chan struct{}) })
	return a.channel
}

func (a *abortSignal) send() {
	a.done()
	a.sendOnce.Do(func() { close(a.channel) })
}

// Drain waits until the responses of all requests are written or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	for s.InFlight() > 0 {
		if wait.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}

// Abort ends the requests that are still under way, so that their clients get an answer before
// the process ends: refused as not run, or as one that may have run. Streams that have begun
// break off. It waits until the answers are written or ctx ends.
func (s *Server) Abort(ctx context.Context) {
	s.aborted.send()
	s.Drain(ctx)
}

// checkLeaving has the connection closed after the response if the instance is shutting down,
// and refuses the request if it might not end in time.
func (e *exchange) checkLeaving() *refusal.Error {
	leavingFor, leaving := e.server.Leaving()
	if !leaving {
		return nil
	}
	e.client.SetConnectionClose()
	if leavingFor > e.server.shutdownAdmission() {
		return refuseShutdown()
	}
	return nil
}

// shutdownAdmission is how long after the shutdown began requests are accepted.
func (s *Server) shutdownAdmission() time.Duration {
	return min(maxShutdownAdmission, time.Duration(shutdownAdmissionShare*float64(s.DrainTimeout)))
}

// checkEndsInTime refuses a call that must not be repeated and might last longer than the
// shutdown waits. Its deadline must be set.
func (e *exchange) checkEndsInTime() *refusal.Error {
	leavingFor, leaving := e.server.Leaving()
	if !leaving || e.route.Kind == deployment.Streaming || e.route.Repeatable() || leavingFor+e.remaining() <= e.server.DrainTimeout {
		return nil
	}
	return refuseShutdown()
}

func refuseShutdown() *refusal.Error {
	return refusal.NotRun(refusal.CodeShuttingDown, "%s", errShutdown).WithRetryAfter(retryElsewhere)
}
