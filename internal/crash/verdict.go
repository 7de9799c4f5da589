package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// blockingCrashes is the number of crashes, explained by no other suspect, after which a
// suspect is blocked. Users bound the repeats of a request after its third crash, and
// the requests with a part after its fifth; the difference covers crashes whose evidence
// is late or lost with an instance.
const blockingCrashes = 3

// blockDelay is the time from the last of these crashes until the suspect is refused. When
// many targets crash at once for another reason, answers at other instances clear the
// parts of their requests within it.
const blockDelay = 300 * time.Millisecond

// candidate is a suspect that may explain crashes.
type candidate struct {
	name    string
	crashes int
	depth   int
}

// compare orders candidates: the better explanation is greater. Of suspects that explain
// as many crashes the one with the greatest depth is blocked, which the fewest other
// requests share: the request itself, or the part furthest back in the prompt.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.depth, other.depth), cmp.Compare(other.name, c.name))
}

// blockedSuspects returns the suspects that explain the crashes, each with the time of the
// last crash that it took to block it: repeatedly the one that is suspected in most of
// the crashes that no other explains yet. Requests that only were at the same targets,
// and their parts, are suspected in fewer crashes than the one that caused these, and are
// left with none.
func blockedSuspects(records map[Process]*record) map[string]time.Time {
	blocked := map[string]time.Time{}
	unexplained := maps.Clone(records)
	for {
		best, ok := bestCandidate(unexplained)
		if !ok || best.crashes < blockingCrashes {
			return blocked
		}
		var times []time.Time
		for p, r := range unexplained {
			if r.suspected(best.name) {
				times = append(times, r.at)
				delete(unexplained, p)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		blocked[best.name] = times[blockingCrashes-1]
	}
}

// bestCandidate returns the suspect that explains the most crashes, and false if there is
// none.
func bestCandidate(records map[Process]*record) (candidate, bool) {
	candidates := map[string]candidate{}
	for _, r := range records {
		for name, depth := range r.suspects {
			if r.cleared[name] {
				continue
			}
			c := candidates[name]
			candidates[name] = candidate{name: name, crashes: c.crashes + 1, depth: max(c.depth, depth)}
		}
	}
	var best candidate
	for _, c := range candidates {
		if best.name == "" || c.compare(best) > 0 {
			best = c
		}
	}
	return best, best.name != ""
}
