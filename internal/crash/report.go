// Package crash finds the requests, and the parts of prompts, that crash targets. One that
// does crashes every target that begins to run it, so a fleet that sends it on, or other
// requests with the part, loses target after target.
//
// A Detector tells the crash of a target from other ends of its connections. A Ledger
// collects, for each crash that any instance observed, the requests and the parts that
// may have caused it, and concludes which of them must not be sent to targets any more.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"heatherrelay/internal/deployment"
)

// Process is one start of a target. It crashes at most once.
type Process struct {
	Target     deployment.TargetID
	Generation int64
}

func (p Process) compare(other Process) int {
	return cmp.Or(cmp.Compare(p.Target, other.Target), cmp.Compare(p.Generation, other.Generation))
}

// Suspect is what may have caused a crash: a part of a prompt, named by its id, or a whole
// request, named by its RequestDigest.
type Suspect struct {
	Name string
	// Depth is the position of a part in its prompt, from 1, or requestDepth.
	Depth int
}

// requestDepth is the depth of a whole request, which is greater than that of any part of
// its prompt: of all suspects the fewest other requests share it.
const requestDepth = 1_000

// depths returns the suspects with their depths. The parts of a prompt are in their
// order.
func depths(suspects []string) map[string]int {
	result := make(map[string]int, len(suspects))
	for i, name := range suspects {
		result[name] = i + 1
		if IsRequest(name) {
			result[name] = requestDepth
		}
	}
	return result
}

// Report is what is known of a crash. Reports of the same crash are merged: the result
// holds the suspects and the cleared ones of both, so it depends neither on the
// order of the reports nor on how often each arrives.
type Report struct {
	Process
	// At is when the crash was first observed.
	At time.Time
	// RenewedAt is when the crash was last observed, or when a request was last refused
	// because of it.
	RenewedAt time.Time
	// Suspects are the requests that the target was processing and had not been
	// answering for long, and the parts of their prompts, in the order of their names.
	Suspects []Suspect
	// Cleared are the requests among them that were answered at another time, and the
	// parts with which requests were answered.
	Cleared []string
}

// record is the state of a crash in a Ledger.
type record struct {
	at, renewedAt time.Time
	// learnedAt is when this instance learned of the crash.
	learnedAt time.Time
	// suspects maps the name of each suspect to its depth.
	suspects map[string]int
	cleared  map[string]bool
}

func newRecord(at, now time.Time) *record {
	return &record{at: at, renewedAt: at, learnedAt: now, suspects: map[string]int{}, cleared: map[string]bool{}}
}

// suspect adds a suspect, unless the record has maxSuspects. It reports whether
// the record changed.
func (r *record) suspect(s Suspect) bool {
	depth, known := r.suspects[s.Name]
	if known && depth >= s.Depth || !known && len(r.suspects) >= maxSuspects {
		return false
	}
	r.suspects[s.Name] = s.Depth
	return true
}

// clear removes the suspicion of a suspect. It reports whether the record changed.
func (r *record) clear(name string) bool {
	if _, ok := r.suspects[name]; !ok || r.cleared[name] {
		return false
	}
	r.cleared[name] = true
	return true
}

// suspected reports whether a name is that of a suspect that is not cleared.
func (r *record) suspected(name string) bool {
	_, ok := r.suspects[name]
	return ok && !r.cleared[name]
}

// merge adds what a report knows. It reports whether the record changed by more than
// the times.
func (r *record) merge(report Report) bool {
	changed := false
	for _, s := range report.Suspects {
		changed = r.suspect(s) || changed
	}
	for _, name := range report.Cleared {
		changed = r.clear(name) || changed
	}
	if report.At.Before(r.at) {
		r.at = report.At
	}
	if report.RenewedAt.After(r.renewedAt.Add(renewInterval)) {
		changed = true
	}
	if report.RenewedAt.After(r.renewedAt) {
		r.renewedAt = report.RenewedAt
	}
	return changed
}

func (r *record) report(p Process) Report {
	report := Report{Process: p, At: r.at, RenewedAt: r.renewedAt, Cleared: slices.Sorted(maps.Keys(r.cleared))}
	for name, depth := range r.suspects {
		report.Suspects = append(report.Suspects, Suspect{Name: name, Depth: depth})
	}
	slices.SortFunc(report.Suspects, func(a, b Suspect) int { return strings.Compare(a.Name, b.Name) })
	return report
}
