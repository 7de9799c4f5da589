package crash

import "cmp"

// blockingCrashes is the number of crashes, explained by no other part, after which a
// part is blocked. Users bound the requests after the fifth crash; the difference
// covers crashes whose evidence is late or lost with an instance.
const blockingCrashes = 3

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

// blockedParts returns the parts that explain the crashes: repeatedly the one that is
// suspected in most of the crashes that no other explains yet. Parts of requests that
// only were at the same targets are suspected in fewer crashes than the one that
// caused these, and are left with none.
func blockedParts(records map[Process]*record) map[string]bool {
	blocked := map[string]bool{}
	unexplained := make(map[Process]*record, len(records))
	for p, r := range records {
		unexplained[p] = r
	}
	for {
		best, ok := bestCandidate(unexplained)
		if !ok || best.crashes < blockingCrashes {
			return blocked
		}
		blocked[best.part] = true
		for p, r := range unexplained {
			if r.suspected(best.part) {
				delete(unexplained, p)
			}
		}
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
