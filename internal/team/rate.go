package team

import "time"

// Names of the allowances that limit loads from the weight store.
const (
	LoadRate   = "load_rate"
	LoadPermit = "load_permit"
)

// NamePrefix is the prefix of a team's name in the name of its allowance.
const NamePrefix = "team:"

// Rate is the rate and burst that an allowance grants to all instances in
// total.
type Rate struct {
	// Name is "team:NAME", load_rate or load_permit.
	Name            string
	TokensPerSecond float64
	BurstTokens     float64
}

// Name returns the name of a team's allowance.
func Name(team string) string { return NamePrefix + team }

// Terms of a transfer. A grant lowers the donor's burst for GrantedTerm after
// the deduction and raises the requester's burst for ReceivedTerm after the
// request. The requester's term starts earlier and is shorter, so that the two
// together never hold more than the burst.
const (
	GrantedTerm  = 100 * time.Millisecond
	ReceivedTerm = 80 * time.Millisecond
)
