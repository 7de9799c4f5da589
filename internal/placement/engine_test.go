package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
)

const (
	testModel = "base"
	testSlots = 4
)

var start = time.Unix(1000, 0)

func adapterName(i int) deployment.AdapterName {
	return deployment.AdapterName{Model: testModel, Adapter: fmt.Sprintf("a%d", i)}
}

func noneInUse(deployment.AdapterName) bool { return false }

func reportOf(sequence uint64, adapters ...deployment.Adapter) placement.Report {
	return placement.Report{
		Sequence: sequence,
		Models:   []deployment.ResidentModel{{Name: testModel, Adapters: adapters}},
	}
}

// TestLaterReportCorrectsOrderCount guards against ignoring all reports for good
// when the holder counted one order more than the engine accepted.
func TestLaterReportCorrectsOrderCount(t *testing.T) {
	e := placement.Engine{Slots: testSlots}
	e.ApplyReport(reportOf(0), start)
	e.RecordLoad(adapterName(1), 0, start)
	e.MarkStale()
	if e.ApplyReport(reportOf(0), start.Add(100*time.Millisecond)) {
		t.Error("applied a report that may be older than the order")
	}
	if !e.ApplyReport(reportOf(0), start.Add(time.Second)) {
		t.Fatal("ignored a report from long after the order")
	}
	if e.Sequence != 0 {
		t.Errorf("order count %d, want 0", e.Sequence)
	}
}

// TestUnloadingAdapterKeepsItsSlot checks that an adapter that is unloading
// occupies its slot until a report no longer lists it, and that no other order is
// sent until then.
func TestUnloadingAdapterKeepsItsSlot(t *testing.T) {
	e := placement.Engine{Slots: 1}
	e.ApplyReport(reportOf(0, deployment.Adapter{Name: "a1"}), start)
	later := start.Add(5 * time.Second)
	step, victim := e.NextStep(adapterName(2), 0, noneInUse, later)
	if step != placement.StepUnload || victim != adapterName(1) {
		t.Fatalf("step %v, victim %v", step, victim)
	}
	e.RecordUnload(victim, false, later)
	if step, _ = e.NextStep(adapterName(2), 0, noneInUse, later); step != placement.StepFull {
		t.Errorf("step %v while the unload waits for requests in flight", step)
	}
	e.ApplyReport(reportOf(1), later.Add(time.Second))
	if step, _ = e.NextStep(adapterName(2), 0, noneInUse, later.Add(time.Second)); step != placement.StepLoad {
		t.Errorf("step %v after the adapter was unloaded", step)
	}
}

// TestUsedAdaptersAreNotEvicted checks that neither an adapter in use nor one that
// was used just now is evicted.
func TestUsedAdaptersAreNotEvicted(t *testing.T) {
	e := placement.Engine{Slots: 2}
	e.ApplyReport(reportOf(0, deployment.Adapter{Name: "a1"}, deployment.Adapter{Name: "a2"}), start)
	later := start.Add(5 * time.Second)
	e.RecordUse(adapterName(2), 1, later)
	inUse := func(name deployment.AdapterName) bool { return name == adapterName(1) }
	if step, victim := e.NextStep(adapterName(3), 0, inUse, later); step != placement.StepFull {
		t.Errorf("step %v, victim %v", step, victim)
	}
}

// TestNewVersionWaitsForRequests checks that an adapter in use is not replaced by a
// newer version: the engine would refuse its requests until those in flight end.
func TestNewVersionWaitsForRequests(t *testing.T) {
	e := placement.Engine{Slots: testSlots}
	e.ApplyReport(reportOf(0, deployment.Adapter{Name: "a1", Version: 1}), start)
	allInUse := func(deployment.AdapterName) bool { return true }
	if step, _ := e.NextStep(adapterName(1), 2, allInUse, start); step != placement.StepFull {
		t.Errorf("step %v for an adapter in use", step)
	}
	if step, _ := e.NextStep(adapterName(1), 2, noneInUse, start); step != placement.StepLoad {
		t.Errorf("step %v for an idle adapter", step)
	}
}

// modelEngine is a reference model of an engine: an unloading adapter keeps its
// slot until its requests have ended.
type modelEngine struct {
	sequence  uint64
	adapters  map[deployment.AdapterName]bool
	unloading map[deployment.AdapterName]bool
	running   map[deployment.AdapterName]int
	reports   []placement.Report
}

func (m *modelEngine) report() placement.Report {
	var adapters []deployment.Adapter
	for name := range m.adapters {
		adapters = append(adapters, deployment.Adapter{Name: name.Adapter})
	}
	return reportOf(m.sequence, adapters...)
}

func (m *modelEngine) finishUnloads() {
	for name := range m.unloading {
		if m.running[name] == 0 {
			delete(m.adapters, name)
			delete(m.unloading, name)
		}
	}
}

// TestEngineIsNeverOverfilled drives an Engine against a reference model with late
// reports, requests that are never reported, and orders that take effect although
// their answers are lost. The engine must never be ordered to hold more adapters
// than it has slots.
func TestEngineIsNeverOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelEngine{
			adapters:  map[deployment.AdapterName]bool{},
			unloading: map[deployment.AdapterName]bool{},
			running:   map[deployment.AdapterName]int{},
		}
		e := placement.Engine{Slots: testSlots}
		now := start
		e.ApplyReport(m.report(), now)
		name := rapid.Custom(func(t *rapid.T) deployment.AdapterName { return adapterName(rapid.IntRange(0, 7).Draw(t, "adapter")) })
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.finishUnloads()
			},
			"run":  func(t *rapid.T) { m.running[name.Draw(t, "name")]++ },
			"stop": func(t *rapid.T) { delete(m.running, name.Draw(t, "name")); m.finishUnloads() },
			"report": func(t *rapid.T) {
				m.reports = append(m.reports, m.report())
				e.ApplyReport(m.reports[len(m.reports)-1], now)
			},
			"load": func(t *rapid.T) {
				if !e.Synced() {
					return
				}
				wanted := name.Draw(t, "name")
				step, victim := e.NextStep(wanted, 0, noneInUse, now)
				if step == placement.StepUnload {
					orderUnload(t, m, &e, victim, now)
					return
				}
				if step == placement.StepLoad {
					orderLoad(t, m, &e, wanted, now)
				}
			},
			"": func(t *rapid.T) {
				if len(m.adapters) > testSlots {
					t.Fatalf("%d adapters in %d slots", len(m.adapters), testSlots)
				}
			},
		})
	})
}

func orderLoad(t *rapid.T, m *modelEngine, e *placement.Engine, name deployment.AdapterName, now time.Time) {
	if e.Sequence != m.sequence || len(m.unloading) > 0 {
		e.MarkStale()
		return
	}
	m.sequence++
	m.adapters[name] = true
	if rapid.Bool().Draw(t, "answer lost") {
		e.MarkStale()
		return
	}
	e.RecordLoad(name, 0, now)
}

func orderUnload(t *rapid.T, m *modelEngine, e *placement.Engine, name deployment.AdapterName, now time.Time) {
	if e.Sequence != m.sequence || len(m.unloading) > 0 {
		e.MarkStale()
		return
	}
	m.sequence++
	m.unloading[name] = true
	m.finishUnloads()
	if rapid.Bool().Draw(t, "answer lost") {
		e.MarkStale()
		return
	}
	e.RecordUnload(name, !m.unloading[name], now)
}
