package gateway

import (
	"strconv"
	"sync"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/admission"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/refusal"
)

const (
	// turnInterval is the time between two checks for room; a request of this instance that
	// ends has one made at once.
	turnInterval = 20 * time.Millisecond
	// maxChecks bounds the requests that are looked at in one check.
	maxChecks = 8
)

// waitingLine is the line of the requests of this instance that wait for room at the engines
// of a service. While it is not empty, one goroutine gives turns. The zero value is ready; it
// is safe for concurrent use.
type waitingLine struct {
	mu      sync.Mutex
	line    admission.Line[*waiter]
	running bool
	ended   chan struct{}
	pushed  uint64
}

// waiter is a request in the line. turn is closed when it is its turn; hasRoom reports
// whether it could start, and is called while the exchange itself waits.
type waiter struct {
	turn    chan struct{}
	hasRoom func() bool
}

// ahead returns how many requests that are as urgent or more, and how many in all, wait.
func (l *waitingLine) ahead(rank inflight.Rank) (urgent, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.line.UpTo(rank), l.line.Len()
}

// wake has a check for room be made soon.
func (l *waitingLine) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		return
	}
	select {
	case l.ended <- struct{}{}:
	default:
	}
}

// push adds a request to the line, and starts to give turns if it is the first one. It sets
// the id by which the request is removed.
func (l *waitingLine) push(now time.Time, rank inflight.Rank, item *fairqueue.Item[*waiter]) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pushed++
	item.ID = strconv.FormatUint(l.pushed, 10)
	if err := l.line.Push(now, rank, *item); err != nil {
		return err
	}
	if !l.running {
		l.running, l.ended = true, make(chan struct{}, 1)
		go l.run(l.ended)
	}
	return nil
}

// remove removes a request that no longer waits. It has no effect after its turn.
func (l *waitingLine) remove(rank inflight.Rank, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line.Remove(rank, id)
}

// run gives turns until the line is empty.
func (l *waitingLine) run(ended <-chan struct{}) {
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	for l.giveTurn() {
		select {
		case <-ended:
		case <-ticker.C:
		}
	}
}

// giveTurn gives one request its turn if there is room for it. It reports false, and ends the
// line's goroutine, if none is left.
func (l *waitingLine) giveTurn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := 0
	item, ok := l.line.Pop(func(i fairqueue.Item[*waiter]) bool {
		checks++
		return checks <= maxChecks && i.Payload.hasRoom()
	})
	if ok {
		close(item.Payload.turn)
	}
	l.running = l.line.Len() > 0
	return l.running
}

// awaitRoom waits in the line until it is the request's turn, or until another decision is
// due. It refuses a request that finds no place in the line, or whose client is gone.
func (e *exchange) awaitRoom(competition *competition, service *deployment.Service, request placement.Request, decision *admission.Decision) *refusal.Error {
	w := &waiter{turn: make(chan struct{}), hasRoom: func() bool { return e.hasRoom(competition, service, request) }}
	item := fairqueue.Item[*waiter]{
		Adapter: adapter.ID{Name: request.Adapter.Adapter, Version: request.Adapter.Model}, Tokens: request.Tokens, Payload: w,
	}
	if e.team != nil {
		item.Team, item.Weight = e.team.Name, teamWeight(e.team, e.configuration.Teams)
	}
	// Engines that had no room before may have some when it is the request's turn.
	clear(e.excluded)
	begun := e.server.Now()
	if err := competition.push(begun, decision.Rank, &item); err != nil {
		decision.Cause = admission.CauseLineFull
		e.recordDecision(decision, nil)
		return e.refuseCompeting(service, decision).WithCause(err)
	}
	defer competition.remove(decision.Rank, item.ID)
	timer := time.NewTimer(decision.For)
	defer timer.Stop()
	select {
	case <-w.turn:
	case <-timer.C:
	case <-e.ctx.Done():
	}
	e.server.Metrics.admissionWait.WithLabelValues(rankLabel(e.rank())).Observe(e.server.Now().Sub(begun).Seconds())
	return e.checkClientAndDeadline()
}

// hasRoom reports whether the request could start now.
func (e *exchange) hasRoom(competition *competition, service *deployment.Service, request placement.Request) bool {
	request.Now, request.Remaining = e.server.Now(), e.remaining()
	_, decision := e.decide(e.fleetWithoutLine(competition), request, e.engineCandidates(service))
	return decision.Starts()
}

// teamWeight returns a team's weight against others: its rate, as a multiple of the mean of
// the teams whose rates are in the same unit; 1 if its rate is not limited.
func teamWeight(team *deployment.Team, teams []*deployment.Team) float64 {
	total, count := 0.0, 0
	for _, t := range teams {
		if t.RatePerSecond > 0 && t.CountsTokens == team.CountsTokens {
			total += t.RatePerSecond
			count++
		}
	}
	if team.RatePerSecond <= 0 || count == 0 {
		return 1
	}
	return team.RatePerSecond * float64(count) / total
}
