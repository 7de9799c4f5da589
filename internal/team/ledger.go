package team

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
)

// TotalParts is the whole of a rate and burst; ledgers count in parts of it.
const TotalParts = 1_000_000_000

// reclaimMarginReleases is added to the release of whoever reclaims a part: the
// holder that is gone may have been ahead by as much.
const reclaimMarginReleases = 16

// maxDonors bounds the members that are asked to cede to one newcomer, and so
// the writes of a join.
const maxDonors = 8

// Ledger says who owns which parts of all allowances. One ledger splits the
// whole among zones; each zone's ledger splits the zone's part among its
// instances. A ledger changes only by conditional writes, and every change but
// those of a zone's total moves parts between a member and the free pool, so
// the sum of parts stays the same. A member grows only out of the free pool,
// and the pool grows only after a member spends less.
type Ledger struct {
	Members []Member `json:"members"`
	Free    Grant    `json:"free"`
	// RootVersion is the version of the root ledger that the zone's total was
	// last changed against. A zone's total may be raised only on a later version.
	RootVersion uint64 `json:"root_version,omitempty"`
}

// Member is an instance in a zone's ledger, or a zone in the root ledger.
type Member struct {
	ID    string `json:"id"`
	Teams int64  `json:"teams"`
	Loads int64  `json:"loads"`
	// CedeTeams and CedeLoads are what the member is asked to give up.
	CedeTeams int64 `json:"cede_teams,omitempty"`
	CedeLoads int64 `json:"cede_loads,omitempty"`
	// Since is the last release that an earlier holder of a part may have had.
	Since uint64 `json:"since"`
}

// Claim returns what the member may spend; what it is asked to cede is not in it.
func (m Member) Claim() Claim {
	return Claim{
		Teams: float64(m.Teams-m.CedeTeams) / TotalParts,
		Loads: float64(m.Loads-m.CedeLoads) / TotalParts,
		Since: m.Since,
	}
}

// Grant is parts that nobody spends, with the balances that were handed on: a
// pool, or what moves between a pool and a member.
type Grant struct {
	Teams int64  `json:"teams"`
	Loads int64  `json:"loads"`
	Since uint64 `json:"since"`
	Handed
}

// Handed is balances on their way, and the release that they were counted under.
type Handed struct {
	Balances Balances `json:"balances,omitempty"`
	Release  uint64   `json:"release,omitempty"`
}

// Add puts more balances in. Of two releases the later one's stay.
func (h *Handed) Add(other Handed) {
	if len(other.Balances) == 0 || other.Release < h.Release {
		return
	}
	if other.Release > h.Release {
		*h = Handed{Release: other.Release}
	}
	h.Balances = h.Balances.merge(other.Balances)
}

// ParseLedger reads a ledger's stored form.
func ParseLedger(value []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, ErrLedger.Wrap(err)
	}
	return l, nil
}

// Marshal returns the stored form.
func (l *Ledger) Marshal() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, ErrLedger.Wrap(err)
}

// Clone returns a copy that shares nothing.
func (l *Ledger) Clone() Ledger {
	c := *l
	c.Members = slices.Clone(l.Members)
	c.Free.Balances = maps.Clone(l.Free.Balances)
	return c
}

// Find returns the member, or nil.
func (l *Ledger) Find(id string) *Member {
	for i := range l.Members {
		if l.Members[i].ID == id {
			return &l.Members[i]
		}
	}
	return nil
}

// TotalTeams returns the sum of all parts of the teams' allowances.
func (l *Ledger) TotalTeams() int64 {
	total := l.Free.Teams
	for _, m := range l.Members {
		total += m.Teams
	}
	return total
}

// TotalLoads returns the sum of all parts of the weight store's allowances.
func (l *Ledger) TotalLoads() int64 {
	total := l.Free.Loads
	for _, m := range l.Members {
		total += m.Loads
	}
	return total
}

// Join adds a member without parts and reports whether it was absent.
func (l *Ledger) Join(id string) bool {
	if l.Find(id) != nil {
		return false
	}
	l.Members = append(l.Members, Member{ID: id, Since: math.MaxUint64})
	return true
}

// Deposit puts parts into the pool.
func (l *Ledger) Deposit(g Grant) {
	if l.Free.Teams == 0 && l.Free.Loads == 0 {
		l.Free.Since = g.Since
	}
	l.Free.Since = max(l.Free.Since, g.Since)
	l.Free.Teams += g.Teams
	l.Free.Loads += g.Loads
	l.Free.Add(g.Handed)
}

// Withdraw takes parts out of the pool, with their share of its balances.
func (l *Ledger) Withdraw(teams, loads int64) Grant {
	g := Grant{Teams: teams, Loads: loads, Since: l.Free.Since, Handed: Handed{Release: l.Free.Release}}
	for name, tokens := range l.Free.Balances {
		part := float64(teams) / float64(max(1, l.Free.Teams))
		if name == LoadRate {
			part = float64(loads) / float64(max(1, l.Free.Loads))
		}
		if moved := part * tokens; moved > 0 {
			g.Balances = g.Balances.add(name, moved)
			l.Free.Balances[name] -= moved
		}
		if l.Free.Balances[name] <= 0 {
			delete(l.Free.Balances, name)
		}
	}
	l.Free.Teams -= teams
	l.Free.Loads -= loads
	return g
}

// Take moves free parts to a member, up to a fair part; what no other member
// lacks goes to it as well. The weight store's parts stay together in a zone's
// ledger (whole), since one load needs a whole token.
func (l *Ledger) Take(id string, whole bool) (Grant, bool) {
	m := l.Find(id)
	if m == nil || m.CedeTeams > 0 || m.CedeLoads > 0 {
		return Grant{}, false
	}
	n := int64(len(l.Members))
	teams := min(l.Free.Teams, l.room(id, l.TotalTeams()/n, teamColumn))
	loads := l.Free.Loads
	if !whole {
		loads = min(l.Free.Loads, l.room(id, l.TotalLoads()/n, loadColumn))
	}
	if teams <= 0 && loads <= 0 {
		return Grant{}, false
	}
	g := l.Withdraw(max(0, teams), max(0, loads))
	if m.Teams == 0 && m.Loads == 0 {
		m.Since = g.Since
	}
	m.Since = max(m.Since, g.Since)
	m.Teams += g.Teams
	m.Loads += g.Loads
	return g, true
}

// room returns how much a member may take: up to the fair part, or everything
// when no other member is below the fair part.
func (l *Ledger) room(id string, fair int64, c column) int64 {
	for i := range l.Members {
		if parts, _ := c(&l.Members[i]); l.Members[i].ID != id && *parts < fair {
			own, _ := c(l.Find(id))
			return fair - *own
		}
	}
	return TotalParts
}

// Concerns reports whether the member has a step to take: it is missing, asked to
// cede, or the one to take what is free.
func (l *Ledger) Concerns(id string) bool {
	m := l.Find(id)
	if m == nil || m.CedeTeams > 0 || m.CedeLoads > 0 {
		return true
	}
	n := int64(len(l.Members))
	return l.Free.Teams > 0 && m.Teams <= l.TotalTeams()/n || l.Free.Loads > 0 && m.Loads <= l.TotalLoads()/n
}

// Ask marks the richest members to cede what the member lacks for a fair part,
// and reports whether it marked any.
func (l *Ledger) Ask(id string, whole bool) bool {
	m := l.Find(id)
	if m == nil {
		return false
	}
	n := int64(len(l.Members))
	teams := l.mark(id, l.TotalTeams()/n-m.Teams-l.Free.Teams, l.TotalTeams()/n, teamColumn)
	if whole {
		return teams
	}
	loads := l.mark(id, l.TotalLoads()/n-m.Loads-l.Free.Loads, l.TotalLoads()/n, loadColumn)
	return teams || loads
}

// AskAll marks members to cede so much together, for another zone.
func (l *Ledger) AskAll(teams, loads int64) bool {
	teamsAsked := l.mark("", teams, 0, teamColumn)
	loadsAsked := l.mark("", loads, 0, loadColumn)
	return teamsAsked || loadsAsked
}

// column is one kind of parts of a member.
type column func(m *Member) (parts, cede *int64)

func teamColumn(m *Member) (parts, cede *int64) { return &m.Teams, &m.CedeTeams }
func loadColumn(m *Member) (parts, cede *int64) { return &m.Loads, &m.CedeLoads }

// mark asks up to maxDonors members for the deficit. A deficit under a quarter
// of the fair part is left to transfers.
func (l *Ledger) mark(id string, deficit, fair int64, c column) bool {
	var donors []*Member
	for i := range l.Members {
		m := &l.Members[i]
		parts, cede := c(m)
		deficit -= *cede
		if m.ID != id && *parts-*cede > fair/2 {
			donors = append(donors, m)
		}
	}
	if deficit <= fair/4 || len(donors) == 0 {
		return false
	}
	slices.SortFunc(donors, func(a, b *Member) int {
		x, _ := c(a)
		y, _ := c(b)
		return int(*y - *x)
	})
	donors = donors[:min(len(donors), maxDonors)]
	for i, m := range donors {
		parts, cede := c(m)
		piece := min(deficit/int64(len(donors)-i), *parts-*cede-fair/2)
		*cede += piece
		deficit -= piece
	}
	return true
}

// Cede moves what a member was asked for to the pool, with the balances that it
// hands on. The member must have stopped spending it.
func (l *Ledger) Cede(id string, release uint64, handed Handed) {
	m := l.Find(id)
	if m == nil {
		return
	}
	l.Deposit(Grant{Teams: m.CedeTeams, Loads: m.CedeLoads, Since: max(m.Since, release), Handed: handed})
	m.Teams -= m.CedeTeams
	m.Loads -= m.CedeLoads
	m.CedeTeams, m.CedeLoads = 0, 0
}

// Remove takes a member out and puts its parts into the pool.
func (l *Ledger) Remove(id string, release uint64, handed Handed) {
	m := l.Find(id)
	if m == nil {
		return
	}
	if m.Teams > 0 || m.Loads > 0 {
		l.Deposit(Grant{Teams: m.Teams, Loads: m.Loads, Since: max(m.Since, release), Handed: handed})
	}
	l.Members = slices.DeleteFunc(l.Members, func(m Member) bool { return m.ID == id })
}
