package instance_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherrelay/internal/instance"
)

// planWorld is a zone in which each instance sees the members late, but the
// groups at once, as their watch tells them.
type planWorld struct {
	groups  []instance.Group
	members []instance.Member
	// seen is what each instance last read of the others.
	seen  map[string][]instance.Member
	moved map[string]bool
	moves int
}

func (w *planWorld) live(id string) bool {
	return slices.ContainsFunc(w.members, func(m instance.Member) bool { return m.ID == id })
}

// view is what an instance plans with: the others as last read, itself as it is.
func (w *planWorld) view(self instance.Member) []instance.Member {
	members := slices.DeleteFunc(slices.Clone(w.seen[self.ID]), func(m instance.Member) bool { return m.ID == self.ID })
	if w.live(self.ID) {
		members = append(members, self)
	}
	return members
}

func (w *planWorld) plan(self instance.Member) {
	moves := instance.Plan(instance.PlanInput{
		Self:    self,
		Members: w.view(self),
		Groups:  w.groups,
		Settled: func(group string) bool { return !w.moved[group] },
		Dead:    func(holder, _ string) bool { return false },
	})
	for _, m := range moves {
		for i := range w.groups {
			if w.groups[i].Name != m.Group.Name {
				continue
			}
			w.groups[i].GroupRecord = instance.GroupRecord{Holder: m.To.ID, Incarnation: m.To.Incarnation, FencingNumber: m.Group.FencingNumber + 1}
			w.moved[m.Group.Name] = true
			w.moves++
		}
	}
}

// TestGroupsDoNotMoveBackAndForth lets instances come and go while the others
// see it late. Between two readings of the members each group moves at most
// twice: to a new holder, and out of the hands of one that leaves.
func TestGroupsDoNotMoveBackAndForth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &planWorld{seen: map[string][]instance.Member{}, moved: map[string]bool{}}
		all := make([]instance.Member, rapid.IntRange(2, 4).Draw(rt, "instances"))
		for i := range all {
			all[i] = instance.Member{ID: fmt.Sprintf("i%d", i), Incarnation: "x"}
		}
		for i := range rapid.IntRange(1, 6).Draw(rt, "groups") {
			w.groups = append(w.groups, instance.Group{Name: fmt.Sprintf("zone/%04d", i)})
		}
		for range 4 {
			w.members = nil
			for _, m := range all {
				if rapid.Bool().Draw(rt, "live") {
					w.members = append(w.members, m)
				}
			}
			w.moves = 0
			for range 20 {
				w.plan(all[rapid.IntRange(0, len(all)-1).Draw(rt, "planner")])
			}
			if w.moves > 2*len(w.groups) {
				rt.Fatalf("%d moves of %d groups between two readings of the members", w.moves, len(w.groups))
			}
			for _, m := range all {
				w.seen[m.ID] = slices.Clone(w.members)
			}
			clear(w.moved)
		}
	})
}
