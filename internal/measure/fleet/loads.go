package fleet

import (
	"slices"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// loads is the pending loads and the engines that wait for a permit. Each
// engine's owner orders its own loads and asks for one permit at a time; permits
// go to the askers in turn, as they do between instances. With one shared order
// the most urgent load of all engines takes the next permit.
type loads struct {
	orders  map[*engine]*adapter.LoadOrder
	inOrder map[*engine][]adapter.Load
	asking  []*engine
	woken   bool
}

func (r *run) orderOf(e *engine) *adapter.LoadOrder {
	if r.policy.SharedLoadOrder {
		e = nil
	}
	if r.loads.orders == nil {
		r.loads.orders = map[*engine]*adapter.LoadOrder{}
		r.loads.inOrder = map[*engine][]adapter.Load{}
	}
	o, ok := r.loads.orders[e]
	if !ok {
		o = &adapter.LoadOrder{}
		r.loads.orders[e] = o
	}
	return o
}

// wantLoad asks for a load unless one is in flight. A nil job stands for those
// that wait already.
func (r *run) wantLoad(e *engine, id adapter.ID, j *job) {
	if e.table.Resident(id) || e.table.Reserved(id) {
		return
	}
	load := adapter.Load{TargetID: e.id, Adapter: id}
	order := r.orderOf(e)
	if !order.Pending(load) {
		r.loads.inOrder[e] = append(r.loads.inOrder[e], load)
	}
	team, class := e.waiterTeam[id], release.Interactive
	if j != nil {
		team, class = j.team, j.class
	}
	waiter := adapter.Waiter{Team: teamName(team), Class: class}
	order.AddFor(load, waiter, r.time())
	r.askPermit(e)
}

// askPermit puts an engine in line for a permit if a load could start there.
func (r *run) askPermit(e *engine) {
	if r.orderOf(e).Len() > 0 && !slices.Contains(r.loads.asking, e) {
		r.loads.asking = append(r.loads.asking, e)
	}
	r.startLoads()
}

// startLoads hands out the permits there are, and wakes up for the next.
func (r *run) startLoads() {
	for i := 0; i < len(r.loads.asking) && r.store.mayStart(r.now); {
		e := r.loads.asking[i]
		if !r.policy.SharedLoadOrder && !r.hasRoom(e) {
			i++
			continue
		}
		load, ok := r.nextLoad(e)
		if !ok && r.orderOf(e).Len() > 0 {
			// Everything is in use there; it stays in line.
			i++
			continue
		}
		r.loads.asking = slices.Delete(r.loads.asking, i, i+1)
		if !ok {
			continue
		}
		r.startLoad(r.byID[load.TargetID], load.Adapter)
		if r.orderOf(e).Len() > 0 {
			r.loads.asking = append(r.loads.asking, e)
		}
		i = 0
	}
	if len(r.loads.asking) > 0 && r.store.permits < 1 && !r.loads.woken {
		r.loads.woken = true
		r.after(r.store.nextPermit(r.now), func() {
			r.loads.woken = false
			r.startLoads()
		})
	}
}

// nextLoad takes the load of an engine that a permit goes to; the engine has
// room, but with one shared order others may have none.
func (r *run) nextLoad(e *engine) (adapter.Load, bool) {
	order := r.orderOf(e)
	switch {
	case r.policy.SharedLoadOrder:
		return order.Next(r.time(), func(load adapter.Load) bool { return r.hasRoom(r.byID[load.TargetID]) })
	case !r.policy.LoadsInOrder:
		return order.Next(r.time(), nil)
	}
	for len(r.loads.inOrder[e]) > 0 {
		load := r.loads.inOrder[e][0]
		r.loads.inOrder[e] = r.loads.inOrder[e][1:]
		if order.Pending(load) {
			order.Remove(load)
			return load, true
		}
	}
	return adapter.Load{}, false
}

func (r *run) hasRoom(e *engine) bool {
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
		r.pump(e)
		r.askPermit(e)
	})
}
