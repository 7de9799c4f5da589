package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrelay/internal/adapter"
)

// epoch is the wall-clock time of virtual time zero. The code under test is given
// epoch plus the virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run is the state of one replay of a workload with a policy: a discrete-event
// simulation in virtual time.
type run struct {
	workload Workload
	policy   Policy
	random   *rand.Rand
	// now is the virtual time since the start of the run.
	now    time.Duration
	events eventHeap
	// scheduled counts the events scheduled so far and supplies their numbers.
	scheduled   int
	engines     []*engine
	byID        map[string]*engine
	views       []*routerView
	router      adapter.Router
	loads       loadScheduler
	store       store
	partitioned bool
	jobs        []*job
	// ids maps adapter numbers of the workload to ids.
	ids []adapter.ID
}

// event is an action at a virtual time. Events at the same time run in the order
// in which they were scheduled.
type event struct {
	at     time.Duration
	number int
	action func()
}

// eventHeap implements heap.Interface; the earliest event is at the top.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Run replays a workload with a policy and returns the measurements.
func Run(w Workload, p Policy, seed uint64) Result {
	r := &run{
		workload: w, policy: p, random: rand.New(rand.NewPCG(seed, 1<<32)),
		byID: map[string]*engine{}, store: store{slow: w.SlowStore},
	}
	for i := range Engines {
		e := newEngine(i)
		r.engines = append(r.engines, e)
		r.byID[e.id] = e
	}
	for i := range Routers {
		r.views = append(r.views, newRouterView(i/RoutersPerZone, r.engines, p.WholeFleet))
	}
	for i := range adapterCount {
		r.ids = append(r.ids, adapter.ID{Name: fmt.Sprintf("adapter-%05d", i), Version: "1"})
	}
	r.schedule(w.generate(seed))
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action()
	}
	return r.result()
}

// after schedules an action after a delay in virtual time.
func (r *run) after(d time.Duration, action func()) {
	r.scheduled++
	heap.Push(&r.events, event{at: r.now + d, number: r.scheduled, action: action})
}

// time returns the time that the code under test is given.
func (r *run) time() time.Time { return epoch.Add(r.now) }

// schedule schedules the arrivals, faults and load reports.
func (r *run) schedule(requests []request) {
	for _, q := range requests {
		j := &job{request: q}
		r.jobs = append(r.jobs, j)
		r.after(q.at, func() { r.arrive(j) })
	}
	for i, at := range r.workload.Restarts {
		r.after(at, func() { r.restart(r.engines[(i*5)%Engines]) })
	}
	if partition := r.workload.Partition; partition.To > 0 {
		r.after(partition.From, func() { r.setPartitioned(true) })
		r.after(partition.To, func() { r.setPartitioned(false) })
	}
	for at := loadReportInterval; at < r.workload.Duration; at += loadReportInterval {
		r.after(at, r.reportLoads)
	}
}

// arrive routes a request to an engine and queues it there.
func (r *run) arrive(j *job) {
	r.forward(j)
	view := r.views[j.router]
	adapterRequest := &adapter.RouteRequest{
		Adapter: r.ids[j.adapter], BaseModel: baseModel, PrefixHash: j.prefix, Tokens: j.prompt + j.output,
	}
	id, ok := r.choose(adapterRequest, view)
	if !ok {
		j.refused = true
		return
	}
	view.RecordAttempt(id, adapterRequest.Tokens, j.prefix)
	view.unreported[id]++
	r.enqueue(r.byID[id], j)
}

// forward moves a request to a random router of its adapter's preferred zone,
// unless the local zone has an available copy of the adapter, the zones are
// partitioned, or the policy does not forward.
func (r *run) forward(j *job) {
	if r.policy.LocalZoneOnly || r.policy.WholeFleet || r.partitioned {
		return
	}
	local := r.views[j.router]
	id := r.ids[j.adapter]
	if local.HasAvailableCopy(id, baseModel) {
		return
	}
	var zones [Zones]adapter.ZoneInfo
	for zone := range Zones {
		load, slots := r.views[zone*RoutersPerZone].MeanLoad(baseModel)
		zones[zone] = adapter.ZoneInfo{Zone: zoneNames[zone], Slots: slots, LoadTokens: load}
	}
	preferred, ok := adapter.ChooseZone(id, zones[:])
	if zone := slices.Index(zoneNames[:], preferred); ok && zone != local.zone {
		j.router = zone*RoutersPerZone + r.random.IntN(RoutersPerZone)
	}
}

// choose returns the target that the policy's router chooses.
func (r *run) choose(adapterRequest *adapter.RouteRequest, view *routerView) (string, bool) {
	if r.policy.Route != nil {
		return r.policy.Route(r.random, adapterRequest, view)
	}
	return r.router.Choose(adapterRequest, &view.View, r.time())
}

// reportLoads updates the loads of all engines in all routers' views.
func (r *run) reportLoads() {
	for _, v := range r.views {
		for _, e := range r.engines {
			r.reportLoad(v, e)
		}
	}
}

// reportLoad updates the load of one engine in a router's view.
func (r *run) reportLoad(v *routerView, e *engine) {
	v.SetLoad(e.id, e.load())
	v.unreported[e.id] = 0
}

// reportResidency applies a change of an engine's residents to all routers' views
// after residencyLag.
func (r *run) reportResidency(change func(v *routerView)) {
	r.after(residencyLag, func() {
		for _, v := range r.views {
			change(v)
		}
	})
}

// setPartitioned starts or ends a partition, in which routers see only the targets
// of their own zone as usable.
func (r *run) setPartitioned(partitioned bool) {
	r.partitioned = partitioned
	for _, v := range r.views {
		for _, e := range r.engines {
			if e.zone != v.zone {
				v.setUsable(e, !partitioned)
			}
		}
	}
}

// restart simulates a cold restart of an engine: it loses its resident adapters, and
// its running requests are queued again.
func (r *run) restart(e *engine) {
	for _, id := range e.table.Residents() {
		e.table.Remove(id)
	}
	interrupted := e.running
	e.running = nil
	r.reportResidency(func(v *routerView) { v.SetResident(e.id, e.table.Residents()) })
	for _, id := range r.ids {
		if e.waiting[id] > 0 {
			r.requestLoad(e, id, nil)
		}
	}
	for _, j := range interrupted {
		e.table.Unpin(r.ids[j.adapter], r.time())
		j.prefilled = false
		r.enqueue(e, j)
	}
}
