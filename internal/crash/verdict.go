package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// blockingCrashes is the number of crashes after which a suspect is blocked. Users bound
	// the repeats of a request after its third crash, and the requests with a part after
	// its fifth; the difference covers crashes whose evidence is late or lost with an
	// instance.
	blockingCrashes = 3
	// minUnexplained is how many of the crashes of a part no other suspect may explain.
	// Several causes at work at the same time are in some crashes together. A request is
	// blocked in any case, as no other request is blocked with it.
	minUnexplained = 2
)

// blockDelay is the time from the last of these crashes until the suspect is refused. When
// many targets crash at once for another reason, answers at other instances clear the
// parts of their requests within it.
const blockDelay = 300 * time.Millisecond

// candidate is a suspect that may explain crashes.
type candidate struct {
	name string
	// crashes is the number of all its crashes, unexplained of those that no other
	// candidate explains yet.
	crashes, unexplained int
	depth                int
}

// compare orders candidates: the better explanation is greater. Of suspects that explain
// as many crashes the one with the greatest depth is blocked, which the fewest other
// requests share: the request itself, or the part furthest back in the prompt.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.unexplained, other.unexplained), cmp.Compare(c.depth, other.depth), cmp.Compare(other.name, c.name))
}

// blocking reports whether the candidate, which has blockingCrashes, is to be blocked.
func (c candidate) blocking() bool { return IsRequest(c.name) || c.unexplained >= minUnexplained }

// blockedSuspects returns the suspects that explain the crashes, each with the time of the
// last crash that it took to block it: repeatedly the one that is suspected in most of
// the crashes that no other explains yet. Parts of requests that only were at the same
// targets are suspected in fewer crashes than the one that caused these, and are left with
// none.
func blockedSuspects(records map[Process]*record) map[string]time.Time {
	blocked := map[string]time.Time{}
	candidates := frequentSuspects(records)
	unexplained := maps.Clone(records)
	for {
		best, ok := bestCandidate(candidates, unexplained)
		if !ok {
			return blocked
		}
		var times []time.Time
		for p, r := range records {
			if r.suspected(best.name) {
				times = append(times, r.at)
				delete(unexplained, p)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		blocked[best.name] = times[blockingCrashes-1]
		delete(candidates, best.name)
	}
}

// frequentSuspects returns the suspects with enough crashes to be blocked, which are few,
// by their names.
func frequentSuspects(records map[Process]*record) map[string]candidate {
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
	maps.DeleteFunc(candidates, func(_ string, c candidate) bool { return c.crashes < blockingCrashes })
	return candidates
}

// bestCandidate returns the candidate to block next that explains the most of the
// unexplained crashes, and false if there is none.
func bestCandidate(candidates map[string]candidate, unexplained map[Process]*record) (candidate, bool) {
	var best candidate
	for _, c := range candidates {
		for _, r := range unexplained {
			if r.suspected(c.name) {
				c.unexplained++
			}
		}
		if c.blocking() && (best.name == "" || c.compare(best) > 0) {
			best = c
		}
	}
	return best, best.name != ""
}
