package simulation

import (
	"slices"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// loadScheduler holds the pending loads and the engines that wait for a load
// permit. Each engine's owner queues its own loads and requests one permit at a
// time; permits go to the requesters in turn, as they do between instances. With
// Policy.SharedLoadQueue the most urgent load of all engines gets the next permit.
type loadScheduler struct {
	// queues holds the load queue of each engine, or the shared one under nil.
	queues map[*engine]*adapter.LoadQueue
	// fifo holds each engine's loads in order of arrival, for Policy.LoadsFCFS. It
	// can hold loads that are no longer pending.
	fifo            map[*engine][]adapter.Load
	awaitingPermit  []*engine
	wakeupScheduled bool
}

// queueOf returns the load queue of an engine, or the shared one if the policy has
// one.
func (r *run) queueOf(e *engine) *adapter.LoadQueue {
	if r.policy.SharedLoadQueue {
		e = nil
	}
	if r.loads.queues == nil {
		r.loads.queues = map[*engine]*adapter.LoadQueue{}
		r.loads.fifo = map[*engine][]adapter.Load{}
	}
	queue, ok := r.loads.queues[e]
	if !ok {
		queue = &adapter.LoadQueue{}
		r.loads.queues[e] = queue
	}
	return queue
}

// requestLoad queues a load for a job unless the adapter is resident or its load is
// in flight. A nil job stands for jobs that are queued already; the load is then
// attributed to the team of the latest one.
func (r *run) requestLoad(e *engine, id adapter.ID, j *job) {
	if e.table.Resident(id) || e.table.Reserved(id) {
		return
	}
	load := adapter.Load{TargetID: e.id, Adapter: id}
	queue := r.queueOf(e)
	if !queue.Pending(load) {
		r.loads.fifo[e] = append(r.loads.fifo[e], load)
	}
	team, class := e.lastTeam[id], release.Interactive
	if j != nil {
		team, class = j.team, j.class
	}
	waiter := adapter.Waiter{Team: teamName(team), Class: class}
	queue.AddWaiter(load, waiter, r.time())
	r.requestPermit(e)
}

// requestPermit queues an engine for a load permit if it has pending loads, and
// starts the loads that are permitted now.
func (r *run) requestPermit(e *engine) {
	if r.queueOf(e).Len() > 0 && !slices.Contains(r.loads.awaitingPermit, e) {
		r.loads.awaitingPermit = append(r.loads.awaitingPermit, e)
	}
	r.startLoads()
}

// startLoads starts a load for each available permit. If engines still wait for
// one, it schedules itself for the time of the next permit.
func (r *run) startLoads() {
	for i := 0; i < len(r.loads.awaitingPermit) && r.store.canStart(r.now); {
		e := r.loads.awaitingPermit[i]
		if !r.policy.SharedLoadQueue && !r.canLoad(e) {
			i++
			continue
		}
		load, ok := r.nextLoad(e)
		if !ok && r.queueOf(e).Len() > 0 {
			// All adapters there are in use; the engine keeps waiting.
			i++
			continue
		}
		r.loads.awaitingPermit = slices.Delete(r.loads.awaitingPermit, i, i+1)
		if !ok {
			continue
		}
		r.startLoad(r.byID[load.TargetID], load.Adapter)
		if r.queueOf(e).Len() > 0 {
			r.loads.awaitingPermit = append(r.loads.awaitingPermit, e)
		}
		i = 0
	}
	if len(r.loads.awaitingPermit) > 0 && r.store.permits < 1 && !r.loads.wakeupScheduled {
		r.loads.wakeupScheduled = true
		r.after(r.store.untilNextPermit(r.now), func() {
			r.loads.wakeupScheduled = false
			r.startLoads()
		})
	}
}

// nextLoad removes and returns the load to start with a permit for an engine. The
// caller has checked that the engine itself can load; with a shared queue the load
// may be for another engine, which is checked here.
func (r *run) nextLoad(e *engine) (adapter.Load, bool) {
	queue := r.queueOf(e)
	switch {
	case r.policy.SharedLoadQueue:
		return queue.Next(r.time(), func(load adapter.Load) bool { return r.canLoad(r.byID[load.TargetID]) })
	case !r.policy.LoadsFCFS:
		return queue.Next(r.time(), nil)
	}
	for len(r.loads.fifo[e]) > 0 {
		load := r.loads.fifo[e][0]
		r.loads.fifo[e] = r.loads.fifo[e][1:]
		if queue.Pending(load) {
			queue.Remove(load)
			return load, true
		}
	}
	return adapter.Load{}, false
}

// canLoad reports whether an engine has a free slot or an evictable adapter.
func (r *run) canLoad(e *engine) bool {
	if e.table.Free() > 0 {
		return true
	}
	_, ok := r.victim(e)
	return ok
}

// victim returns the adapter that the policy would evict from an engine.
func (r *run) victim(e *engine) (adapter.ID, bool) {
	if r.policy.Victim != nil {
		return r.policy.Victim(e, r.time())
	}
	return e.table.Victim(r.time())
}

// startLoad starts a load on an engine, and first evicts an adapter if no slot is
// free.
func (r *run) startLoad(e *engine, id adapter.ID) {
	if e.table.Free() == 0 {
		victim, _ := r.victim(e)
		r.evict(e, victim)
	}
	if !e.table.Reserve(id) {
		panic("load without a free slot")
	}
	r.after(r.store.start(r.now), func() {
		r.store.inFlight--
		e.table.Add(id, r.time())
		r.reportResidency(func(v *routerView) {
			if e.table.Resident(id) {
				v.AddResident(e.id, id)
			}
		})
		r.fillBatch(e)
		r.requestPermit(e)
	})
}
