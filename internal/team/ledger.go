package team

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
)

// TotalParts is the number of parts that a whole rate and burst is divided
// into.
const TotalParts = 1_000_000_000

// reclaimMarginReleases is added to the release number of the instance that
// reclaims parts, since the previous owner may have been ahead by as many
// releases.
const reclaimMarginReleases = 16

// maxDonors limits how many members are marked to cede parts to one new member,
// and so the number of writes per join.
const maxDonors = 8

// Ledger records which member owns which parts of all allowances. The root
// ledger divides all parts among zones, and each zone's ledger divides the
// zone's parts among its instances. A ledger is changed only by conditional
// writes. Except for changes of a zone's total, every change moves parts
// between a member and the free pool, so the sum of parts stays the same. A
// member receives parts only from the free pool, and parts enter the pool only
// after a member has reduced its spending.
type Ledger struct {
	Members []Member `json:"members"`
	Free    Parts    `json:"free"`
	// RootVersion is the version of the root ledger against which the zone's
	// total was last changed. A zone's total may be raised only against a later
	// version.
	RootVersion uint64 `json:"root_version,omitempty"`
}

// Member is an instance in a zone's ledger, or a zone in the root ledger.
type Member struct {
	ID string `json:"id"`
	// Teams and Loads are the parts that the member owns of the teams' and of
	// the weight store's allowances, out of TotalParts.
	Teams int64 `json:"teams"`
	Loads int64 `json:"loads"`
	// CedeTeams and CedeLoads are the parts that the member must give up.
	CedeTeams int64 `json:"cede_teams,omitempty"`
	CedeLoads int64 `json:"cede_loads,omitempty"`
	// HeldThrough is the latest release that a previous owner of a part may
	// have had in force; see Claim.HeldThrough.
	HeldThrough uint64 `json:"since"`
}

// Claim returns what the member may spend, without the parts it must cede.
func (m Member) Claim() Claim {
	return Claim{
		Teams:       float64(m.Teams-m.CedeTeams) / TotalParts,
		Loads:       float64(m.Loads-m.CedeLoads) / TotalParts,
		HeldThrough: m.HeldThrough,
	}
}

// Parts holds parts that no member spends, with the balances carried over from
// their previous owners. It describes a pool, or a move between a pool and a
// member.
type Parts struct {
	Teams       int64  `json:"teams"`
	Loads       int64  `json:"loads"`
	HeldThrough uint64 `json:"since"`
	CarryOver
}

// CarryOver holds balances carried over from a previous owner of parts, and the
// number of the release that they were counted under.
type CarryOver struct {
	Balances Balances `json:"balances,omitempty"`
	Release  uint64   `json:"release,omitempty"`
}

// AddBalances merges other into c. If the two belong to different releases,
// only the balances of the later one are kept.
func (c *CarryOver) AddBalances(other CarryOver) {
	if len(other.Balances) == 0 || other.Release < c.Release {
		return
	}
	if other.Release > c.Release {
		*c = CarryOver{Release: other.Release}
	}
	c.Balances = c.Balances.merge(other.Balances)
}

// ParseLedger decodes a stored ledger. Errors belong to ErrLedger.
func ParseLedger(value []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, ErrLedger.Wrap(err)
	}
	return l, nil
}

// Marshal encodes the ledger for the store. Errors belong to ErrLedger.
func (l *Ledger) Marshal() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, ErrLedger.Wrap(err)
}

// Clone returns a deep copy.
func (l *Ledger) Clone() Ledger {
	clone := *l
	clone.Members = slices.Clone(l.Members)
	clone.Free.Balances = maps.Clone(l.Free.Balances)
	return clone
}

// Find returns the member with the id, or nil.
func (l *Ledger) Find(id string) *Member {
	for i := range l.Members {
		if l.Members[i].ID == id {
			return &l.Members[i]
		}
	}
	return nil
}

// TotalTeams returns the parts of the teams' allowances in the ledger, pool
// included.
func (l *Ledger) TotalTeams() int64 {
	total := l.Free.Teams
	for _, m := range l.Members {
		total += m.Teams
	}
	return total
}

// TotalLoads returns the parts of the weight store's allowances in the ledger,
// pool included.
func (l *Ledger) TotalLoads() int64 {
	total := l.Free.Loads
	for _, m := range l.Members {
		total += m.Loads
	}
	return total
}

// Join adds a member without parts. It returns false if the member exists.
func (l *Ledger) Join(id string) bool {
	if l.Find(id) != nil {
		return false
	}
	l.Members = append(l.Members, Member{ID: id, HeldThrough: math.MaxUint64})
	return true
}

// Deposit adds parts to the pool.
func (l *Ledger) Deposit(p Parts) {
	if l.Free.Teams == 0 && l.Free.Loads == 0 {
		l.Free.HeldThrough = p.HeldThrough
	}
	l.Free.HeldThrough = max(l.Free.HeldThrough, p.HeldThrough)
	l.Free.Teams += p.Teams
	l.Free.Loads += p.Loads
	l.Free.AddBalances(p.CarryOver)
}

// Withdraw removes parts from the pool, with a proportional amount of its
// balances.
func (l *Ledger) Withdraw(teams, loads int64) Parts {
	withdrawn := Parts{Teams: teams, Loads: loads, HeldThrough: l.Free.HeldThrough, CarryOver: CarryOver{Release: l.Free.Release}}
	for name, tokens := range l.Free.Balances {
		fraction := float64(teams) / float64(max(1, l.Free.Teams))
		if name == LoadRate {
			fraction = float64(loads) / float64(max(1, l.Free.Loads))
		}
		if moved := fraction * tokens; moved > 0 {
			withdrawn.Balances = withdrawn.Balances.add(name, moved)
			l.Free.Balances[name] -= moved
		}
		if l.Free.Balances[name] <= 0 {
			delete(l.Free.Balances, name)
		}
	}
	l.Free.Teams -= teams
	l.Free.Loads -= loads
	return withdrawn
}

// AssignFree moves parts from the pool to a member until it has a fair part (the
// ledger's total divided by the number of members), or all free parts if no
// other member has less than that. It returns false if there is nothing to move
// or the member must cede parts itself. With undividedLoads, as in a zone's
// ledger, the weight store's free parts all go to one member, since a load
// needs a whole token.
func (l *Ledger) AssignFree(id string, undividedLoads bool) (Parts, bool) {
	m := l.Find(id)
	if m == nil || m.CedeTeams > 0 || m.CedeLoads > 0 {
		return Parts{}, false
	}
	n := int64(len(l.Members))
	teams := min(l.Free.Teams, l.assignable(id, l.TotalTeams()/n, teamParts))
	loads := l.Free.Loads
	if !undividedLoads {
		loads = min(l.Free.Loads, l.assignable(id, l.TotalLoads()/n, loadParts))
	}
	if teams <= 0 && loads <= 0 {
		return Parts{}, false
	}
	assigned := l.Withdraw(max(0, teams), max(0, loads))
	if m.Teams == 0 && m.Loads == 0 {
		m.HeldThrough = assigned.HeldThrough
	}
	m.HeldThrough = max(m.HeldThrough, assigned.HeldThrough)
	m.Teams += assigned.Teams
	m.Loads += assigned.Loads
	return assigned, true
}

// assignable returns how many parts a member may take: what it lacks for a fair
// part, or no limit if no other member is below the fair part.
func (l *Ledger) assignable(id string, fair int64, kind partKind) int64 {
	for i := range l.Members {
		if parts, _ := kind(&l.Members[i]); l.Members[i].ID != id && *parts < fair {
			held, _ := kind(l.Find(id))
			return fair - *held
		}
	}
	return TotalParts
}

// NeedsAction reports whether the member has a step to take: it is missing from
// the ledger, must cede parts, or is entitled to free parts.
func (l *Ledger) NeedsAction(id string) bool {
	m := l.Find(id)
	if m == nil || m.CedeTeams > 0 || m.CedeLoads > 0 {
		return true
	}
	n := int64(len(l.Members))
	return l.Free.Teams > 0 && m.Teams <= l.TotalTeams()/n || l.Free.Loads > 0 && m.Loads <= l.TotalLoads()/n
}

// RequestFairPart marks the members with the most parts to cede what the member
// lacks for a fair part, and reports whether it marked any. With undividedLoads
// it requests no parts of the weight store's allowances.
func (l *Ledger) RequestFairPart(id string, undividedLoads bool) bool {
	m := l.Find(id)
	if m == nil {
		return false
	}
	n := int64(len(l.Members))
	teams := l.markDonors(id, l.TotalTeams()/n-m.Teams-l.Free.Teams, l.TotalTeams()/n, teamParts)
	if undividedLoads {
		return teams
	}
	loads := l.markDonors(id, l.TotalLoads()/n-m.Loads-l.Free.Loads, l.TotalLoads()/n, loadParts)
	return teams || loads
}

// RequestParts marks members to cede the given parts in total to another zone,
// and reports whether it marked any.
func (l *Ledger) RequestParts(teams, loads int64) bool {
	teamsRequested := l.markDonors("", teams, 0, teamParts)
	loadsRequested := l.markDonors("", loads, 0, loadParts)
	return teamsRequested || loadsRequested
}

// partKind selects a member's parts, and the parts it must cede, of one kind.
type partKind func(m *Member) (parts, cede *int64)

func teamParts(m *Member) (parts, cede *int64) { return &m.Teams, &m.CedeTeams }
func loadParts(m *Member) (parts, cede *int64) { return &m.Loads, &m.CedeLoads }

// markDonors marks up to maxDonors members to cede the deficit, and reports
// whether it marked any. A deficit of at most a quarter of the fair part is
// left to transfers.
func (l *Ledger) markDonors(id string, deficit, fair int64, kind partKind) bool {
	var donors []*Member
	for i := range l.Members {
		m := &l.Members[i]
		parts, cede := kind(m)
		deficit -= *cede
		if m.ID != id && *parts-*cede > fair/2 {
			donors = append(donors, m)
		}
	}
	if deficit <= fair/4 || len(donors) == 0 {
		return false
	}
	slices.SortFunc(donors, func(a, b *Member) int {
		x, _ := kind(a)
		y, _ := kind(b)
		return int(*y - *x)
	})
	donors = donors[:min(len(donors), maxDonors)]
	for i, m := range donors {
		parts, cede := kind(m)
		ceded := min(deficit/int64(len(donors)-i), *parts-*cede-fair/2)
		*cede += ceded
		deficit -= ceded
	}
	return true
}

// Cede moves the parts that a member must cede to the pool, with the
// carried-over balances. The member must have stopped spending them.
func (l *Ledger) Cede(id string, release uint64, carryOver CarryOver) {
	m := l.Find(id)
	if m == nil {
		return
	}
	l.Deposit(Parts{Teams: m.CedeTeams, Loads: m.CedeLoads, HeldThrough: max(m.HeldThrough, release), CarryOver: carryOver})
	m.Teams -= m.CedeTeams
	m.Loads -= m.CedeLoads
	m.CedeTeams, m.CedeLoads = 0, 0
}

// Remove removes a member and moves its parts to the pool.
func (l *Ledger) Remove(id string, release uint64, carryOver CarryOver) {
	m := l.Find(id)
	if m == nil {
		return
	}
	if m.Teams > 0 || m.Loads > 0 {
		l.Deposit(Parts{Teams: m.Teams, Loads: m.Loads, HeldThrough: max(m.HeldThrough, release), CarryOver: carryOver})
	}
	l.Members = slices.DeleteFunc(l.Members, func(m Member) bool { return m.ID == id })
}
