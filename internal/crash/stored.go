package crash

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"heatherrelay/internal/deployment"
)

// StoredReports is the value of an object of the store with the reports of a zone. It
// lets them outlast the instances and reach instances that are cut off from the
// others.
type StoredReports struct {
	Crashes []StoredReport `json:"crashes"`
	// ClearedParts are parts of prompts, and digests of requests, that the operators
	// declare to be sound. An object that operators write may have no other field.
	ClearedParts []string `json:"cleared_parts,omitempty"`
}

// StoredReport is the stored form of a Report, without the suspects that are cleared.
type StoredReport struct {
	Target     deployment.TargetID `json:"target"`
	Generation int64               `json:"generation"`
	At         time.Time           `json:"at"`
	RenewedAt  time.Time           `json:"renewed_at"`
	// Suspects maps the name of each suspect to its depth.
	Suspects map[string]int `json:"suspects"`
}

// The bounds on a stored object, which are below what the store takes as one value.
const (
	maxStoredSuspects = 100
	maxStoredBytes    = 500_000
	// storedReportBytes and storedSuspectBytes are what a report and a suspect take
	// besides the names in them.
	storedReportBytes  = 120
	storedSuspectBytes = 10
)

// Store returns the stored form of the ledger's reports, those renewed last first. Reports
// without suspects are left out, and so is what exceeds the bounds. The times are
// those of the wall clock, which instances share.
func (l *Ledger) Store(wallClock time.Time) StoredReports {
	now := l.Now()
	reports := l.Reports()
	crashes := map[string]int{}
	for _, r := range reports {
		for _, s := range r.openSuspects() {
			crashes[s.Name]++
		}
	}
	slices.SortStableFunc(reports, func(a, b Report) int { return b.RenewedAt.Compare(a.RenewedAt) })
	stored, size := StoredReports{Crashes: []StoredReport{}}, 0
	for _, r := range reports {
		suspects := r.openSuspects()
		slices.SortStableFunc(suspects, func(a, b Suspect) int { return crashes[b.Name] - crashes[a.Name] })
		s := StoredReport{
			Target: r.Target, Generation: r.Generation, Suspects: map[string]int{},
			At: wallClock.Add(r.At.Sub(now)).UTC().Truncate(time.Second), RenewedAt: wallClock.Add(r.RenewedAt.Sub(now)).UTC().Truncate(time.Second),
		}
		size += storedReportBytes + len(r.Target)
		for _, suspect := range suspects[:min(len(suspects), maxStoredSuspects)] {
			s.Suspects[suspect.Name] = suspect.Depth
			size += storedSuspectBytes + len(suspect.Name)
		}
		if size > maxStoredBytes {
			break
		}
		if len(s.Suspects) > 0 {
			stored.Crashes = append(stored.Crashes, s)
		}
	}
	return stored
}

// openSuspects returns the suspects that are not cleared.
func (r Report) openSuspects() []Suspect {
	var open []Suspect
	for _, s := range r.Suspects {
		if !slices.Contains(r.Cleared, s.Name) {
			open = append(open, s)
		}
	}
	return open
}

// ErrStored is the class of errors of a stored object that holds no reports.
var ErrStored = errs.Class("stored reports")

// The bounds on the names in a stored object, beyond which no instance wrote them.
const (
	maxStoredNameBytes = 512
	maxQuotedError     = 300
)

// DecodeStored decodes a stored object. Its errors are short enough for logs.
func DecodeStored(value json.RawMessage) (StoredReports, error) {
	var stored StoredReports
	if err := json.Unmarshal(value, &stored); err != nil {
		return StoredReports{}, ErrStored.New("%.*s", maxQuotedError, err.Error())
	}
	names := slices.Clone(stored.ClearedParts)
	for _, r := range stored.Crashes {
		names = append(names, string(r.Target))
		names = slices.AppendSeq(names, maps.Keys(r.Suspects))
	}
	for _, name := range names {
		if len(name) > maxStoredNameBytes {
			return StoredReports{}, ErrStored.New("name of %d bytes", len(name))
		}
	}
	return stored, nil
}

// MergeStored adds the reports of a stored object. It returns an error if the value
// cannot be decoded.
func (l *Ledger) MergeStored(value json.RawMessage, wallClock time.Time) error {
	stored, err := DecodeStored(value)
	if err != nil {
		return err
	}
	now := l.Now()
	reports := make([]Report, 0, len(stored.Crashes))
	for _, s := range stored.Crashes {
		report := Report{
			Process: Process{Target: s.Target, Generation: s.Generation},
			At:      now.Add(-max(wallClock.Sub(s.At), 0)), RenewedAt: now.Add(-max(wallClock.Sub(s.RenewedAt), 0)),
		}
		for name, depth := range s.Suspects {
			report.Suspects = append(report.Suspects, Suspect{Name: name, Depth: depth})
		}
		reports = append(reports, report)
	}
	l.Merge(reports...)
	if len(stored.ClearedParts) > 0 {
		l.RecordSound(stored.ClearedParts)
	}
	return nil
}

// Covers reports whether stored objects hold all reports of s, with their suspects and
// renewals.
func Covers(objects []StoredReports, s StoredReports) bool {
	type key struct {
		Process
		suspect string
	}
	renewed := map[key]time.Time{}
	for _, o := range objects {
		for _, r := range o.Crashes {
			for name := range r.Suspects {
				k := key{Process{r.Target, r.Generation}, name}
				if r.RenewedAt.After(renewed[k]) {
					renewed[k] = r.RenewedAt
				}
			}
		}
	}
	for _, r := range s.Crashes {
		for name := range maps.Keys(r.Suspects) {
			at, ok := renewed[key{Process{r.Target, r.Generation}, name}]
			if !ok || r.RenewedAt.Sub(at) > renewInterval {
				return false
			}
		}
	}
	return true
}
