package target

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

const (
	maxTargetLoads     = 2
	maxLoadFailures    = 3
	loadFailureBackoff = 250 * time.Millisecond
	loadRetryAfter     = 5 * time.Second
	takeoverRetryAfter = 2 * time.Second
	permitTimeout      = 5 * time.Second
)

// loadState holds the state of the owner's loads: permits and orders in flight.
type loadState struct {
	// awaitingPermit is set while a permit is requested.
	awaitingPermit bool
	// inFlight counts the permits that are requested or in use.
	inFlight int
	// failures counts the failed loads of each adapter since the last success or
	// refusal.
	failures map[adapter.ID]int
	// loading holds the adapters with a load in flight.
	loading map[adapter.ID]bool
	// evicting holds the adapters with an eviction in flight, even if a report lists
	// them as resident.
	evicting map[adapter.ID]bool
	// unconfirmed holds the adapters that count as evicted although the engine did not
	// answer the order.
	unconfirmed map[adapter.ID]bool
	// pausedUntil ends the backoff after a failed load or permit request.
	pausedUntil time.Time
}

func (o *Owner) newLoad(id adapter.ID) adapter.Load {
	return adapter.Load{TargetID: o.TargetID, Adapter: id}
}

// enqueueLoad adds the adapter of a queued request to the pending loads, unless it is
// resident or a load or an eviction of it is in flight.
func (o *Owner) enqueueLoad(s *submission, now time.Time) {
	id := s.request.Adapter
	if o.adopted && o.slotTable.Resident(id) {
		return
	}
	s.stalled = s.stalled || o.adopted
	if o.loads.loading[id] || o.loads.evicting[id] {
		return
	}
	o.loadQueue.AddWaiter(o.newLoad(id), adapter.Waiter{Team: s.request.Team, Class: s.request.Class}, now)
}

// enqueueMissingLoads adds the adapters that requests wait for and nothing loads, since the
// engine lost them after the requests were queued.
func (o *Owner) enqueueMissingLoads(now time.Time) {
	if !o.adopted {
		return
	}
	for id := range o.queuedByAdapter {
		if o.stillNeeded(id) && !o.loadQueue.Pending(o.newLoad(id)) {
			o.loadQueue.Add(o.newLoad(id), 1, release.Interactive, now)
		}
	}
}

// requestLoadPermit requests a permit if a load is pending and could be ordered now.
func (o *Owner) requestLoadPermit(ctx context.Context, now time.Time) {
	if o.loadQueue.Len() == 0 || o.loads.awaitingPermit || o.loads.inFlight >= maxTargetLoads || now.Before(o.loads.pausedUntil) {
		return
	}
	if !o.mayOrder(now) {
		return
	}
	if !o.slotAvailable(now) {
		o.refuseDuringTakeover(now)
		return
	}
	o.loads.awaitingPermit = true
	o.loads.inFlight++
	o.tasks.Go(func() {
		permitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		releasePermit, err := o.AcquireLoad(permitCtx)
		o.post(func(now time.Time) { o.handlePermit(ctx, releasePermit, err, now) })
	})
}

// slotAvailable reports whether a slot is free or can be freed by an eviction.
func (o *Owner) slotAvailable(now time.Time) bool {
	if o.slotTable.Free() > 0 {
		return true
	}
	_, ok := o.slotTable.Victim(now)
	return ok
}

// refuseDuringTakeover refuses the requests whose adapter cannot be loaded before the
// previous owner's requests have ended, so that they can go to other targets.
func (o *Owner) refuseDuringTakeover(now time.Time) {
	if !o.takeover.protected || now.Before(o.takeover.refuseFrom) {
		return
	}
	for {
		load, ok := o.loadQueue.Next(now, nil)
		if !ok {
			return
		}
		o.refuseQueuedFor(load.Adapter, false, refusal.NotRun(refusal.CodeNoTarget, "the target was just taken over and has no free slot").WithRetryAfter(takeoverRetryAfter))
	}
}

// refuseQueuedFor refuses the queued requests for one adapter. If keepPatient is set,
// patient ones stay queued.
func (o *Owner) refuseQueuedFor(id adapter.ID, keepPatient bool, err error) {
	var kept []fairqueue.Item[*submission]
	for {
		item, ok := o.queue.Pop(time.Time{}, func(other adapter.ID) bool { return other == id })
		if !ok {
			break
		}
		o.uncountQueued(item)
		if keepPatient && item.Class == release.Patient {
			kept = append(kept, item)
			continue
		}
		o.refuse(item.Payload, err)
	}
	for _, item := range kept {
		o.enqueue(item.Payload, item.Payload.arrivedAt)
	}
}

// handlePermit applies the outcome of a permit request. With a permit it orders the
// most urgent load; without one it backs off.
func (o *Owner) handlePermit(ctx context.Context, releasePermit func(), err error, now time.Time) {
	o.loads.awaitingPermit = false
	if err != nil {
		o.loads.inFlight--
		o.loads.pausedUntil = now.Add(loadFailureBackoff)
		return
	}
	load, ok := o.nextLoad(now)
	if !ok {
		o.loads.inFlight--
		releasePermit()
		return
	}
	victim, evict, ok := o.reserveSlot(load.Adapter, now)
	if !ok {
		o.loadQueue.Add(load, 1, release.Interactive, now)
		o.loads.inFlight--
		releasePermit()
		return
	}
	o.loads.loading[load.Adapter] = true
	o.tasks.Go(func() {
		defer releasePermit()
		started := time.Now()
		evicted, err := o.sendLoadOrders(ctx, load.Adapter, victim, evict)
		duration := time.Since(started)
		o.post(func(now time.Time) { o.applyLoadResult(load.Adapter, victim, evict && evicted, duration, err, now) })
	})
}

// nextLoad removes and returns the most urgent pending load that is still needed.
func (o *Owner) nextLoad(now time.Time) (adapter.Load, bool) {
	if o.stopping || o.ownershipLost || !o.mayOrder(now) || !o.slotAvailable(now) {
		return adapter.Load{}, false
	}
	for {
		load, ok := o.loadQueue.Next(now, nil)
		if !ok || o.stillNeeded(load.Adapter) {
			return load, ok
		}
	}
}

// stillNeeded reports whether a request waits for an adapter that is not resident and
// has no load or eviction in flight.
func (o *Owner) stillNeeded(id adapter.ID) bool {
	return o.queuedByAdapter[id] > 0 && !o.slotTable.Resident(id) && !o.loads.loading[id] && !o.loads.evicting[id]
}

// reserveSlot reserves a free slot for a load of id. If none is free, it starts the
// eviction of the adapter that the slot table selects and returns it as victim, with
// evict set.
func (o *Owner) reserveSlot(id adapter.ID, now time.Time) (victim adapter.ID, evict, ok bool) {
	if o.slotTable.Reserve(id) {
		return adapter.ID{}, false, true
	}
	victim, ok = o.slotTable.Victim(now)
	if !ok || !o.slotTable.BeginEvict(victim, now) {
		return adapter.ID{}, false, false
	}
	o.loads.evicting[victim] = true
	o.status.snapshotStale = true
	return victim, true, true
}

// sendLoadOrders orders the eviction of victim, if evict is set, and then the load of
// id. For an engine that does not check fencing numbers it checks the authority again
// before each order, since the process may have been paused.
func (o *Owner) sendLoadOrders(ctx context.Context, id, victim adapter.ID, evict bool) (evicted bool, err error) {
	if evict {
		if !o.ChecksFencing && o.Authority(time.Now()) != Held {
			return false, ErrStaleFencing.New("lease lapsed before the eviction was sent")
		}
		if err := o.Engine.Evict(ctx, victim, o.FencingNumber); err != nil {
			return false, err
		}
	}
	if !o.ChecksFencing && o.Authority(time.Now()) != Held {
		return evict, ErrStaleFencing.New("lease lapsed before the load was sent")
	}
	return evict, o.Engine.Load(ctx, id, o.FencingNumber)
}

// applyLoadResult applies the outcome of sendLoadOrders.
func (o *Owner) applyLoadResult(id, victim adapter.ID, evicted bool, duration time.Duration, err error, now time.Time) {
	o.loads.inFlight--
	delete(o.loads.loading, id)
	o.status.snapshotStale = true
	if o.Observer.OnLoad != nil {
		o.Observer.OnLoad(duration, err)
	}
	if victim != (adapter.ID{}) {
		o.applyEvictionResult(victim, evicted, err, now)
	}
	if err == nil {
		o.slotTable.Add(id, now)
		delete(o.loads.failures, id)
		delete(o.loads.unconfirmed, id)
		return
	}
	o.Log.Warn("load_failed", zap.String("target", o.TargetID), zap.String("adapter", id.String()), zap.Error(err))
	o.slotTable.CancelReserve(id)
	if ErrNoFreeSlot.Has(err) {
		o.restoreUnconfirmed(now)
	}
	if ErrStaleFencing.Has(err) && o.ChecksFencing {
		o.ownershipLost = true
		return
	}
	o.handleLoadFailure(id, now)
}

// applyEvictionResult frees the slot of an evicted adapter, or marks the adapter as
// resident again if the eviction failed. If the response to the eviction was lost, the
// adapter counts as evicted: if it is, the engine would refuse requests for it, and if
// it is not, the engine answers a load of it at once.
func (o *Owner) applyEvictionResult(victim adapter.ID, evicted bool, err error, now time.Time) {
	delete(o.loads.evicting, victim)
	if !evicted && !ErrIncompleteResponse.Has(err) {
		o.slotTable.Add(victim, now)
		return
	}
	o.slotTable.Remove(victim)
	if !evicted {
		o.loads.unconfirmed[victim] = true
	}
	if o.queuedByAdapter[victim] > 0 {
		o.loadQueue.Add(o.newLoad(victim), 1, release.Interactive, now)
	}
}

// restoreUnconfirmed marks the adapters as resident again that count as evicted without an
// answer, since the engine says that it has no free slot. If it has evicted one after all,
// it refuses the next request for it, which has it loaded again.
func (o *Owner) restoreUnconfirmed(now time.Time) {
	for id := range o.loads.unconfirmed {
		if !o.loads.loading[id] && o.slotTable.Add(id, now) {
			delete(o.loads.unconfirmed, id)
		}
	}
}

// handleLoadFailure queues a failed load again after a backoff. After maxLoadFailures
// failures it refuses the interactive requests that wait for the adapter.
func (o *Owner) handleLoadFailure(id adapter.ID, now time.Time) {
	o.loads.failures[id]++
	o.loads.pausedUntil = now.Add(loadFailureBackoff)
	if o.loads.failures[id] >= maxLoadFailures {
		delete(o.loads.failures, id)
		o.refuseQueuedFor(id, true, refusal.NotRun(refusal.CodeLoadFailed, "the adapter could not be loaded").WithRetryAfter(loadRetryAfter))
	}
	o.loadQueue.Add(o.newLoad(id), 1, release.Interactive, now)
}
