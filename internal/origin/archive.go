package origin

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/wait"
)

const (
	// flushInterval is the least time between two writes of a shard. An instance that is
	// killed takes along what it was given since the last one.
	flushInterval = 200 * time.Millisecond
	// flushRetryDelay is the time from a write that failed to the next one.
	flushRetryDelay = 400 * time.Millisecond
	// flushAttempts is how often a write is made when another instance wrote the
	// segment meanwhile.
	flushAttempts = 4
	// unavailableAfter is how long writes fail before another instance is to make them.
	unavailableAfter = time.Second
	// maxPendingRecords bounds the records that wait for the store. Further ones are
	// dropped.
	maxPendingRecords = 50_000
)

// Archive keeps the records of streams in the store, where they outlast all instances.
// One instance at a time writes each shard, as far as the instances agree on which one;
// if two do, each adds what the other wrote. Records that the store or a writer loses
// are missing, never wrong. Set the exported fields before the first use. It is safe
// for concurrent use.
type Archive struct {
	Store platformstore.Store
	// Kind is the kind of the objects that hold the records.
	Kind platformstore.Kind
	// WallClock returns the time that instances share; Now is monotonic.
	WallClock func() time.Time
	Now       func() time.Time
	Log       *zap.Logger

	mu sync.Mutex
	// pending holds the records that are not written yet, by shard.
	pending      map[int]map[uint64]binding
	pendingCount int
	// added wakes Run.
	added chan struct{}
	// failingSince is when the writes began to fail; zero while they do not.
	failingSince time.Time

	// written holds the segments that this instance wrote, by the name of their objects,
	// generation is that of the store when they were last written. Only Step uses them.
	written    map[string]*writtenSegment
	generation uint64

	reader reader
}

// writtenSegment is a segment with the position of its object in the store.
type writtenSegment struct {
	segment
	object platformstore.Object
	// usedAt is when a record was added last, by this instance or to the store by
	// another one, as far as is known.
	usedAt time.Time
	// current is set if object is what the store holds, as far as is known.
	current bool
	// dirty is set if the store may lack a record.
	dirty bool
}

// Add has Run write records to a shard. It does not block.
func (a *Archive) Add(shard int, records ...Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[int]map[uint64]binding{}
	}
	if a.pending[shard] == nil {
		a.pending[shard] = map[uint64]binding{}
	}
	dropped := 0
	for _, r := range records {
		if a.pendingCount >= maxPendingRecords {
			dropped++
			continue
		}
		before := len(a.pending[shard])
		a.pending[shard][hashOf(r.RequestID)] = binding{service: r.Service, version: r.Version}
		a.pendingCount += len(a.pending[shard]) - before
	}
	if dropped > 0 {
		a.Log.Warn("origins of streams not stored, too many wait", zap.Int("records", dropped))
	}
	select {
	case a.wake() <- struct{}{}:
	default:
	}
}

// wake returns the channel that wakes Run. The caller holds the lock.
func (a *Archive) wake() chan struct{} {
	if a.added == nil {
		a.added = make(chan struct{}, 1)
	}
	return a.added
}

// Run writes what Add got until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	a.mu.Lock()
	added := a.wake()
	a.mu.Unlock()
	check := time.NewTicker(time.Second)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-added:
		case <-check.C:
		}
		pause := flushInterval
		if !a.Step(ctx) {
			pause = flushRetryDelay
		}
		if wait.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// Step does what Run does at one time: it writes what Add got, and again what a store
// lost that was restored from a copy. It reports whether it could write all. It is
// exported for simulations and must not run concurrently.
func (a *Archive) Step(ctx context.Context) bool {
	a.reader.expire(a.Now())
	if g := a.Store.Generation(); g > a.generation {
		a.generation = g
		a.distrust()
	}
	a.takePending()
	a.forgetOld()
	written := a.flush(ctx)
	a.recordResult(written)
	return written
}

func (a *Archive) recordResult(written bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case written:
		a.failingSince = time.Time{}
	case a.failingSince.IsZero():
		a.failingSince = a.Now()
	}
}

// Available reports whether this instance can write to the store, as far as it has
// tried.
func (a *Archive) Available() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failingSince.IsZero() || a.Now().Sub(a.failingSince) < unavailableAfter
}

// distrust has all segments read and written again.
func (a *Archive) distrust() {
	for _, w := range a.written {
		w.current, w.dirty = false, true
	}
}

// forgetOld drops the segments that were used so long ago that all their records are of
// streams that have ended. It keeps them for two turns, for the next turn to replace what
// it knows to be old.
func (a *Archive) forgetOld() {
	now := a.Now()
	maps.DeleteFunc(a.written, func(_ string, w *writtenSegment) bool {
		return now.Sub(w.usedAt) > 2*segmentCount*segmentSpan
	})
	for _, w := range a.written {
		w.dirty = w.dirty && now.Sub(w.usedAt) <= Retention
	}
}

// takePending moves the pending records to the present segments of their shards.
func (a *Archive) takePending() {
	a.mu.Lock()
	pending := a.pending
	a.pending, a.pendingCount = nil, 0
	a.mu.Unlock()
	now := a.WallClock()
	for shard, records := range pending {
		w := a.present(shard, now)
		dropped := 0
		for hash, b := range records {
			if !w.put(hash, b) {
				dropped++
			}
		}
		w.dirty = true
		if dropped > 0 {
			a.Log.Warn("origins of streams not stored, the segment is full", zap.Int("records", dropped))
		}
	}
}

// present returns the segment to which a shard's records go now. What it holds of an
// earlier turn stays unless it is old by the monotonic clock: wall clocks jump.
func (a *Archive) present(shard int, wallClock time.Time) *writtenSegment {
	now := a.Now()
	name := fmt.Sprintf("%d-%d", shard, wallClock.UnixNano()/int64(segmentSpan)%segmentCount)
	w, ok := a.written[name]
	if !ok {
		if a.written == nil {
			a.written = map[string]*writtenSegment{}
		}
		w = &writtenSegment{}
		a.written[name] = w
	}
	if now.Sub(w.usedAt) > Retention {
		w.segment = segment{}
	}
	w.usedAt = now
	return w
}

// flush writes the segments of which the store may lack records. It reports whether it
// could write all.
func (a *Archive) flush(ctx context.Context) bool {
	ok := true
	for name, w := range a.written {
		if !w.dirty {
			continue
		}
		if err := a.write(ctx, name, w); err != nil {
			ok = false
			a.Log.Debug("origins of streams not stored", zap.String("name", name), zap.Error(err))
		}
	}
	return ok
}

// write writes a segment, with what other instances wrote to it.
func (a *Archive) write(ctx context.Context, name string, w *writtenSegment) error {
	var err error
	for range flushAttempts {
		if !w.current {
			if lacking, err := a.reread(ctx, name, w); err != nil || !lacking {
				return err
			}
		}
		if w.object, err = a.put(ctx, name, w); err == nil {
			w.current, w.dirty = true, false
			return nil
		}
		// Another instance wrote the segment, or it is unknown whether the write counts.
		w.current = false
		if !platformstore.ErrConflict.Has(err) {
			return err
		}
	}
	return err
}

// reread merges what the store holds of a segment. It reports whether the store lacks a
// record.
func (a *Archive) reread(ctx context.Context, name string, w *writtenSegment) (lacking bool, err error) {
	object, err := a.Store.Get(ctx, a.Kind, name)
	if platformstore.ErrNotFound.Has(err) {
		w.object, w.current = platformstore.Object{}, true
		return true, nil
	}
	if err != nil {
		return false, err
	}
	stored, err := decodeSegment(object.Value)
	if err != nil {
		a.Log.Warn("origins of streams cannot be decoded, replaced", zap.String("name", name), zap.Error(err))
	}
	lacking = w.merge(stored) || err != nil
	w.object, w.current, w.dirty, w.usedAt = object, true, lacking, a.Now()
	return lacking, nil
}

// put creates or replaces the object of a segment.
func (a *Archive) put(ctx context.Context, name string, w *writtenSegment) (platformstore.Object, error) {
	if w.object.Revision == 0 {
		return a.Store.Create(ctx, a.Kind, name, w.stored())
	}
	return a.Store.Replace(ctx, a.Kind, name, w.object.Revision, w.stored())
}
