package instance

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// groupPrefix is the key prefix of the target group records in the store.
const groupPrefix = "group/"

// GroupRecord is the stored record of a target group: its holder and fencing
// number. It is written only when the group changes hands, and each write
// increments the fencing number.
type GroupRecord struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Previous is the ID of the previous holder; empty for the first holder.
	Previous      string `json:"previous,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

// Group is a target group with its record as last read.
type Group struct {
	GroupRecord
	Name string
	// Version is the store version of the record; zero if it is not known or the
	// record does not exist yet.
	Version uint64
}

// groupName returns the name of the group with the given number in a zone.
func groupName(zone string, number int) string {
	return fmt.Sprintf("%s/%04d", zone, number)
}

// groupOf returns the name of the group that a target belongs to, where groups
// is the number of groups of the zone.
func groupOf(zone, targetID string, groups int) string {
	return groupName(zone, int(xxhash.Sum64String(targetID)%uint64(groups)))
}

// parseGroup parses a stored group record. It returns an error of class
// ErrInvalidRecord if the value is not valid JSON.
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

// PlanInput is the state from which an instance plans the moves of its zone's groups.
type PlanInput struct {
	Self Member
	// Members are the live, ready instances of the zone that are not leaving.
	Members []Member
	// Groups are all groups of the zone, including those that never had a holder.
	Groups []Group
	// Settled reports whether a group has not changed hands since the members were
	// read. Only settled groups are handed over.
	Settled func(group string) bool
	// Dead reports whether an incarnation of a holder no longer has a valid lease.
	Dead func(holder, incarnation string) bool
}

// Move is a planned write that makes To the holder of Group.
type Move struct {
	Group Group
	To    Member
}

// Plan returns the moves that this instance should make. It acquires the groups
// that are assigned to it and have no holder or a dead one, and hands over the
// settled groups that it holds and that are assigned to another member.
// Instances with the same members compute the same assignment; if their members
// differ, the conditional write lets only one of two conflicting moves succeed.
func Plan(in PlanInput) []Move {
	assigned := assign(in.Members, in.Groups)
	var moves []Move
	for i, g := range in.Groups {
		to, ok := assigned[i], assigned[i].ID != ""
		held := g.Holder == in.Self.ID && g.Incarnation == in.Self.Incarnation
		vacant := g.Holder == "" || (!held && in.Dead(g.Holder, g.Incarnation))
		switch {
		case !ok:
			continue
		case vacant && to == in.Self:
			moves = append(moves, Move{Group: g, To: to})
		case held && to != in.Self && in.Settled(g.Name):
			moves = append(moves, Move{Group: g, To: to})
		}
	}
	return moves
}

// assign returns the member for each group, by rendezvous hashing with a bound:
// the member with the highest score that has fewer than its even share of groups.
// Without members all results are zero.
func assign(members []Member, groups []Group) []Member {
	assigned := make([]Member, len(groups))
	if len(members) == 0 {
		return assigned
	}
	maxGroups := (len(groups) + len(members) - 1) / len(members)
	counts := map[string]int{}
	for i, g := range groups {
		ranked := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
			return cmp.Or(cmp.Compare(score(b.ID, g.Name), score(a.ID, g.Name)), cmp.Compare(a.ID, b.ID))
		})
		for _, m := range ranked {
			if counts[m.ID] < maxGroups {
				assigned[i] = m
				counts[m.ID]++
				break
			}
		}
	}
	return assigned
}

// score returns the rendezvous hash of a member for a group.
func score(member, group string) uint64 {
	return xxhash.Sum64String(member + "\x00" + group)
}
