package liveness

import (
	"slices"
	"time"
)

// retireTime is how long a second connection is kept after its successor was opened, for the
// answers that have ended by then.
const retireTime = time.Second

// wantedLinks returns the number of second connections to a process. The caller holds the
// lock.
func (w *watched) wantedLinks() int {
	if w.idleTime > 0 {
		return 1
	}
	return 2
}

// lacksLinks reports whether a second connection is to be opened. The caller holds the lock.
func (w *watched) lacksLinks() bool { return len(w.links) < w.wantedLinks() }

// latest returns the latest second connection; nil if there is none. The caller holds the
// lock.
func (w *watched) latest() *link {
	if len(w.links) == 0 {
		return nil
	}
	return w.links[len(w.links)-1]
}

// add adds a second connection, and retires those of which there are too many then. The
// caller holds the lock.
func (w *watched) add(l *link) {
	w.links = append(w.links, l)
	surplus := max(len(w.links)-w.wantedLinks(), 0)
	for _, earlier := range w.links[:surplus] {
		earlier.retire()
	}
	w.links = slices.Clone(w.links[surplus:])
}

// remove removes a second connection that has ended. The caller holds the lock.
func (w *watched) remove(l *link) {
	w.links = slices.DeleteFunc(w.links, func(other *link) bool { return other == l })
	if len(w.links) == 0 {
		w.dueAt = time.Time{}
	}
}

// renewalDue reports whether the target may soon close the latest second connection. The
// caller holds the lock.
func (w *watched) renewalDue() bool {
	l := w.latest()
	return l != nil && w.idleTime > 0 && time.Since(l.openedAt) > w.idleTime/2
}

// planRenewal has the latest second connection renewed in time, if it is known when that is.
// The caller holds the lock.
func (m *Monitor) planRenewal(w *watched) {
	if l := w.latest(); l != nil && w.idleTime > 0 {
		time.AfterFunc(time.Until(l.openedAt.Add(w.idleTime/2)), func() { m.renew(w, l) })
	}
}

// renew opens the successor of a second connection, if answers are followed.
func (m *Monitor) renew(w *watched, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.latest() == l && w.awaitsEnd() {
		m.startDial(w)
	}
}

// retire has a second connection closed that has a successor. The caller holds the lock.
func (l *link) retire() {
	l.retired = true
	// The connection is of no use any more.
	time.AfterFunc(retireTime, func() { _ = l.Close() })
}

// idleEnd reports whether a second connection that has ended was as old as those that the
// target closes since they are idle, or was closed here. The caller holds the lock.
func (w *watched) idleEnd(l *link) bool {
	select {
	case <-l.closed:
		return l.retired || w.idleTime > 0 && l.age >= w.idleTime-settleTime
	default:
		return false
	}
}

// settle is called settleTime after a second connection has ended. If the process runs, the
// target has closed the connection since it was idle.
func (m *Monitor) settle(w *watched, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := w.hasYounger(l)
	for a := range w.answers {
		if a.ended() {
			continue
		}
		// The answer goes on, so the connection does not count for it.
		a.drop(l)
		runs = runs || a.headAt.Before(l.endedAt())
	}
	if runs && !l.retired && (w.idleTime == 0 || l.age < w.idleTime) {
		w.idleTime = l.age
		m.planRenewal(w)
	}
}

// hasYounger reports whether a second connection that has ended was open settleTime after
// another one was opened, which is open. Then both were opened to one process. The caller
// holds the lock.
func (w *watched) hasYounger(l *link) bool {
	return slices.ContainsFunc(w.links, func(other *link) bool {
		return other.openedAt.After(l.openedAt) && other.openedAt.Add(settleTime).Before(l.endedAt()) && other.open()
	})
}
