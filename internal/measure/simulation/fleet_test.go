package simulation_test

import (
	"testing"
	"time"

	"heatherrelay/internal/measure/simulation"
)

// shorten reduces a workload to three minutes and moves its faults into them.
func shorten(w simulation.Workload) simulation.Workload {
	w.Duration, w.Warmup = 3*time.Minute, 30*time.Second
	if w.Partition.To > 0 {
		w.Partition = simulation.Span{From: time.Minute, To: 2 * time.Minute}
	}
	if w.SlowStore.To > 0 {
		w.SlowStore = simulation.Span{From: time.Minute, To: 2 * time.Minute}
	}
	if len(w.Restarts) > 0 {
		w.Restarts = []time.Duration{time.Minute, 90 * time.Second}
	}
	return w
}

func TestRunServesEveryRequestWithinTheStoresLimits(t *testing.T) {
	for _, w := range simulation.Workloads() {
		w = shorten(w)
		result := simulation.Run(w, simulation.Product(), 1)
		if result.Unfinished > 0 || result.Refused > 0 {
			t.Errorf("%s: %d unfinished, %d refused of %d", w.Name, result.Unfinished, result.Refused, result.Requests)
		}
		if result.MaxLoadsInFlight > 8 {
			t.Errorf("%s: %d loads in flight at once", w.Name, result.MaxLoadsInFlight)
		}
		if result != simulation.Run(w, simulation.Product(), 1) {
			t.Errorf("%s: two runs with the same seed differ", w.Name)
		}
	}
}

func TestNoPolicyBeatsTheOfflineBound(t *testing.T) {
	w := shorten(simulation.Workloads()[0])
	bound, _ := simulation.OfflineStalls(w, 1)
	for _, p := range append([]simulation.Policy{simulation.Product()}, simulation.Baselines()...) {
		if result := simulation.Run(w, p, 1); result.Stalled < bound {
			t.Errorf("%s: %d stalled, bound %d", p.Name, result.Stalled, bound)
		}
	}
}
