package catalog

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/object"
	"heatherrelay/internal/wait"
)

// The pace of a follower.
const (
	// firstRetry and lastRetry bound the pause after a call that failed.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// idlePause is the time between looks at whether others keep the copy new.
	idlePause = 150 * time.Millisecond
	// probeWait is the wait of a watch while the store does not answer.
	probeWait = 50 * time.Millisecond
)

// Follower keeps a replica of one kind near the store. Set the exported fields
// before Run.
type Follower struct {
	Store object.Store
	Kind  object.Kind
	// Wait is how long a watch may be held back, and so the longest time between
	// two confirmations.
	Wait time.Duration
	// Idle says that others keep the copy near the store, as its age shows, and
	// that this instance need not; may be nil.
	Idle func(age time.Duration) bool
	// Pause is the time between an answer with events and the next watch, so that
	// events come in batches.
	Pause time.Duration
	// Clean is applied to each object as it comes from the store; may be nil.
	Clean func(object.Object) object.Object
	// Changed is called after each change, in their order.
	Changed func([]object.Object)
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger

	// telling is held while the copy changes and Changed is told of it, so that
	// changes are told in their order.
	telling sync.Mutex
	mu      sync.Mutex
	replica Replica
	// lost is when the store stopped answering this instance; regained when it
	// answered again, this instance or the others.
	lost     time.Time
	regained time.Time
	failed   bool
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	listed := false
	for ctx.Err() == nil {
		if f.idle() {
			if wait.Sleep(ctx, idlePause) != nil {
				return
			}
			continue
		}
		early, err := f.step(ctx, &listed)
		f.noteCall(err)
		pause := f.Pause
		switch {
		case err != nil:
			pause, retry = retry, min(2*retry, lastRetry)
		case !early:
			pause, retry = 0, firstRetry
		default:
			retry = firstRetry
		}
		if wait.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// idle says that others keep the copy near the store.
func (f *Follower) idle() bool {
	state := f.State()
	return f.Idle != nil && !state.ConfirmedAt.IsZero() && f.Idle(f.Now().Sub(state.ConfirmedAt))
}

// step lists once, then watches. A watch whose history is gone lists again. It
// reports whether the store answered since something was written, changed or not.
func (f *Follower) step(ctx context.Context, listed *bool) (bool, error) {
	sentAt := f.Now()
	if !*listed {
		page, err := f.Store.List(ctx, f.Kind, false)
		if err != nil {
			return false, err
		}
		*listed = true
		f.clean(page)
		f.update(func(r *Replica) bool { return r.List(page, sentAt) })
		return true, nil
	}
	from, longest := f.State().Position, f.Wait
	if f.lostStore() {
		// A call that waits longer would notice late that the store is back.
		longest = probeWait
	}
	page, err := f.Store.Watch(ctx, f.Kind, from, longest)
	if object.ErrCompacted.Has(err) {
		*listed = false
		f.Log.Info("watch history compacted, listing again", zap.String("kind", string(f.Kind)), zap.Uint64("revision", from))
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.clean(page)
	f.update(func(r *Replica) bool { return r.Watch(from, page, sentAt) })
	return len(page.Objects) > 0, nil
}

func (f *Follower) clean(page object.Page) {
	if f.Clean == nil {
		return
	}
	for i, o := range page.Objects {
		page.Objects[i] = f.Clean(o)
	}
}

// Merge takes a peer's copy.
func (f *Follower) Merge(peer State, complete bool, objects []object.Object) {
	f.update(func(r *Replica) bool { return r.Merge(peer, complete, objects) })
}

// State says how new the copy is.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.State
}

// Snapshot returns the copy.
func (f *Follower) Snapshot() (State, []object.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.State, f.replica.Objects()
}

// lostStore says that the last call failed.
func (f *Follower) lostStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// outageGap is the time between two confirmations, by anyone and beyond the wait
// of a watch, that shows that the store was away.
const outageGap = 1800 * time.Millisecond

// outage says that a time between two confirmations shows that the store was away.
func (f *Follower) outage(gap time.Duration) bool { return gap > f.Wait+outageGap }

// Regained returns when the store answered again after it had not; zero before.
// It is now while the store answers neither this instance nor the others.
func (f *Follower) Regained() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if confirmed := f.replica.ConfirmedAt; !confirmed.IsZero() && f.outage(now.Sub(confirmed)) {
		return now
	}
	return f.regained
}

// Repeat tells of the copy again.
func (f *Follower) Repeat() {
	f.telling.Lock()
	defer f.telling.Unlock()
	_, objects := f.Snapshot()
	f.Changed(objects)
}

func (f *Follower) update(change func(*Replica) bool) {
	f.telling.Lock()
	defer f.telling.Unlock()
	f.mu.Lock()
	before := f.replica.ConfirmedAt
	changed := change(&f.replica)
	if !before.IsZero() && f.outage(f.replica.ConfirmedAt.Sub(before)) {
		f.regained = f.Now()
	}
	var objects []object.Object
	var state State
	if changed {
		objects, state = f.replica.Objects(), f.replica.State
	}
	f.mu.Unlock()
	if changed {
		f.Log.Info("copy changed", zap.String("kind", string(f.Kind)), zap.Uint64("revision", state.Position),
			zap.Int("objects", len(objects)), zap.Duration("age", f.Now().Sub(state.ConfirmedAt)))
		f.Changed(objects)
	}
}

// noteCall logs when the store is lost and when it is regained.
func (f *Follower) noteCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	switch {
	case err != nil && !f.failed:
		f.failed, f.lost = true, now
		f.Log.Warn("store lost", zap.String("kind", string(f.Kind)), zap.Error(err))
	case err == nil && f.failed:
		f.failed, f.regained = false, now
		f.Log.Info("store regained", zap.String("kind", string(f.Kind)), zap.Duration("after", now.Sub(f.lost)))
	}
}
