package instance_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherrelay/internal/instance"
)

// simulatedZone is a zone in which each instance sees changes of the members with
// a delay, but changes of the groups at once, as through its watch.
type simulatedZone struct {
	groups  []instance.Group
	members []instance.Member
	// lastRefreshed holds the members that each instance last read, by instance ID.
	lastRefreshed map[string][]instance.Member
	moved         map[string]bool
	moves         int
}

func (w *simulatedZone) isLive(id string) bool {
	return slices.ContainsFunc(w.members, func(m instance.Member) bool { return m.ID == id })
}

// membersSeenBy returns the members that an instance plans with: the others as it
// last read them, and itself by its current state.
func (w *simulatedZone) membersSeenBy(self instance.Member) []instance.Member {
	members := slices.DeleteFunc(slices.Clone(w.lastRefreshed[self.ID]), func(m instance.Member) bool { return m.ID == self.ID })
	if w.isLive(self.ID) {
		members = append(members, self)
	}
	return members
}

func (w *simulatedZone) plan(self instance.Member) {
	moves := instance.Plan(instance.PlanInput{
		Self:    self,
		Members: w.membersSeenBy(self),
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

// TestGroupsDoNotMoveBackAndForth guards against groups that move back and forth
// between instances with different views of the members. Instances join and leave
// while the others see it with a delay. Between two refreshes of the members each
// group may move at most twice: to a new holder, and away from a leaving one.
func TestGroupsDoNotMoveBackAndForth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &simulatedZone{lastRefreshed: map[string][]instance.Member{}, moved: map[string]bool{}}
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
				rt.Fatalf("%d moves of %d groups between two refreshes of the members, want at most two a group", w.moves, len(w.groups))
			}
			for _, m := range all {
				w.lastRefreshed[m.ID] = slices.Clone(w.members)
			}
			clear(w.moved)
		}
	})
}
