package crash

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/wait"
)

const (
	// probeDelay is the time from the end of a connection to the probe: a process that
	// ends closes its connections and its listener one after the other.
	probeDelay = 30 * time.Millisecond
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the least time between two probes of a target.
	probeInterval = time.Second
	// closeTime is how long a process that ends may take to close its connections. A request
	// that was sent later met the process after it.
	closeTime = 200 * time.Millisecond
	// endingRetention is how long the end of a target's connections waits for evidence of
	// a crash, and how long requests that fail after a crash count to it.
	endingRetention = 5 * time.Second
)

// Status says how a process of a target stands, as far as is known.
type Status int

// The statuses of a process.
const (
	// Running processes are listed and take requests.
	Running Status = iota
	// Leaving processes are about to end as planned, or have ended so.
	Leaving
	// Replaced processes ended unplanned: the target has started again.
	Replaced
)

// Detector tells the crash of a target from other reasons for which its connections
// end: a target that was reset, is silent, cut off or leaving has not crashed. It
// observes the requests whose connections ended before the answer was complete, and
// confirms a crash when the target's address then refuses connections or the target
// has started again. It is safe for concurrent use. Set the exported fields before the
// first use.
type Detector struct {
	Ledger *Ledger
	// Probe opens a connection to an address.
	Probe func(ctx context.Context, address netip.AddrPort) error
	// Status returns the status of a target's process.
	Status func(deployment.Target) Status
	Now    func() time.Time

	mu      sync.Mutex
	endings map[Process]*ending
	// successors holds, for processes that crashed, the ends of connections at the process
	// that has since started at the same address, and that is not listed yet.
	successors map[Process]*ending
}

// ending is the end of a process's connections, with what the requests on them held.
type ending struct {
	target deployment.Target
	at     time.Time
	// suspects maps the names of the suspects to their depths.
	suspects map[string]int
	// crashed is set once a crash is confirmed, at crashedAt.
	crashed   bool
	crashedAt time.Time
	probedAt  time.Time
}

func (e *ending) suspect(names map[string]int) {
	for name, depth := range names {
		e.suspects[name] = max(e.suspects[name], depth)
	}
}

// EndedByTarget reports whether an error of a request means that the target's side
// ended the connection.
func EndedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RecordEnd records that the target's side ended the connection of a request before the
// answer was complete. The suspects are the digest of the request and the parts of its
// prompt, if these may have caused it. It does not block.
func (d *Detector) RecordEnd(target deployment.Target, sentAt time.Time, suspects []string) {
	status := d.Status(target)
	if status == Leaving {
		return
	}
	d.mu.Lock()
	e := d.ending(target)
	crashed, crashedAt := e.crashed, e.crashedAt
	learnedAt, known := d.Ledger.LearnedAt(processOf(target))
	if !crashed {
		crashedAt = learnedAt
	}
	if (crashed || known) && sentAt.Sub(crashedAt) > closeTime {
		d.recordSuccessor(target, suspects)
		d.mu.Unlock()
		return
	}
	e.suspect(depths(suspects))
	if !crashed && !known && status == Running {
		d.startProbe(e)
	}
	d.mu.Unlock()
	switch {
	case !crashed && known:
		d.confirm(e)
	case crashed:
		d.Ledger.RecordCrash(processOf(target), depths(suspects))
	case status == Replaced:
		d.confirm(e)
	}
}

// recordSuccessor records the end of a connection of a request that was sent after a process
// had crashed and closed all its connections: another one runs at the address, whose
// generation is known once it is listed. The caller holds the lock.
func (d *Detector) recordSuccessor(target deployment.Target, suspects []string) {
	p := processOf(target)
	e, ok := d.successors[p]
	if !ok {
		e = &ending{target: target, at: d.Now(), suspects: map[string]int{}}
		if d.successors == nil {
			d.successors = map[Process]*ending{}
		}
		d.successors[p] = e
	}
	e.suspect(depths(suspects))
	if !e.crashed {
		d.startProbe(e)
	}
}

func processOf(t deployment.Target) Process { return Process{Target: t.ID, Generation: t.Generation} }

// startProbe starts a probe of a process, unless one was started within probeInterval.
// The caller holds the lock.
func (d *Detector) startProbe(e *ending) {
	if now := d.Now(); now.Sub(e.probedAt) >= probeInterval {
		e.probedAt = now
		go d.probe(e, e.target.Address)
	}
}

// RecordRefused records that the target's address refused a connection. Together with
// connections that ended shortly before, that is a crash.
func (d *Detector) RecordRefused(target deployment.Target) {
	d.mu.Lock()
	e, ok := d.endings[processOf(target)]
	ok = ok && d.Now().Sub(e.at) <= endingRetention
	d.mu.Unlock()
	if ok {
		d.confirm(e)
	}
}

// RecordReport records that an instance has reported the crash of a process, which
// confirms it for the connections that ended here.
func (d *Detector) RecordReport(p Process) {
	d.mu.Lock()
	e, ok := d.endings[p]
	ok = ok && !e.crashed
	d.mu.Unlock()
	if ok {
		d.confirm(e)
	}
}

// RecordTargets confirms the crashes of the targets that have started again.
func (d *Detector) RecordTargets(listed map[deployment.TargetID]deployment.Target) {
	var replaced, crashed []*ending
	d.mu.Lock()
	for p, e := range d.endings {
		if !e.crashed && listed[p.Target].Generation > p.Generation {
			replaced = append(replaced, e)
		}
	}
	for p, e := range d.successors {
		if target := listed[p.Target]; target.Generation > p.Generation {
			delete(d.successors, p)
			crashed = append(crashed, d.identify(e, target)...)
		}
	}
	d.mu.Unlock()
	for _, e := range replaced {
		d.confirm(e)
	}
	for _, e := range crashed {
		if d.Status(d.targetOf(e)) != Leaving {
			d.record(e)
		}
	}
}

// identify makes the ending of a successor that of the target that is listed now. It returns
// the ending if its crash is confirmed. The caller holds the lock.
func (d *Detector) identify(e *ending, target deployment.Target) []*ending {
	e.target = target
	if known, ok := d.endings[processOf(target)]; ok {
		known.suspect(e.suspects)
		known.crashed, known.crashedAt = known.crashed || e.crashed, later(known.crashedAt, e.crashedAt)
		e = known
	}
	d.endings[processOf(target)] = e
	if !e.crashed {
		return nil
	}
	return []*ending{e}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ending returns the ending of a target's process, and drops the others that are older
// than endingRetention. The caller holds the lock.
func (d *Detector) ending(target deployment.Target) *ending {
	now := d.Now()
	for p, e := range d.endings {
		if now.Sub(e.at) > endingRetention {
			delete(d.endings, p)
		}
	}
	for p, e := range d.successors {
		if now.Sub(e.at) > endingRetention {
			delete(d.successors, p)
		}
	}
	p := processOf(target)
	e, ok := d.endings[p]
	if !ok {
		e = &ending{target: target, at: now, suspects: map[string]int{}}
		if d.endings == nil {
			d.endings = map[Process]*ending{}
		}
		d.endings[p] = e
	}
	return e
}

// probe connects to the target of an ending and confirms the crash if the connection is
// refused. Any other failure shows nothing.
func (d *Detector) probe(e *ending, address netip.AddrPort) {
	// The sleep cannot end early.
	_ = wait.Sleep(context.Background(), probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := d.Probe(ctx, address); errors.Is(err, syscall.ECONNREFUSED) {
		d.confirm(e)
	}
}

// confirm records a crash in the ledger, unless the target is leaving or the crash is
// recorded already. That of a successor is recorded once its generation is known.
func (d *Detector) confirm(e *ending) {
	if d.Status(d.targetOf(e)) == Leaving {
		return
	}
	d.mu.Lock()
	already := e.crashed
	if !already {
		e.crashed, e.crashedAt = true, d.Now()
	}
	unlisted := d.successors[processOf(e.target)] == e
	d.mu.Unlock()
	if !already && !unlisted {
		d.record(e)
	}
}

// targetOf returns the target of an ending.
func (d *Detector) targetOf(e *ending) deployment.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return e.target
}

// record records a confirmed crash in the ledger.
func (d *Detector) record(e *ending) {
	d.mu.Lock()
	process, suspects := processOf(e.target), maps.Clone(e.suspects)
	d.mu.Unlock()
	d.Ledger.RecordCrash(process, suspects)
}
