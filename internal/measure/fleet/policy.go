package fleet

import (
	"math/rand/v2"
	"time"

	"heatherrelay/internal/adapter"
)

// Policy is the decisions of a run. A nil function or false takes the
// product's own code.
type Policy struct {
	Name string
	// Route replaces the router.
	Route func(r *rand.Rand, request *adapter.Want, view *routerView) (string, bool)
	// Victim replaces the choice of what to evict.
	Victim func(e *engine, now time.Time) (adapter.ID, bool)
	// LoadsFCFS starts loads first come first served.
	LoadsFCFS bool
	// QueueFIFO runs requests first come first served.
	QueueFIFO bool
	// LocalZoneOnly lets routers use only the targets of their zone, WholeFleet all
	// targets; otherwise a request goes to its adapter's home zone first.
	LocalZoneOnly, WholeFleet bool
	// SharedLoadOrder orders the loads of all engines together.
	SharedLoadOrder bool
}

// Product is the decisions as the product makes them.
func Product() Policy { return Policy{Name: "product"} }

// Baselines returns the policies that the product is compared with.
func Baselines() []Policy {
	return []Policy{
		{Name: "least loaded + LRU", Route: routeLeastLoaded, WholeFleet: true, Victim: victimLRU, LoadsFCFS: true, QueueFIFO: true},
		{Name: "resident first + LRU", Route: routeResidentFirst, WholeFleet: true, Victim: victimLRU, LoadsFCFS: true, QueueFIFO: true},
		{Name: "route random", Route: routeRandom, WholeFleet: true},
		{Name: "route consistent hash", Route: routeHash, WholeFleet: true},
		{Name: "route least loaded", Route: routeLeastLoaded, WholeFleet: true},
		{Name: "route own zone", LocalZoneOnly: true},
		{Name: "route whole fleet", WholeFleet: true},
		{Name: "evict LRU", Victim: victimLRU},
		{Name: "evict LFU", Victim: victimLFU},
		{Name: "loads FCFS", LoadsFCFS: true},
		{Name: "loads shared order", SharedLoadOrder: true},
		{Name: "queue FIFO", QueueFIFO: true},
	}
}

func routeRandom(r *rand.Rand, _ *adapter.Want, v *routerView) (string, bool) {
	usable := v.usable()
	if len(usable) == 0 {
		return "", false
	}
	return usable[r.IntN(len(usable))], true
}

// routeHash is rendezvous hashing alone, without a load bound or residency.
func routeHash(_ *rand.Rand, request *adapter.Want, v *routerView) (string, bool) {
	return v.hashRouter.Choose(request, &v.emptyView, time.Time{})
}

func routeLeastLoaded(_ *rand.Rand, _ *adapter.Want, v *routerView) (string, bool) {
	return v.leastLoaded(func(string) bool { return true })
}

// routeResidentFirst is least loaded among the targets that hold the adapter,
// or among all when none does.
func routeResidentFirst(_ *rand.Rand, request *adapter.Want, v *routerView) (string, bool) {
	if id, ok := v.leastLoaded(func(id string) bool { return v.IsResident(id, request.Adapter) }); ok {
		return id, true
	}
	return v.leastLoaded(func(string) bool { return true })
}

func victimLRU(e *engine, _ time.Time) (adapter.ID, bool) {
	return e.leastValuable(func(id adapter.ID) float64 { return e.lastUse[id].Seconds() })
}

func victimLFU(e *engine, _ time.Time) (adapter.ID, bool) {
	return e.leastValuable(func(id adapter.ID) float64 { return float64(e.uses[id]) })
}
