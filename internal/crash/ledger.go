package crash

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// retention is how long a crash counts after it was last observed, or after a
	// request was last refused because of it.
	retention = time.Hour
	// renewInterval is the least time between two renewals of a crash by refusals.
	renewInterval = 10 * time.Minute
	// maxRecords bounds the crashes of a Ledger; the one renewed longest ago is dropped.
	maxRecords = 256
	// maxSuspects bounds the suspected parts of one crash, which may be those of all
	// requests in a target's batch.
	maxSuspects = 512
	// soundLookback is how long before a crash an answer clears the parts of its
	// prompt of that crash. Later answers clear them as well.
	soundLookback = 10 * time.Second
	// maxSoundParts bounds the parts whose last answer is remembered.
	maxSoundParts = 20_000
)

// Ledger collects the reports on crashes and the answers that clear parts of prompts,
// and decides which parts are blocked. The decision is a function of the reports
// alone, so that instances with the same reports block the same parts. A part stays
// blocked, without trials, as long as requests for it come; it is released when an
// answer that was under way clears it, or when another part explains the crashes
// better. A Ledger is safe for concurrent use. Set the exported fields before the
// first use.
type Ledger struct {
	// OnChange is called, without the lock, with each report that has changed. observed
	// is set unless the change came from another instance.
	OnChange func(report Report, observed bool)
	Now      func() time.Time
	Log      *zap.Logger

	mu      sync.Mutex
	records map[Process]*record
	// soundAt is when a request with a part was last answered.
	soundAt map[string]time.Time
	// blocked maps the blocked parts to the time of the last crash that it took.
	blocked map[string]time.Time
}

// RecordCrash records that a target crashed while it was processing requests with the
// given parts, each with its depth in its prompt.
func (l *Ledger) RecordCrash(p Process, parts map[string]int) {
	l.mu.Lock()
	now := l.Now()
	r, known := l.record(p, now)
	r.renewedAt = now
	changed := false
	for part, depth := range parts {
		if now.Sub(l.soundAt[part]) > soundLookback {
			changed = r.suspect(Suspect{Part: part, Depth: depth}) || changed
		}
	}
	if !known {
		l.Log.Info("target crashed", zap.String("target", string(p.Target)), zap.Int64("generation", p.Generation),
			zap.Int("parts", len(parts)), zap.Strings("suspects", slices.Sorted(maps.Keys(r.suspects))))
	}
	if !changed && known {
		l.mu.Unlock()
		return
	}
	l.decide()
	report := r.report(p)
	l.mu.Unlock()
	l.notify(report, true)
}

// Merge adds reports that another instance made or forwarded. Reports may arrive in any
// order and more than once.
func (l *Ledger) Merge(reports ...Report) {
	for _, report := range l.merge(reports) {
		l.notify(report, false)
	}
}

// merge is Merge. It returns the reports that changed.
func (l *Ledger) merge(reports []Report) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	var changed []Report
	for _, report := range reports {
		if now.Sub(report.RenewedAt) > retention {
			continue
		}
		r, known := l.record(report.Process, report.At)
		if l.mergeRecord(r, report) || !known {
			changed = append(changed, r.report(report.Process))
		}
	}
	if len(changed) > 0 {
		l.decide()
	}
	return changed
}

// mergeRecord adds a report to a record, without the parts that were answered here. It
// reports whether the record changed. The caller holds the lock.
func (l *Ledger) mergeRecord(r *record, report Report) bool {
	changed := r.merge(report)
	for part := range r.suspects {
		if at, ok := l.soundAt[part]; ok && r.at.Sub(at) <= soundLookback {
			changed = r.clear(part) || changed
		}
	}
	return changed
}

// RecordSound records that a target answered a request with the given parts.
func (l *Ledger) RecordSound(parts []string) {
	for _, report := range l.clear(parts) {
		l.notify(report, true)
	}
}

// clear records an answer to a request with the given parts and clears these of all
// crashes. It returns the reports that changed.
func (l *Ledger) clear(parts []string) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.soundAt == nil {
		l.soundAt = map[string]time.Time{}
	}
	now := l.Now()
	for _, part := range parts {
		if _, ok := l.soundAt[part]; !ok && len(l.soundAt) >= maxSoundParts {
			continue
		}
		l.soundAt[part] = now
	}
	var changed []Report
	for p, r := range l.records {
		cleared := false
		for _, part := range parts {
			cleared = r.clear(part) || cleared
		}
		if cleared {
			changed = append(changed, r.report(p))
		}
	}
	if len(changed) > 0 {
		l.decide()
	}
	return changed
}

// record returns the record of a crash and whether it was known before. The caller
// holds the lock.
func (l *Ledger) record(p Process, at time.Time) (*record, bool) {
	if l.records == nil {
		l.records = map[Process]*record{}
	}
	r, ok := l.records[p]
	if !ok {
		r = newRecord(at)
		l.records[p] = r
		l.dropOldest()
	}
	return r, ok
}

// dropOldest drops the record renewed longest ago if there are too many. The caller
// holds the lock.
func (l *Ledger) dropOldest() {
	if len(l.records) <= maxRecords {
		return
	}
	var oldest Process
	found := false
	for p, r := range l.records {
		if !found || r.renewedAt.Before(l.records[oldest].renewedAt) || r.renewedAt.Equal(l.records[oldest].renewedAt) && p.compare(oldest) < 0 {
			oldest, found = p, true
		}
	}
	delete(l.records, oldest)
}

func (l *Ledger) notify(report Report, observed bool) {
	if l.OnChange != nil {
		l.OnChange(report, observed)
	}
}

// decide replaces the blocked parts. The caller holds the lock.
func (l *Ledger) decide() {
	blocked := blockedParts(l.records)
	for part, at := range blocked {
		if _, known := l.blocked[part]; !known {
			l.Log.Warn("part of prompts blocked, since it crashes targets", zap.String("prompt_part", part), zap.Int("crashes", l.crashes(part)),
				zap.Duration("in", max(blockDelay-l.Now().Sub(at), 0)))
		}
	}
	for part := range l.blocked {
		if _, still := blocked[part]; !still {
			l.Log.Info("part of prompts no longer blocked", zap.String("prompt_part", part), zap.Int("crashes", l.crashes(part)))
		}
	}
	l.blocked = blocked
}

// crashes returns the number of crashes that a part is suspected of. The caller holds
// the lock.
func (l *Ledger) crashes(part string) int {
	n := 0
	for _, r := range l.records {
		if r.suspected(part) {
			n++
		}
	}
	return n
}

// Blocked returns the first of the given parts that is blocked, and false if none is.
func (l *Ledger) Blocked(parts []string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.blocked) == 0 {
		return "", false
	}
	now := l.Now()
	for _, part := range parts {
		if at, ok := l.blocked[part]; ok && now.Sub(at) >= blockDelay {
			return part, true
		}
	}
	return "", false
}

// RecordRefusal records that a request was refused because of a blocked part, which
// keeps it blocked.
func (l *Ledger) RecordRefusal(part string) {
	l.mu.Lock()
	now := l.Now()
	var renewed []Report
	for p, r := range l.records {
		if r.suspected(part) && now.Sub(r.renewedAt) > renewInterval {
			r.renewedAt = now
			renewed = append(renewed, r.report(p))
		}
	}
	l.mu.Unlock()
	for _, report := range renewed {
		l.notify(report, true)
	}
}

// BlockedCount returns the number of blocked parts.
func (l *Ledger) BlockedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.blocked)
}

// CrashCount returns the number of crashes that count at present.
func (l *Ledger) CrashCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// Known reports whether the ledger holds a report on a process.
func (l *Ledger) Known(p Process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.records[p]
	return ok
}

// Reports returns all reports, ordered by target and generation.
func (l *Ledger) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := make([]Report, 0, len(l.records))
	for p, r := range l.records {
		reports = append(reports, r.report(p))
	}
	slices.SortFunc(reports, func(a, b Report) int { return a.compare(b.Process) })
	return reports
}

// RemoveExpired removes the crashes and the answers that no longer count.
func (l *Ledger) RemoveExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	maps.DeleteFunc(l.soundAt, func(_ string, at time.Time) bool { return now.Sub(at) > soundLookback })
	before := len(l.records)
	maps.DeleteFunc(l.records, func(_ Process, r *record) bool { return now.Sub(r.renewedAt) > retention })
	if len(l.records) != before {
		l.decide()
	}
}
