package adapter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
)

// targetInfo describes test target i.
func targetInfo(i int) adapter.TargetInfo {
	return adapter.TargetInfo{
		ID: fmt.Sprintf("e%03d", i), Zone: "silom", BaseModel: "m", Slots: 16, Capacity: 16, Usable: true,
	}
}

// viewModel pairs a view with a reference model of it: plain maps without indexes.
type viewModel struct {
	view      *adapter.View
	infos     map[string]adapter.TargetInfo
	residents map[string][]adapter.ID
}

func (m *viewModel) target(t *rapid.T) string {
	return targetInfo(rapid.IntRange(0, 4).Draw(t, "target")).ID
}

func (m *viewModel) adapter(t *rapid.T) adapter.ID {
	return adapterID(rapid.IntRange(0, 4).Draw(t, "adapter"))
}

func (m *viewModel) set(t *rapid.T) {
	info := targetInfo(rapid.IntRange(0, 4).Draw(t, "target"))
	info.BaseModel = rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
	info.Usable = rapid.Bool().Draw(t, "usable")
	m.view.SetTarget(info)
	m.infos[info.ID] = info
}

func (m *viewModel) setResident(t *rapid.T) {
	id := m.target(t)
	var ids []adapter.ID
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID).Draw(t, "adapters") {
		ids = append(ids, adapterID(i))
	}
	m.view.SetResident(id, ids)
	if _, ok := m.infos[id]; ok {
		m.residents[id] = ids
	}
}

func (m *viewModel) addResident(t *rapid.T) {
	id, a := m.target(t), m.adapter(t)
	m.view.AddResident(id, a)
	if _, ok := m.infos[id]; ok && !slices.Contains(m.residents[id], a) {
		m.residents[id] = append(slices.Clone(m.residents[id]), a)
	}
}

func (m *viewModel) removeResident(t *rapid.T) {
	id, a := m.target(t), m.adapter(t)
	m.view.RemoveResident(id, a)
	m.residents[id] = slices.DeleteFunc(slices.Clone(m.residents[id]), func(r adapter.ID) bool { return r == a })
}

func (m *viewModel) remove(t *rapid.T) {
	id := m.target(t)
	m.view.RemoveTarget(id)
	delete(m.infos, id)
	delete(m.residents, id)
}

func (m *viewModel) setLoad(t *rapid.T) {
	m.view.SetLoad(m.target(t), adapter.TargetLoad{
		QueuedTokens: rapid.IntRange(0, 50_000).Draw(t, "queued"),
		Running:      rapid.IntRange(0, 16).Draw(t, "running"),
	})
}

func (m *viewModel) choose(t *rapid.T) {
	request := &adapter.RouteRequest{Adapter: m.adapter(t), BaseModel: "m", Tokens: 100}
	if rapid.Bool().Draw(t, "exclude") {
		request.Exclude = m.target(t)
	}
	usable := 0
	for id, info := range m.infos {
		if info.Usable && info.BaseModel == "m" && id != request.Exclude {
			usable++
		}
	}
	got, ok := (&adapter.Router{}).Choose(request, m.view, start)
	if ok != (usable > 0) {
		t.Fatalf("Choose() = %v with %d usable targets", ok, usable)
	}
	if info := m.infos[got]; ok && (!info.Usable || info.BaseModel != "m" || got == request.Exclude) {
		t.Fatalf("Choose() = %q: %+v", got, info)
	}
}

func (m *viewModel) check(t *rapid.T) {
	for i := range 5 {
		copies := 0
		for id, residents := range m.residents {
			holds := slices.Contains(residents, adapterID(i))
			if m.view.IsResident(id, adapterID(i)) != holds {
				t.Fatalf("IsResident(%s, %v) = %v", id, adapterID(i), !holds)
			}
			if holds {
				copies++
			}
		}
		if got := m.view.CopyCount(adapterID(i)); got != copies {
			t.Fatalf("CopyCount(%v) = %d, want %d", adapterID(i), got, copies)
		}
	}
}

func TestViewMatchesReferenceModelAndRouterChoosesUsableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &viewModel{
			view: &adapter.View{}, infos: map[string]adapter.TargetInfo{}, residents: map[string][]adapter.ID{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": m.set, "set_resident": m.setResident, "add_resident": m.addResident,
			"remove_resident": m.removeResident, "remove": m.remove, "set_load": m.setLoad,
			"choose": m.choose, "": m.check,
		})
	})
}

func TestRouterPrefersAResidentCopy(t *testing.T) {
	view := &adapter.View{}
	for i := range 4 {
		view.SetTarget(targetInfo(i))
	}
	router := &adapter.Router{}
	for i := range 100 {
		id := adapterID(i)
		holder := targetInfo(i % 4).ID
		view.AddResident(holder, id)
		if got, _ := router.Choose(&adapter.RouteRequest{Adapter: id, BaseModel: "m"}, view, start); got != holder {
			t.Errorf("Choose(%v) = %s, but the adapter is resident on %s", id, got, holder)
		}
	}
}

func TestRouterMovesOnlyTheAdaptersOfALostTarget(t *testing.T) {
	view := &adapter.View{}
	for i := range 12 {
		view.SetTarget(targetInfo(i))
	}
	router := &adapter.Router{}
	before := map[int]string{}
	for i := range 1000 {
		before[i], _ = router.Choose(&adapter.RouteRequest{Adapter: adapterID(i), BaseModel: "m"}, view, start)
	}
	lost := targetInfo(5).ID
	view.RemoveTarget(lost)
	for i := range 1000 {
		after, _ := router.Choose(&adapter.RouteRequest{Adapter: adapterID(i), BaseModel: "m"}, view, start)
		if before[i] != lost && after != before[i] {
			t.Errorf("adapter %d moved from %s to %s", i, before[i], after)
		}
	}
}

func TestRouterSpreadsAdaptersEvenly(t *testing.T) {
	const targets, perTarget = 50, 400
	view := &adapter.View{}
	for i := range targets {
		view.SetTarget(targetInfo(i))
	}
	count := map[string]int{}
	for i := range targets * perTarget {
		id, _ := (&adapter.Router{}).Choose(&adapter.RouteRequest{Adapter: adapterID(i), BaseModel: "m"}, view, start)
		count[id]++
	}
	// Five standard deviations (20 each) of a count with mean 400.
	const bound = 5 * 20
	for i := range targets {
		if n := count[targetInfo(i).ID]; n < perTarget-bound || n > perTarget+bound {
			t.Errorf("%s has %d adapters, want %d within %d", targetInfo(i).ID, n, perTarget, bound)
		}
	}
}

// A second copy is placed only if the wait at the existing one is much longer than
// elsewhere. If all targets are equally busy, another copy would cost a load and
// shorten no wait.
func TestRouterAddsACopyOnlyWhereTheWaitIsMuchShorter(t *testing.T) {
	for _, test := range []struct {
		name                string
		copyLoad, otherLoad int
		wantOtherTarget     bool
	}{
		{"all idle", 0, 0, false},
		{"copy busy, others idle", 50_000, 0, true},
		{"all equally busy", 50_000, 50_000, false},
		{"copy slightly busier", 60_000, 50_000, false},
	} {
		view := &adapter.View{}
		for i := range 4 {
			view.SetTarget(targetInfo(i))
			view.SetLoad(targetInfo(i).ID, adapter.TargetLoad{QueuedTokens: test.otherLoad})
		}
		view.AddResident("e000", adapterID(1))
		view.SetLoad("e000", adapter.TargetLoad{QueuedTokens: test.copyLoad})
		got, _ := (&adapter.Router{}).Choose(&adapter.RouteRequest{Adapter: adapterID(1), BaseModel: "m"}, view, start)
		if (got != "e000") != test.wantOtherTarget {
			t.Errorf("%s: Choose() = %s", test.name, got)
		}
	}
}

func ExampleRouter() {
	view := &adapter.View{}
	view.SetTarget(targetInfo(1))
	view.SetTarget(targetInfo(2))
	view.SetResident("e002", []adapter.ID{adapterID(7)})
	router := &adapter.Router{}
	target, ok := router.Choose(&adapter.RouteRequest{Adapter: adapterID(7), BaseModel: "m"}, view, time.Time{})
	fmt.Println(target, ok)
	// Output: e002 true
}
