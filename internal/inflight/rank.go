package inflight

// Ranks is how many ranks of requests are told apart.
const Ranks = 4

// Rank orders requests by urgency; 0 is the most urgent. All priorities from Ranks-1 on have
// the last one.
type Rank int

// RankOf returns the rank of a request with a priority.
func RankOf(priority int) Rank { return Rank(min(max(priority, 0), Ranks-1)) }

// RankUse is the part of a Use that requests of one rank have.
type RankUse struct{ Requests, WaitingTokens int }

// UpTo returns the part of u that requests of a rank and of more urgent ones have, and the
// part of unknown rank.
func (u *Use) UpTo(rank Rank) (urgent, unknown RankUse) {
	unknown = RankUse{Requests: u.Requests, WaitingTokens: u.WaitingTokens}
	for r, part := range u.Ranked {
		unknown.Requests -= part.Requests
		unknown.WaitingTokens -= part.WaitingTokens
		if Rank(r) <= rank {
			urgent.Requests += part.Requests
			urgent.WaitingTokens += part.WaitingTokens
		}
	}
	unknown.Requests, unknown.WaitingTokens = max(unknown.Requests, 0), max(unknown.WaitingTokens, 0)
	return urgent, unknown
}
