// Package liveness tells whether the process of a target still runs after it has ended the
// connection of an answer. An answer without a length or chunks is whole only then: the
// kernel closes the connections of a process that is killed like those of one that closes
// them itself.
package liveness

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
)

const (
	// settleTime bounds the time in which the kernel closes the listener and the connections
	// of a process that ends, one after the other.
	settleTime = 50 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// dialInterval is the least time between two second connections to a process,
	// renewInterval that after one that was opened, while answers are followed.
	dialInterval  = time.Second
	renewInterval = 200 * time.Millisecond
	// staggerTime is the least time between the opening of two second connections that are
	// kept at the same time. It is longer than a finding takes.
	staggerTime = 500 * time.Millisecond
	// keepTime is how long a second connection is kept after the last answer that may need
	// it.
	keepTime = 10 * time.Second
)

// process identifies a process of a target.
type process struct {
	id         deployment.TargetID
	generation int64
	address    netip.AddrPort
}

// Monitor keeps further connections, the second connections, to each process that sends
// answers without a length or chunks, during these and for keepTime after. One counts for an
// answer only if the answer's connection was open settleTime after it was opened: then both
// were opened to the same process. When an answer has ended, the finding on its process rests
// on what is seen after the end: a second connection is still open, and a new connection is
// accepted. A second connection that ends while the answer or a younger one goes on shows
// nothing but that the target closes idle connections, and when: from then on one is kept,
// whose successor is opened before that. Until it is known, two are kept that were opened at
// different times, as the target does not close both at once. Memory and connections are
// bounded by the processes that sent such answers within keepTime. A Monitor is safe for
// concurrent use. Set the exported fields before the first use.
type Monitor struct {
	// Open opens a connection to an address.
	Open func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Probe opens a connection to an address and keeps it for a later request.
	Probe func(ctx context.Context, address netip.AddrPort) error
	// OnFinding is called with each finding; may be nil.
	OnFinding func(Finding)
	Log       *zap.Logger

	mu        sync.Mutex
	processes map[process]*watched
}

// watched is a process to which a second connection is kept.
type watched struct {
	process
	answers map[*Answer]bool
	// links are the second connections that have not ended and have no successor, the latest
	// one last.
	links []*link
	// lost is the latest second connection that has ended without a successor; nil if there
	// is none.
	lost *link
	// dialing is set from the wish for a second connection to the end of the connection
	// attempt, which dialTimer starts.
	dialing   bool
	dialTimer *time.Timer
	dialedAt  time.Time
	// dueAt is when the connection attempt was due that led, or is to lead, from no second
	// connection to one; zero if there is none.
	dueAt time.Time
	// opened is set if the latest connection attempt has led to a second connection.
	opened bool
	// idleTime is the shortest time after which the target has closed a second connection
	// while an answer went on; zero if it has closed none.
	idleTime time.Duration
	// wantedUntil is when the second connection is closed, if no answer is followed then.
	wantedUntil time.Time
	// suspectedUntil is keepTime after the latest answer that ended in doubt.
	suspectedUntil time.Time
	// probe is the latest one; nil if there was none.
	probe *probe
}

// Follow follows an answer without a length or chunks, whose head has just come and whose
// request was sent at a given time. ended reports whether the end of its connection has
// arrived, read or not. The answer is no longer followed once ctx ends.
func (m *Monitor) Follow(ctx context.Context, target deployment.Target, sentAt time.Time, ended func() bool) *Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.want(target)
	a := &Answer{monitor: m, watched: w, sentAt: sentAt, headAt: time.Now(), ended: ended}
	w.answers[a] = true
	for _, l := range w.links {
		a.accept(l)
	}
	a.acceptLost()
	if w.lacksLinks() || w.renewalDue() {
		m.startDial(w)
	}
	context.AfterFunc(ctx, a.leave)
	return a
}

// want returns the process of a target, to which a second connection is kept for keepTime.
// The caller holds the lock.
func (m *Monitor) want(target deployment.Target) *watched {
	p := process{id: target.ID, generation: target.Generation, address: target.Address}
	w, ok := m.processes[p]
	if !ok {
		w = &watched{process: p, answers: map[*Answer]bool{}}
		if m.processes == nil {
			m.processes = map[process]*watched{}
		}
		m.processes[p] = w
		time.AfterFunc(keepTime, func() { m.forget(w) })
	}
	w.wantedUntil = time.Now().Add(keepTime)
	return w
}

// forget closes the second connection to a process and forgets it, or looks again later if it
// is still wanted.
func (m *Monitor) forget(w *watched) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if remaining := time.Until(w.wantedUntil); remaining > 0 || len(w.answers) > 0 || w.dialing {
		time.AfterFunc(max(remaining, dialInterval), func() { m.forget(w) })
		return
	}
	delete(m.processes, w.process)
	for _, l := range w.links {
		// The connection is of no use any more.
		_ = l.Close()
	}
}

// startDial opens a second connection after the least time since the one before. The caller
// holds the lock.
func (m *Monitor) startDial(w *watched) {
	if w.dialing && !w.dialTimer.Stop() {
		return
	}
	delay := max(time.Until(w.dialedAt.Add(w.nextDialAfter())), 0)
	if due := time.Now().Add(delay); len(w.links) == 0 && (w.dueAt.IsZero() || due.Before(w.dueAt)) {
		w.dueAt = due
	}
	w.dialing = true
	w.dialTimer = time.AfterFunc(delay, func() { m.dial(w) })
}

// nextDialAfter returns the least time between the latest connection attempt and the next.
// The caller holds the lock.
func (w *watched) nextDialAfter() time.Duration {
	switch {
	case !w.opened || !w.awaitsEnd():
		return dialInterval
	case w.idleTime == 0 && len(w.links) > 0:
		return staggerTime
	}
	return renewInterval
}

// dial opens a second connection, which takes the place of an earlier one if there are
// enough. If that fails, another one is opened for the answers that have not ended.
func (m *Monitor) dial(w *watched) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := m.Open(ctx, w.address)
	m.mu.Lock()
	defer m.mu.Unlock()
	w.dialing, w.dialedAt, w.opened = false, time.Now(), err == nil
	if err != nil {
		m.Log.Debug("no second connection of a target", zap.String("target", string(w.id)), zap.Error(err))
		if w.awaitsEnd() {
			m.startDial(w)
		}
		return
	}
	l := &link{Conn: raw, openedAt: w.dialedAt, closed: make(chan struct{})}
	w.add(l)
	time.AfterFunc(settleTime, func() { m.offer(w, l) })
	m.planRenewal(w)
	if w.lacksLinks() && w.awaitsEnd() {
		m.startDial(w)
	}
	go m.await(w, l)
}

// awaitsEnd reports whether an answer is followed that has not ended. The caller holds the
// lock.
func (w *watched) awaitsEnd() bool {
	for a := range w.answers {
		if !a.ended() {
			return true
		}
	}
	return false
}

// cold reports whether no second connection can be expected yet: an attempt to open one was
// due less than burstTime ago, and none has failed since the last that succeeded. The caller
// holds the lock.
func (w *watched) cold() bool {
	return time.Since(w.dueAt) < burstTime && (w.opened || w.dialedAt.IsZero())
}

// offer offers a second connection to the answers that are followed.
func (m *Monitor) offer(w *watched, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(w.links, l) {
		return
	}
	for a := range w.answers {
		a.accept(l)
	}
}

// await waits until a second connection is closed, and has another one opened while it is
// wanted.
func (m *Monitor) await(w *watched, l *link) {
	l.await()
	time.AfterFunc(settleTime, func() { m.settle(w, l) })
	m.mu.Lock()
	defer m.mu.Unlock()
	w.remove(l)
	if !l.retired {
		w.lost = l
	}
	if w.lacksLinks() && (time.Now().Before(w.wantedUntil) || w.awaitsEnd()) {
		m.startDial(w)
	}
}

// probeAfter opens a connection to a process, after a given time, and returns the error of
// that. Callers at the same time share one.
func (m *Monitor) probeAfter(ctx context.Context, w *watched, earliest time.Time) error {
	for {
		m.mu.Lock()
		p := w.probe
		if p == nil || p.finished() && p.startedAt.Before(earliest) {
			p = &probe{startedAt: time.Now(), done: make(chan struct{})}
			w.probe = p
			go p.run(m.Probe, w.address)
		}
		m.mu.Unlock()
		select {
		case <-p.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !p.startedAt.Before(earliest) {
			return p.err
		}
	}
}
