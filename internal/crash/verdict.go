package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// blockingCrashes is the number of crashes, explained by no other part, after which a
// part is blocked. Users bound the requests after the fifth crash; the difference
// covers crashes whose evidence is late or lost with an instance.
const blockingCrashes = 3

// blockDelay is the time from the last of these crashes until the part is refused. When
// many targets crash at once for another reason, answers at other instances clear the
// parts of their requests within it.
const blockDelay = 300 * time.Millisecond

// candidate is a part that may explain crashes.
type candidate struct {
	part    string
	crashes int
	depth   int
}

// compare orders candidates: the better explanation is greater. Of parts that explain
// as many crashes, the one furthest back in the prompt is blocked, which the fewest
// other requests share.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.depth, other.depth), cmp.Compare(other.part, c.part))
}

// blockedParts returns the parts that explain the crashes, each with the time of the last
// crash that it took to block it: repeatedly the part that is suspected in most of the
// crashes that no other explains yet. Parts of requests that only were at the same
// targets are suspected in fewer crashes than the one that caused these, and are left
// with none.
func blockedParts(records map[Process]*record) map[string]time.Time {
	blocked := map[string]time.Time{}
	unexplained := maps.Clone(records)
	for {
		best, ok := bestCandidate(unexplained)
		if !ok || best.crashes < blockingCrashes {
			return blocked
		}
		var times []time.Time
		for p, r := range unexplained {
			if r.suspected(best.part) {
				times = append(times, r.at)
				delete(unexplained, p)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		blocked[best.part] = times[blockingCrashes-1]
	}
}

// bestCandidate returns the part that explains the most crashes, and false if no part
// is suspected.
func bestCandidate(records map[Process]*record) (candidate, bool) {
	candidates := map[string]candidate{}
	for _, r := range records {
		for part, depth := range r.suspects {
			if r.cleared[part] {
				continue
			}
			c := candidates[part]
			candidates[part] = candidate{part: part, crashes: c.crashes + 1, depth: max(c.depth, depth)}
		}
	}
	var best candidate
	for _, c := range candidates {
		if best.part == "" || c.compare(best) > 0 {
			best = c
		}
	}
	return best, best.part != ""
}
