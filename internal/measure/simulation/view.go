package simulation

import (
	"time"

	"heatherrelay/internal/adapter"
)

// Routers learn of residency changes after residencyLag, and of engine loads every
// loadReportInterval and with the responses to their own requests.
const (
	residencyLag       = 100 * time.Millisecond
	loadReportInterval = 500 * time.Millisecond
	baseModel          = "m"
)

// routerView is one router's view, with additional state for the baselines.
type routerView struct {
	adapter.View
	zone int
	ids  []string
	// unreported counts the requests sent to each target since its last load report.
	unreported map[string]int
	hashRouter adapter.Router
	// emptyView has the same targets as View but neither residents nor loads, so that
	// hashRouter chooses by hash alone.
	emptyView adapter.View
}

// newRouterView returns the view of a router in a zone, with the targets of that
// zone or of the whole fleet.
func newRouterView(zone int, engines []*engine, wholeFleet bool) *routerView {
	v := &routerView{zone: zone, unreported: map[string]int{}}
	for _, e := range engines {
		if !wholeFleet && e.zone != zone {
			continue
		}
		v.SetTarget(e.info(true))
		v.emptyView.SetTarget(e.info(true))
		v.ids = append(v.ids, e.id)
	}
	return v
}

// setUsable sets whether an engine may be chosen, if the view includes it.
func (v *routerView) setUsable(e *engine, usable bool) {
	if _, _, ok := v.Target(e.id); ok {
		v.SetTarget(e.info(usable))
		v.emptyView.SetTarget(e.info(usable))
	}
}

// usable returns the ids of the usable targets.
func (v *routerView) usable() []string {
	var out []string
	for _, id := range v.ids {
		if info, _, ok := v.Target(id); ok && info.Usable {
			out = append(out, id)
		}
	}
	return out
}

// leastLoaded returns the least loaded usable target for which fits returns true,
// or false if there is none.
func (v *routerView) leastLoaded(fits func(string) bool) (string, bool) {
	best, bestLoad := "", 0.0
	for _, id := range v.ids {
		info, load, ok := v.Target(id)
		if !ok || !info.Usable || !fits(id) {
			continue
		}
		score := float64(load.QueuedTokens)/meanOutput + float64(load.Running+v.unreported[id])
		if best == "" || score < bestLoad {
			best, bestLoad = id, score
		}
	}
	return best, best != ""
}
