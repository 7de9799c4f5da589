package target

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

const (
	maxTargetLoads      = 2
	maxLoadFailures     = 3
	loadFailurePause    = 250 * time.Millisecond
	loadRetryAfter      = 5 * time.Second
	protectedRetryAfter = 2 * time.Second
	permitWait          = 5 * time.Second
)

// loadState is the owner's loads: the permits asked for and the orders in flight.
type loadState struct {
	// asking says that a permit is being waited for.
	asking bool
	// inFlight counts permits asked for or used.
	inFlight int
	failures map[adapter.ID]int
	// loading are the adapters with a load under way.
	loading map[adapter.ID]bool
	// evicting are the adapters with an eviction under way, whatever a report says.
	evicting map[adapter.ID]bool
	pausedTo time.Time
}

func (o *Owner) load(id adapter.ID) adapter.Load {
	return adapter.Load{TargetID: o.TargetID, Adapter: id}
}

// wantLoad sees to it that a waiting request's adapter gets loaded.
func (o *Owner) wantLoad(s *submission, now time.Time) {
	id := s.request.Adapter
	if o.ready && o.table.Resident(id) {
		return
	}
	s.stalled = s.stalled || o.ready
	if o.loading.loading[id] || o.loading.evicting[id] {
		return
	}
	o.order.AddFor(o.load(id), adapter.Waiter{Team: s.request.Team, Class: s.request.Class}, now)
}

// startLoads asks for a permit when a load could be ordered now.
func (o *Owner) startLoads(ctx context.Context, now time.Time) {
	if o.order.Len() == 0 || o.loading.asking || o.loading.inFlight >= maxTargetLoads || now.Before(o.loading.pausedTo) {
		return
	}
	if !o.mayOrder(now) {
		return
	}
	if !o.room(now) {
		o.refuseProtected(now)
		return
	}
	o.loading.asking = true
	o.loading.inFlight++
	o.tasks.Go(func() {
		waiting, cancel := context.WithTimeout(ctx, permitWait)
		defer cancel()
		finish, err := o.AcquireLoad(waiting)
		o.post(func(now time.Time) { o.permitted(ctx, finish, err, now) })
	})
}

// room reports whether a load would find a slot.
func (o *Owner) room(now time.Time) bool {
	if o.table.Free() > 0 {
		return true
	}
	_, ok := o.table.Victim(now)
	return ok
}

// refuseProtected sends away requests whose adapter cannot be loaded here until
// the previous owner's requests are over; another target may take them.
func (o *Owner) refuseProtected(now time.Time) {
	if !o.takeover.protected || now.Before(o.takeover.refuseFrom) {
		return
	}
	for {
		load, ok := o.order.Next(now, nil)
		if !ok {
			return
		}
		o.refuseAdapter(load.Adapter, false, refusal.NotRun(refusal.CodeNoTarget, "the target was just taken over and has no free slot").After(protectedRetryAfter))
	}
}

// refuseAdapter refuses the waiting requests for one adapter. Patient ones stay
// when keepPatient is set.
func (o *Owner) refuseAdapter(id adapter.ID, keepPatient bool, err error) {
	var kept []Item[*submission]
	for {
		item, ok := o.queue.Pop(time.Time{}, func(other adapter.ID) bool { return other == id })
		if !ok {
			break
		}
		o.left(item)
		if keepPatient && item.Class == release.Patient {
			kept = append(kept, item)
			continue
		}
		o.refuse(item.Payload, err)
	}
	for _, item := range kept {
		o.enqueue(item.Payload, item.Payload.arrived)
	}
}

// permitted orders the most urgent load, now that the weight store allows one.
func (o *Owner) permitted(ctx context.Context, finish func(), err error, now time.Time) {
	o.loading.asking = false
	if err != nil {
		o.loading.inFlight--
		o.loading.pausedTo = now.Add(loadFailurePause)
		return
	}
	load, ok := o.nextLoad(now)
	if !ok {
		o.loading.inFlight--
		finish()
		return
	}
	victim, evict, ok := o.makeRoom(load.Adapter, now)
	if !ok {
		o.order.Add(load, 1, release.Interactive, now)
		o.loading.inFlight--
		finish()
		return
	}
	o.loading.loading[load.Adapter] = true
	o.tasks.Go(func() {
		defer finish()
		started := time.Now()
		evicted, err := o.orderLoad(ctx, load.Adapter, victim, evict)
		took := time.Since(started)
		o.post(func(now time.Time) { o.loaded(load.Adapter, victim, evict && evicted, took, err, now) })
	})
}

// nextLoad returns the most urgent load that is still of use.
func (o *Owner) nextLoad(now time.Time) (adapter.Load, bool) {
	if o.stopping || o.lost || !o.mayOrder(now) || !o.room(now) {
		return adapter.Load{}, false
	}
	for {
		load, ok := o.order.Next(now, nil)
		if !ok || o.useful(load.Adapter) {
			return load, ok
		}
	}
}

// useful reports whether a request waits for an adapter that is neither here nor
// on its way, in or out.
func (o *Owner) useful(id adapter.ID) bool {
	return o.waiting[id] > 0 && !o.table.Resident(id) && !o.loading.loading[id] && !o.loading.evicting[id]
}

// makeRoom reserves a slot for a load, if need be that of the least useful adapter.
func (o *Owner) makeRoom(id adapter.ID, now time.Time) (victim adapter.ID, evict, ok bool) {
	if o.table.Reserve(id) {
		return adapter.ID{}, false, true
	}
	victim, ok = o.table.Victim(now)
	if !ok || !o.table.BeginEvict(victim, now) {
		return adapter.ID{}, false, false
	}
	o.loading.evicting[victim] = true
	o.engine.changed = true
	return victim, true, true
}

// orderLoad sends the orders. The authority is checked again before each one,
// since the owner may have been paused.
func (o *Owner) orderLoad(ctx context.Context, id, victim adapter.ID, evict bool) (evicted bool, err error) {
	if evict {
		if !o.ChecksFencing && o.Authority(time.Now()) != Held {
			return false, ErrStaleFencing.New("authority lapsed before the eviction")
		}
		if err := o.Engine.Evict(ctx, victim, o.FencingNumber); err != nil {
			return false, err
		}
	}
	if !o.ChecksFencing && o.Authority(time.Now()) != Held {
		return evict, ErrStaleFencing.New("authority lapsed before the load")
	}
	return evict, o.Engine.Load(ctx, id, o.FencingNumber)
}

// loaded takes the outcome of the orders.
func (o *Owner) loaded(id, victim adapter.ID, evicted bool, took time.Duration, err error, now time.Time) {
	o.loading.inFlight--
	delete(o.loading.loading, id)
	o.engine.changed = true
	if o.Observe.Loaded != nil {
		o.Observe.Loaded(took, err)
	}
	if victim != (adapter.ID{}) {
		o.settleVictim(victim, evicted, err, now)
	}
	if err == nil {
		o.table.Add(id, now)
		delete(o.loading.failures, id)
		return
	}
	o.Log.Warn("load_failed", zap.String("target", o.TargetID), zap.String("adapter", id.String()), zap.Error(err))
	o.table.CancelReserve(id)
	if ErrStaleFencing.Has(err) && o.ChecksFencing {
		o.lost = true
		return
	}
	o.loadFailed(id, now)
}

// settleVictim frees an evicted adapter's slot, or gives the adapter back. After
// an eviction whose answer was lost the adapter counts as gone: a request for it
// is refused by the engine if it is, and a load is answered at once if it is not.
func (o *Owner) settleVictim(victim adapter.ID, evicted bool, err error, now time.Time) {
	delete(o.loading.evicting, victim)
	if !evicted && !ErrBroken.Has(err) {
		o.table.Add(victim, now)
		return
	}
	o.table.Remove(victim)
	if o.waiting[victim] > 0 {
		o.order.Add(o.load(victim), 1, release.Interactive, now)
	}
}

// loadFailed tries again, and after some failures refuses the requests that
// cannot wait longer.
func (o *Owner) loadFailed(id adapter.ID, now time.Time) {
	o.loading.failures[id]++
	o.loading.pausedTo = now.Add(loadFailurePause)
	if o.loading.failures[id] >= maxLoadFailures {
		delete(o.loading.failures, id)
		o.refuseAdapter(id, true, refusal.NotRun(refusal.CodeLoadFailed, "the adapter could not be loaded").After(loadRetryAfter))
	}
	o.order.Add(o.load(id), 1, release.Interactive, now)
}
