package release_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherrelay/internal/propertytest"
	"heatherrelay/pkg/release"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { propertytest.Defaults{}.Main(m) }

// drawNote draws a note over few adapters, so that notes often change the same
// ones.
func drawNote(t *rapid.T) release.Note {
	names := rapid.SliceOfN(rapid.IntRange(0, 900), 0, 300)
	var note release.Note
	for _, i := range names.Draw(t, "added") {
		note.Adapters = append(note.Adapters, release.Adapter{Name: fmt.Sprintf("a%03d", i), Version: "1", BaseModel: fmt.Sprint(i)})
	}
	for _, i := range names.Draw(t, "withdrawn") {
		note.Withdraw.Adapters = append(note.Withdraw.Adapters, fmt.Sprintf("a%03d@1", i))
	}
	return note
}

// TestApplyMatchesPlainMap compares each state with a plain map after all notes
// have been applied. States share chunks, so an edit that changes a shared chunk
// in place would corrupt an earlier state.
func TestApplyMatchesPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []*release.State{{}}
		wants := []map[string]release.Adapter{{}}
		for range rapid.IntRange(1, 12).Draw(t, "notes") {
			note := drawNote(t)
			from := states[len(states)-1]
			want := maps.Clone(wants[len(wants)-1])
			for _, id := range note.Withdraw.Adapters {
				delete(want, id)
			}
			for _, a := range note.Adapters {
				want[a.ID()] = a
			}
			state, err := from.Apply(from.Number+1, note)
			if err != nil {
				t.Fatal(err)
			}
			states, wants = append(states, state), append(wants, want)
		}
		for i, s := range states {
			compare(t, s, wants[i])
		}
	})
}

func compare(t *rapid.T, s *release.State, want map[string]release.Adapter) {
	if s.AdapterCount() != len(want) {
		t.Fatalf("state %d has %d adapters, want %d", s.Number, s.AdapterCount(), len(want))
	}
	var ids []string
	cursor := ""
	for {
		page := s.AdaptersAfter(cursor, 100, "team")
		for _, a := range page {
			ids = append(ids, a.ID())
			if want[a.ID()].BaseModel != a.BaseModel {
				t.Fatalf("state %d: wrong value for %s", s.Number, a.ID())
			}
		}
		if len(page) < 100 {
			break
		}
		cursor = page[len(page)-1].ID()
	}
	if !slices.Equal(ids, slices.Sorted(maps.Keys(want))) {
		t.Fatalf("state %d: the pages list %d ids, want %d", s.Number, len(ids), len(want))
	}
	for id := range want {
		if _, ok := s.Adapter(id); !ok {
			t.Fatalf("state %d: %s not found", s.Number, id)
		}
	}
}

func TestApplyRefusesGapsAndRepeats(t *testing.T) {
	s, err := (&release.State{}).Apply(1, release.Note{})
	if err != nil {
		t.Fatal(err)
	}
	for _, number := range []uint64{0, 1, 3} {
		if _, err := s.Apply(number, release.Note{}); !release.ErrOrder.Has(err) {
			t.Errorf("note %d after note 1: got error %v, want ErrOrder", number, err)
		}
	}
}

func ExampleState_ServiceRoute() {
	note := release.Note{Routes: []release.Route{
		{Name: "lookups", Kind: release.ServiceRoute, Service: "dispatch", Methods: []string{"GET"}, Repeatable: true},
		{Name: "orders", Kind: release.ServiceRoute, Service: "dispatch"},
		{Name: "plans", Kind: release.ServiceRoute, Service: "dispatch", PathPrefix: "/plans", Class: release.Patient},
	}}
	s, err := (&release.State{}).Apply(1, note)
	if err != nil {
		panic(err)
	}
	for _, call := range [][2]string{{"GET", "/rounds"}, {"POST", "/orders"}, {"POST", "/plans/7"}, {"POST", "/plansheet"}} {
		r, _ := s.ServiceRoute("dispatch", call[0], call[1])
		fmt.Println(call[0], call[1], r.Name, r.Class)
	}
	// Output:
	// GET /rounds lookups interactive
	// POST /orders orders interactive
	// POST /plans/7 plans patient
	// POST /plansheet orders interactive
}
