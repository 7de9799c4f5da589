// Package crash finds the parts of prompts that crash targets. A part that does crashes
// every target that begins to answer a request with it, whatever else the request
// holds, so a fleet that sends such requests on loses target after target.
//
// A Detector tells the crash of a target from other ends of its connections. A Ledger
// collects, for each crash that any instance observed, the parts that may have caused
// it, and concludes which parts must not be sent to targets any more.
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

// Suspect is a part of a prompt that may have caused a crash.
type Suspect struct {
	Part string
	// Depth is the position of the part in its prompt, from 1.
	Depth int
}

// Report is what is known of a crash. Reports of the same crash are merged: the result
// holds the suspects and the cleared parts of both, so it depends neither on the
// order of the reports nor on how often each arrives.
type Report struct {
	Process
	// At is when the crash was first observed.
	At time.Time
	// RenewedAt is when the crash was last observed, or when a request was last refused
	// because of it.
	RenewedAt time.Time
	// Suspects are the parts of the prompts that the target was processing and had
	// not been answering for long, in the order of their names.
	Suspects []Suspect
	// Cleared are the suspects with which other requests were answered.
	Cleared []string
}

// record is the state of a crash in a Ledger.
type record struct {
	at, renewedAt time.Time
	// suspects maps each suspected part to its depth.
	suspects map[string]int
	cleared  map[string]bool
}

func newRecord(at time.Time) *record {
	return &record{at: at, renewedAt: at, suspects: map[string]int{}, cleared: map[string]bool{}}
}

// suspect adds a suspected part, unless the record has maxSuspects. It reports whether
// the record changed.
func (r *record) suspect(s Suspect) bool {
	depth, known := r.suspects[s.Part]
	if known && depth >= s.Depth || !known && len(r.suspects) >= maxSuspects {
		return false
	}
	r.suspects[s.Part] = s.Depth
	return true
}

// clear removes the suspicion of a part. It reports whether the record changed.
func (r *record) clear(part string) bool {
	if _, ok := r.suspects[part]; !ok || r.cleared[part] {
		return false
	}
	r.cleared[part] = true
	return true
}

// suspected reports whether a part is suspected and not cleared.
func (r *record) suspected(part string) bool {
	_, ok := r.suspects[part]
	return ok && !r.cleared[part]
}

// merge adds what a report knows. It reports whether the record changed by more than
// the times.
func (r *record) merge(report Report) bool {
	changed := false
	for _, s := range report.Suspects {
		changed = r.suspect(s) || changed
	}
	for _, part := range report.Cleared {
		changed = r.clear(part) || changed
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
	for part, depth := range r.suspects {
		report.Suspects = append(report.Suspects, Suspect{Part: part, Depth: depth})
	}
	slices.SortFunc(report.Suspects, func(a, b Suspect) int { return strings.Compare(a.Part, b.Part) })
	return report
}
