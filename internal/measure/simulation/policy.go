package simulation

import (
	"math/rand/v2"
	"time"

	"heatherrelay/internal/adapter"
)

// Policy selects the algorithms of a run. A nil function or false selects the
// product's own code.
type Policy struct {
	Name string
	// Route replaces the router.
	Route func(r *rand.Rand, request *adapter.RouteRequest, view *routerView) (string, bool)
	// Victim replaces the choice of the adapter to evict.
	Victim func(e *engine, now time.Time) (adapter.ID, bool)
	// LoadsFCFS starts an engine's loads in order of arrival.
	LoadsFCFS bool
	// QueueFIFO runs an engine's requests in order of arrival, whatever their team
	// and class.
	QueueFIFO bool
	// LocalZoneOnly restricts routers to the targets of their zone. WholeFleet lets
	// them use the targets of all zones. If neither is set, a request is first
	// forwarded to its adapter's preferred zone.
	LocalZoneOnly, WholeFleet bool
	// SharedLoadQueue uses one load queue for all engines.
	SharedLoadQueue bool
}

// Product returns the policy that uses the product's own code throughout.
func Product() Policy { return Policy{Name: "product"} }

// Baselines returns the policies that the product is compared with. Each replaces
// one or more of its algorithms.
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
		{Name: "loads shared order", SharedLoadQueue: true},
		{Name: "queue FIFO", QueueFIFO: true},
	}
}

// routeRandom chooses among the usable targets at random.
func routeRandom(r *rand.Rand, _ *adapter.RouteRequest, v *routerView) (string, bool) {
	usable := v.usable()
	if len(usable) == 0 {
		return "", false
	}
	return usable[r.IntN(len(usable))], true
}

// routeHash uses rendezvous hashing alone, without regard to load and residency.
func routeHash(_ *rand.Rand, request *adapter.RouteRequest, v *routerView) (string, bool) {
	return v.hashRouter.Choose(request, &v.emptyView, time.Time{})
}

// routeLeastLoaded chooses the least loaded target.
func routeLeastLoaded(_ *rand.Rand, _ *adapter.RouteRequest, v *routerView) (string, bool) {
	return v.leastLoaded(func(string) bool { return true })
}

// routeResidentFirst chooses the least loaded of the targets where the adapter is
// resident, or of all targets if it is resident on none.
func routeResidentFirst(_ *rand.Rand, request *adapter.RouteRequest, v *routerView) (string, bool) {
	if id, ok := v.leastLoaded(func(id string) bool { return v.IsResident(id, request.Adapter) }); ok {
		return id, true
	}
	return v.leastLoaded(func(string) bool { return true })
}

// victimLRU chooses the least recently used adapter.
func victimLRU(e *engine, _ time.Time) (adapter.ID, bool) {
	return e.leastValuable(func(id adapter.ID) float64 { return e.lastUse[id].Seconds() })
}

// victimLFU chooses the least frequently used adapter.
func victimLFU(e *engine, _ time.Time) (adapter.ID, bool) {
	return e.leastValuable(func(id adapter.ID) float64 { return float64(e.uses[id]) })
}
