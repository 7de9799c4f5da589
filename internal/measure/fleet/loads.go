package fleet

import (
	"slices"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// loadScheduler is the pending loadScheduler and the engines that wait for a permit. Each
// engine's owner orders its own loadScheduler and asks for one permit at a time; permits
// go to the askers in turn, as they do between instances. With one shared order
// the most urgent load of all engines takes the next permit.
type loadScheduler struct {
	queues          map[*engine]*adapter.LoadOrder
	fifo            map[*engine][]adapter.Load
	awaitingPermit  []*engine
	wakeupScheduled bool
}

func (r *run) queueOf(e *engine) *adapter.LoadOrder {
	if r.policy.SharedLoadOrder {
		e = nil
	}
	if r.loads.queues == nil {
		r.loads.queues = map[*engine]*adapter.LoadOrder{}
		r.loads.fifo = map[*engine][]adapter.Load{}
	}
	queue, ok := r.loads.queues[e]
	if !ok {
		queue = &adapter.LoadOrder{}
		r.loads.queues[e] = queue
	}
	return queue
}

// requestLoad asks for a load unless one is in flight. A nil job stands for those
// that wait already.
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
	queue.AddFor(load, waiter, r.time())
	r.requestPermit(e)
}

// requestPermit puts an engine in line for a permit if a load could start there.
func (r *run) requestPermit(e *engine) {
	if r.queueOf(e).Len() > 0 && !slices.Contains(r.loads.awaitingPermit, e) {
		r.loads.awaitingPermit = append(r.loads.awaitingPermit, e)
	}
	r.startLoads()
}

// startLoads hands out the permits there are, and wakes up for the next.
func (r *run) startLoads() {
	for i := 0; i < len(r.loads.awaitingPermit) && r.store.canStart(r.now); {
		e := r.loads.awaitingPermit[i]
		if !r.policy.SharedLoadOrder && !r.canLoad(e) {
			i++
			continue
		}
		load, ok := r.nextLoad(e)
		if !ok && r.queueOf(e).Len() > 0 {
			// Everything is in use there; it stays in line.
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

// nextLoad takes the load of an engine that a permit goes to; the engine has
// room, but with one shared order others may have none.
func (r *run) nextLoad(e *engine) (adapter.Load, bool) {
	queue := r.queueOf(e)
	switch {
	case r.policy.SharedLoadOrder:
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

func (r *run) canLoad(e *engine) bool {
	if e.table.Free() > 0 {
		return true
	}
	_, ok := r.victim(e)
	return ok
}

func (r *run) victim(e *engine) (adapter.ID, bool) {
	if r.policy.Victim != nil {
		return r.policy.Victim(e, r.time())
	}
	return e.table.Victim(r.time())
}

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
