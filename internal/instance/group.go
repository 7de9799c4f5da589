package instance

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// groupPrefix starts the keys of target groups.
const groupPrefix = "group/"

// GroupRecord is the stored form of a target group: who holds it, under which
// fencing number. It is written only at a handover, and each write raises the
// fencing number.
type GroupRecord struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Previous is the instance that held the group before; empty at the first time.
	Previous      string `json:"previous,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

// Group is a target group as last seen.
type Group struct {
	GroupRecord
	Name string
	// Version is the stored object's; zero when there is none yet.
	Version uint64
}

// groupName returns the name of a zone's group by number.
func groupName(zone string, number int) string {
	return fmt.Sprintf("%s/%04d", zone, number)
}

// groupOf returns the group that a target belongs to.
func groupOf(zone, targetID string, groups int) string {
	return groupName(zone, int(xxhash.Sum64String(targetID)%uint64(groups)))
}

func parseGroup(key string, value []byte, version uint64) (Group, error) {
	g := Group{Name: strings.TrimPrefix(key, groupPrefix), Version: version}
	if err := json.Unmarshal(value, &g.GroupRecord); err != nil {
		return Group{}, ErrInvalidRecord.New("%s: %v", key, err)
	}
	return g, nil
}

// Member is an instance of the zone that may hold groups.
type Member struct {
	ID          string
	Incarnation string
}

// PlanInput is what one instance knows when it decides about its zone's groups.
type PlanInput struct {
	Self Member
	// Members are the live, ready instances of the zone that are not leaving.
	Members []Member
	// Groups are all groups of the zone, also those that nobody ever held.
	Groups []Group
	// Settled reports whether a group has not moved since the members were read.
	// Only then is it handed over.
	Settled func(group string) bool
	// Dead reports whether a holder's lease has lapsed.
	Dead func(holder, incarnation string) bool
}

// Move is a decision to write a group's record.
type Move struct {
	Group Group
	To    Member
}

// Plan decides which records an instance writes now: it takes groups whose
// holder is dead and that are due to it, and hands over its own that are due to
// another. Instances that see the same members plan alike, and the conditional
// write settles the rest.
func Plan(in PlanInput) []Move {
	due := assign(in.Members, in.Groups)
	var moves []Move
	for i, g := range in.Groups {
		to, ok := due[i], due[i].ID != ""
		mine := g.Holder == in.Self.ID && g.Incarnation == in.Self.Incarnation
		vacant := g.Holder == "" || (!mine && in.Dead(g.Holder, g.Incarnation))
		switch {
		case !ok:
			continue
		case vacant && to == in.Self:
			moves = append(moves, Move{Group: g, To: to})
		case mine && to != in.Self && in.Settled(g.Name):
			moves = append(moves, Move{Group: g, To: to})
		}
	}
	return moves
}

// assign gives each group to the member that scores highest for it among those
// that have not their even share yet.
func assign(members []Member, groups []Group) []Member {
	due := make([]Member, len(groups))
	if len(members) == 0 {
		return due
	}
	share := (len(groups) + len(members) - 1) / len(members)
	held := map[string]int{}
	for i, g := range groups {
		ranked := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
			return cmp.Or(cmp.Compare(score(b.ID, g.Name), score(a.ID, g.Name)), cmp.Compare(a.ID, b.ID))
		})
		for _, m := range ranked {
			if held[m.ID] < share {
				due[i] = m
				held[m.ID]++
				break
			}
		}
	}
	return due
}

func score(member, group string) uint64 {
	return xxhash.Sum64String(member + "\x00" + group)
}
