package fleet

import (
	"time"

	"heatherrelay/internal/adapter"
)

// The lags of what routers know.
const (
	residencyLag       = 100 * time.Millisecond
	loadReportInterval = 500 * time.Millisecond
	baseModel          = "m"
)

// routerView is one instance's view with what the baselines need beside it.
type routerView struct {
	adapter.View
	zone int
	ids  []string
	// unreported counts requests since the last load report, for the baselines.
	unreported map[string]int
	hashRouter adapter.Router
	emptyView  adapter.View
}

func newRouterView(zone int, engines []*engine, wholeFleet bool) *routerView {
	v := &routerView{zone: zone, unreported: map[string]int{}}
	for _, e := range engines {
		if !wholeFleet && e.zone != zone {
			continue
		}
		v.Set(e.info(true))
		v.emptyView.Set(e.info(true))
		v.ids = append(v.ids, e.id)
	}
	return v
}

// setUsable changes whether an engine may be chosen.
func (v *routerView) setUsable(e *engine, usable bool) {
	if _, _, ok := v.Target(e.id); ok {
		v.Set(e.info(usable))
		v.emptyView.Set(e.info(usable))
	}
}

func (v *routerView) usable() []string {
	var out []string
	for _, id := range v.ids {
		if info, _, ok := v.Target(id); ok && info.Usable {
			out = append(out, id)
		}
	}
	return out
}

// leastLoaded returns the usable target with the leastLoaded load of those that fit.
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
