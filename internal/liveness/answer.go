package liveness

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"heatherrelay/internal/wait"
)

// retransmitTime is longer than a connection end takes to arrive whose first packet is lost.
const retransmitTime = 250 * time.Millisecond

// burstTime is the longest time, from the head of an answer to its end and since a second
// connection was to be opened, in which there may be none yet.
const burstTime = 200 * time.Millisecond

// ErrUnknown is the class of errors of an answer whose process is not known to run after its
// end. They wrap io.ErrUnexpectedEOF.
var ErrUnknown = errs.Class("the target is not known to run after the end of its answer")

// ErrUndecided is the class of errors of an answer that can be had again, and of whose
// process nothing is known but that its address accepts connections and that the target has
// lately ended other answers early. They say nothing against the target, and the answer is
// better than none.
var ErrUndecided = errs.Class("the answer ended before its target could be watched")

// Finding says what is known of a process after the end of an answer.
type Finding string

const (
	// Runs means that a connection that was open to the process before the end is still
	// open, and that its address accepts connections.
	Runs Finding = "runs"
	// Accepts means that the answer ended so soon that no second connection can have been
	// open, and that the address accepts connections, perhaps those of another process.
	Accepts Finding = "accepts"
	// Unknown means that nothing shows that the process runs.
	Unknown Finding = "unknown"
)

// Repeat says when an answer with the finding Accepts is to be had again.
type Repeat int

const (
	// Never stands for answers that cannot be had again.
	Never Repeat = iota
	// IfSuspected stands for answers that are had again if another one of the process has
	// ended in doubt lately.
	IfSuspected
	// Always stands for streams from their first event on, few of which end so soon.
	Always
)

// Answer is an answer that ends with its connection. Its methods may be called by any
// goroutine.
type Answer struct {
	monitor *Monitor
	watched *watched
	// sentAt is when the request was sent, headAt when the head of the answer had come. The
	// answer's connection was open at both times.
	sentAt, headAt time.Time
	ended          func() bool
	// links are the second connections that count for the answer, and did not end while it
	// went on. The monitor's lock guards them.
	links []*link
}

// accept has a second connection count for the answer, if it was opened to the same process.
// The caller holds the monitor's lock.
func (a *Answer) accept(l *link) {
	if slices.Contains(a.links, l) {
		return
	}
	settled := l.openedAt.Add(settleTime)
	if settled.Before(a.sentAt) || settled.Before(a.headAt) || settled.Before(time.Now()) && !a.ended() {
		a.links = append(a.links, l)
	}
}

// acceptLost has a second connection count for the answer that has ended since the request
// was sent, perhaps with the answer, whose head may be read late. Later ones may be to another
// process then. The caller holds the monitor's lock.
func (a *Answer) acceptLost() {
	l := a.watched.lost
	if l == nil || l.endedAt().Before(a.sentAt) || a.watched.idleEnd(l) {
		return
	}
	if a.ended() || time.Now().Before(l.endedAt().Add(settleTime)) {
		a.links = slices.DeleteFunc(a.links, func(other *link) bool { return other.openedAt.After(l.endedAt()) })
		a.links = append(a.links, l)
	}
}

// drop takes a second connection from those of the answer. The caller holds the monitor's
// lock.
func (a *Answer) drop(l *link) {
	a.links = slices.DeleteFunc(a.links, func(other *link) bool { return other == l })
}

// leave ends the following of the answer.
func (a *Answer) leave() {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	delete(a.watched.answers, a)
}

// Confirm is called when the answer's connection has ended. It returns nil if the process is
// known to run after that, or else an error of class ErrUnknown or of ctx. If the finding is
// Accepts, it returns nil, or an error of class ErrUndecided if the answer is to be had again.
func (a *Answer) Confirm(ctx context.Context, repeat Repeat) error {
	defer a.leave()
	burst := a.burst()
	if err := wait.Sleep(ctx, settleTime); err != nil {
		return err
	}
	openAfter, err := a.openAfter(ctx)
	if err != nil {
		return err
	}
	probeErr := a.monitor.probeAfter(ctx, a.watched, time.Now())
	if err := ctx.Err(); err != nil {
		return err
	}
	finding, reason := a.assess(probeErr, burst, openAfter)
	m := a.monitor
	if m.OnFinding != nil {
		m.OnFinding(finding)
	}
	if finding == Runs || finding == Accepts && !a.toRepeat(repeat) {
		return nil
	}
	m.Log.Info("end of an answer in doubt", zap.String("target", string(a.watched.id)), zap.Int64("generation", a.watched.generation),
		zap.Duration("after", time.Since(a.sentAt)), zap.String("finding", string(finding)), zap.String("reason", reason), zap.NamedError("probe", probeErr))
	switch {
	case finding == Accepts:
		return ErrUndecided.New("%s", reason)
	case probeErr != nil:
		return ErrUnknown.New("%s: %v: %w", reason, probeErr, io.ErrUnexpectedEOF)
	}
	return ErrUnknown.New("%s: %w", reason, io.ErrUnexpectedEOF)
}

// burst reports whether the answer came so soon that it may have no second connection.
func (a *Answer) burst() bool {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	return time.Since(a.headAt) < burstTime && a.watched.cold()
}

// toRepeat reports whether an answer with the finding Accepts is to be had again.
func (a *Answer) toRepeat(repeat Repeat) bool {
	return repeat == Always || repeat == IfSuspected && a.suspected()
}

// suspected reports whether another answer of the process has ended in doubt lately.
func (a *Answer) suspected() bool {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	return time.Now().Before(a.watched.suspectedUntil)
}

// openAfter returns the second connections of the answer that are open after its end. If
// some are and some are not, the others may end late: they are looked at once more.
func (a *Answer) openAfter(ctx context.Context) ([]*link, error) {
	open, allOpen := a.openLinks()
	if len(open) == 0 || allOpen {
		return open, nil
	}
	if err := wait.Sleep(ctx, retransmitTime); err != nil {
		return nil, err
	}
	open, _ = a.openLinks()
	return open, nil
}

// openLinks returns the second connections of the answer that are open, and whether all of
// them are that were not closed here.
func (a *Answer) openLinks() (open []*link, all bool) {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	all = true
	for _, l := range a.links {
		if l.open() {
			open = append(open, l)
		} else if !l.retired {
			all = false
		}
	}
	return open, all
}

// assess returns the finding on the process, and why it is not Runs. probeErr is the error of
// a connection attempt after the end, burst is set if the answer came within burstTime,
// openAfter are its second connections that were open settleTime after the end.
func (a *Answer) assess(probeErr error, burst bool, openAfter []*link) (Finding, string) {
	m := a.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	var reason string
	switch {
	case probeErr != nil:
		reason = "it accepts no connection"
	case len(a.links) == 0 && burst:
		return Accepts, "no other connection was open yet"
	case len(a.links) == 0:
		reason = "no other connection was open"
	case !slices.ContainsFunc(openAfter, func(l *link) bool { return l.open() || a.watched.idleEnd(l) }):
		reason = fmt.Sprintf("its other connections, %d, the last opened %s after the head, have ended (open at first: %d, idle limit %s)",
			len(a.links), a.links[len(a.links)-1].openedAt.Sub(a.headAt), len(openAfter), a.watched.idleTime)
	default:
		return Runs, ""
	}
	a.watched.suspectedUntil = time.Now().Add(keepTime)
	return Unknown, reason
}
