package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/wait"
)

// The timing of a follower's calls to the store.
const (
	// initialBackoff and maxBackoff bound the pause after a call that failed.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// peerCheckInterval is the time between checks whether peers still keep the
	// replica current.
	peerCheckInterval = 150 * time.Millisecond
	// probeWatchWait is the wait of a watch after a call that failed.
	probeWatchWait = 50 * time.Millisecond
)

// Follower keeps a replica of one kind of objects up to date with the store. Set
// the exported fields before Run.
type Follower struct {
	Store platformstore.Store
	Kind  platformstore.Kind
	// MaxWatchWait is how long the store may hold a watch without changes, and so
	// the longest time between two confirmations.
	MaxWatchWait time.Duration
	// CoveredByPeers reports whether this instance need not read the store because
	// peers keep the replica current. Its argument is the time since the last
	// confirmation. Nil means that this instance always reads.
	CoveredByPeers func(age time.Duration) bool
	// FirstReplicaWait is how long after Run began an instance that need not read the
	// store waits for a peer's replica.
	FirstReplicaWait time.Duration
	// OutageGap is the time between two confirmations, by any instance, beyond which the store
	// must have been unavailable. Zero means the usual one for MaxWatchWait.
	OutageGap time.Duration
	// BatchDelay is the pause between a result with changes and the next watch, so
	// that changes arrive in batches.
	BatchDelay time.Duration
	// Check returns an error for an object read from the store that nobody can use, or nil.
	// Such an object counts as absent: it takes no memory here or at peers. May be nil.
	Check func(platformstore.Object) error
	// Sanitize is applied to each other object read from the store; may be nil.
	Sanitize func(platformstore.Object) platformstore.Object
	// OnChange is called with all objects after each change, in the order of the
	// changes and never concurrently.
	OnChange func([]platformstore.Object)
	Now      func() time.Time
	Log      *zap.Logger
	// Skipped counts the objects that Check refused, each time that they were read.
	Skipped atomic.Uint64

	// startedAt is when Run was called. Only Run uses it.
	startedAt time.Time
	// notifyMu is held from a change of the replica until OnChange returns, so that
	// changes are reported in their order.
	notifyMu sync.Mutex
	// mu guards the fields below.
	mu      sync.Mutex
	replica Replica
	// lostAt is when this instance's calls to the store began to fail.
	lostAt time.Time
	// regainedAt is when the last outage of the store ended, that is, when the store
	// answered this instance or a peer again.
	regainedAt     time.Time
	lastCallFailed bool
	lastRestore    Restore
	// confirmationTurn holds the time of the last read for a caller of Confirm while nobody
	// makes one.
	confirmationTurn chan time.Time
}

// Restore describes how a replica came from one generation of the store to a newer one.
type Restore struct {
	// At is when the replica got its first state of the newer generation; zero if the
	// store was not restored.
	At time.Time
	// ConfirmedBefore is when the replica was last confirmed in the older generation,
	// or in the one before it if that restore was less than rewriteGrace ago.
	ConfirmedBefore time.Time
}

// settled reports whether the operator had time to write again what the copy lacks.
func (r Restore) settled(now time.Time) bool { return !now.Before(r.At.Add(rewriteGrace)) }

// Run lists and watches the store until ctx ends, except while peers keep the
// replica current.
func (f *Follower) Run(ctx context.Context) {
	f.startedAt = f.Now()
	backoff := initialBackoff
	listed := false
	for ctx.Err() == nil {
		if f.coveredByPeers() {
			if wait.Sleep(ctx, peerCheckInterval) != nil {
				return
			}
			continue
		}
		sentAt := f.Now()
		result, err := f.step(ctx, &listed)
		f.recordCall(sentAt, err)
		pause := f.BatchDelay
		switch {
		case err != nil || result.behind:
			pause, backoff = backoff, min(2*backoff, maxBackoff)
		case !result.hasObjects:
			pause, backoff = 0, initialBackoff
		default:
			backoff = initialBackoff
		}
		if wait.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// coveredByPeers reports whether peers keep the replica current.
func (f *Follower) coveredByPeers() bool {
	if f.CoveredByPeers == nil {
		return false
	}
	confirmedAt := f.State().ConfirmedAt
	if confirmedAt.IsZero() {
		return f.Now().Sub(f.startedAt) < f.FirstReplicaWait && f.CoveredByPeers(0)
	}
	return f.CoveredByPeers(f.Now().Sub(confirmedAt))
}

// stepResult describes the result of a call to the store.
type stepResult struct {
	// hasObjects is set if the result has objects, even if the replica already held the
	// same ones.
	hasObjects bool
	// behind is set if a result is older than the replica, or a listing of an older
	// generation than another answer of the store.
	behind bool
}

// step sends one call to the store and applies its result: a list at first, after
// the history needed by a watch was compacted and when the store has been restored
// from a copy since the replica was read, else a watch.
func (f *Follower) step(ctx context.Context, listed *bool) (stepResult, error) {
	sentAt, from := f.Now(), f.State().Position()
	if !*listed || f.Store.Generation() > from.Generation {
		page, err := f.list(ctx, sentAt)
		if err != nil {
			return stepResult{}, err
		}
		*listed = true
		behind := page.Generation < f.Store.Generation() || page.Position().Compare(f.State().Position()) < 0
		return stepResult{hasObjects: true, behind: behind}, nil
	}
	maxWait := f.MaxWatchWait
	if f.storeUnavailable() {
		// A longer watch would delay noticing that the store is available again.
		maxWait = probeWatchWait
	}
	page, err := f.Store.Watch(ctx, f.Kind, from.Revision, maxWait)
	if platformstore.ErrCompacted.Has(err) {
		*listed = false
		f.Log.Info("watch history compacted, listing again", zap.String("kind", string(f.Kind)), zap.Uint64("revision", from.Revision))
		return stepResult{}, nil
	}
	if err != nil {
		return stepResult{}, err
	}
	hasObjects := len(page.Objects) > 0
	page.Objects = f.usable(page.Objects)
	f.update(sourceWatch, func(r *Replica) bool { return r.ApplyWatch(from, page, sentAt) })
	return stepResult{hasObjects: hasObjects, behind: page.Position().Compare(from) < 0}, nil
}

// list replaces the replica by a listing that is sent now.
func (f *Follower) list(ctx context.Context, sentAt time.Time) (platformstore.Page, error) {
	page, err := f.Store.List(ctx, f.Kind, false)
	if err != nil {
		return page, err
	}
	page.Objects = f.usable(page.Objects)
	f.update(sourceList, func(r *Replica) bool { return r.ApplyList(page, sentAt) })
	return page, nil
}

// usable checks and sanitizes objects, in place, and returns them. Those that nobody can
// use become deletions.
func (f *Follower) usable(objects []platformstore.Object) []platformstore.Object {
	var odd skippedObjects
	for i, o := range objects {
		if o.Deleted {
			continue
		}
		if err := f.check(o); err != nil {
			objects[i] = platformstore.Object{Name: o.Name, Revision: o.Revision, Generation: o.Generation, Deleted: true}
			odd.add(err)
			continue
		}
		if f.Sanitize != nil {
			objects[i] = f.Sanitize(o)
		}
	}
	f.Skipped.Add(uint64(odd.count))
	odd.log(f.Log, f.Kind)
	return objects
}

func (f *Follower) check(o platformstore.Object) error {
	if f.Check == nil {
		return nil
	}
	return f.Check(o)
}

// Merge applies a peer's replica; see Replica.Merge.
func (f *Follower) Merge(peer State, complete bool, objects []platformstore.Object) {
	f.update(sourcePeer, func(r *Replica) bool { return r.Merge(peer, complete, objects) })
}

// MergeChanges applies what changed of a peer's replica; see Replica.MergeChanges.
func (f *Follower) MergeChanges(peer State, after uint64, objects []platformstore.Object) {
	f.update(sourcePeerChanges, func(r *Replica) bool { return r.MergeChanges(peer, after, objects) })
}

// NeedsComplete reports whether only all objects of a peer can bring the replica up to
// date.
func (f *Follower) NeedsComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.NeedsComplete()
}

// ChangesAfter returns the replica's state and what changed after a position; see
// Replica.ChangesAfter.
func (f *Follower) ChangesAfter(position platformstore.Position) (State, []platformstore.Object, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	objects, ok := f.replica.ChangesAfter(position)
	return f.replica.State, objects, ok
}

// State returns how current the replica is.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.State
}

// appliedState is State after OnChange has returned for that state. OnChange must not call it.
func (f *Follower) appliedState() State {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	return f.State()
}

// Snapshot returns the replica's state and objects.
func (f *Follower) Snapshot() (State, []platformstore.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.State, f.replica.Objects()
}

// storeUnavailable reports whether this instance's last call to the store failed.
func (f *Follower) storeUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastCallFailed
}

const (
	// outageGap is how much longer than the wait of a watch the time between two
	// confirmations, by any instance, must be to show that the store was unavailable.
	outageGap = 1800 * time.Millisecond
	// minOutage is how long the calls of this instance must fail to show the same. The
	// store may cut a watch that waits, and answers the next call.
	minOutage = 400 * time.Millisecond
)

// isOutage reports whether a time between two confirmations is so long that the
// store must have been unavailable.
func (f *Follower) isOutage(gap time.Duration) bool {
	return gap > max(f.OutageGap, f.MaxWatchWait+outageGap)
}

// RegainedAt returns when the last outage of the store ended, or zero if there was
// none. During an outage, while the store answers neither this instance nor its
// peers, it returns the present time.
func (f *Follower) RegainedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if confirmed := f.replica.ConfirmedAt; !confirmed.IsZero() && f.isOutage(now.Sub(confirmed)) {
		return now
	}
	return f.regainedAt
}

// Renotify calls OnChange once more with the present objects.
func (f *Follower) Renotify() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	_, objects := f.Snapshot()
	f.OnChange(objects)
}

// LastRestore returns the last restore of the store that the replica went through.
func (f *Follower) LastRestore() Restore {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRestore
}

// source is where a change of a replica came from, in the log.
type source string

const (
	sourceList  source = "list"
	sourceWatch source = "watch"
	// sourcePeer stands for all objects of a peer, sourcePeerChanges for those that changed.
	sourcePeer        source = "peer"
	sourcePeerChanges source = "peer_changes"
)

// update applies a change to the replica and reports it to OnChange.
func (f *Follower) update(from source, change func(*Replica) bool) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.mu.Lock()
	before := f.replica.State
	changed := change(&f.replica)
	f.recordProgress(before)
	var objects []platformstore.Object
	var state State
	if changed {
		objects, state = f.replica.Objects(), f.replica.State
	}
	f.mu.Unlock()
	if changed {
		f.Log.Info("replica changed", zap.String("kind", string(f.Kind)), zap.String("source", string(from)), zap.Uint64("revision", state.Revision),
			zap.Uint64("generation", state.Generation), zap.Int("objects", len(objects)), zap.Duration("age", f.Now().Sub(state.ConfirmedAt)))
		f.OnChange(objects)
	}
}

// recordProgress records the end of an outage of the store and a restore from a copy,
// if the replica came through one since the given state. A long time between two
// confirmations counts as an outage, and so does a restore, since the entries of
// running targets may be missing after it. The caller holds mu.
func (f *Follower) recordProgress(before State) {
	if before.ConfirmedAt.IsZero() {
		return
	}
	restored := f.replica.Generation > before.Generation
	if restored {
		if f.lastRestore.settled(f.Now()) {
			f.lastRestore.ConfirmedBefore = before.ConfirmedAt
		}
		f.lastRestore.At = f.Now()
	}
	if restored || f.isOutage(f.replica.ConfirmedAt.Sub(before.ConfirmedAt)) {
		f.regainedAt = f.Now()
	}
}

// recordCall records whether a call to the store succeeded that was sent at a time, and logs
// when the store becomes unavailable and when it is available again. A call that the store
// left unanswered for longer than a watch counts as failed since it was sent.
func (f *Follower) recordCall(sentAt time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	switch {
	case err != nil && !f.lastCallFailed:
		f.lastCallFailed, f.lostAt = true, now
		if now.Sub(sentAt) > f.MaxWatchWait+minOutage {
			f.lostAt = sentAt
		}
		f.Log.Warn("store unavailable", zap.String("kind", string(f.Kind)), zap.Error(err))
	case err == nil && f.lastCallFailed:
		f.lastCallFailed = false
		outage := now.Sub(f.lostAt)
		if outage >= minOutage {
			f.regainedAt = now
		}
		f.Log.Info("store available again", zap.String("kind", string(f.Kind)), zap.Duration("after", outage))
	}
}
