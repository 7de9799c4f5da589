package team

import "time"

// The names of the allowances that bound the use of the weight store.
const (
	LoadRate   = "load_rate"
	LoadPermit = "load_permit"
)

// NamePrefix stands before a team's name in the name of its allowance.
const NamePrefix = "team:"

// Rate is what one allowance grants to all instances together.
type Rate struct {
	// Name is "team:NAME", load_rate or load_permit.
	Name            string
	TokensPerSecond float64
	BurstTokens     float64
}

// Name returns the name of a team's allowance.
func Name(team string) string { return NamePrefix + team }

// Durations that bound a transfer. What a giver gives lowers its burst for
// LentTerm after it deducted. What an asker receives raises its burst until
// BorrowedTerm after it asked. The asker's time begins first and is shorter, so
// that the two together never hold more than the burst.
const (
	LentTerm     = 100 * time.Millisecond
	BorrowedTerm = 80 * time.Millisecond
)
