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
	// maxSuspects bounds the suspects of one crash, which may be all requests in a
	// target's batch with their parts.
	maxSuspects = 512
	// soundLookback is how long before a crash an answer clears its request, and the
	// parts of the prompt, of that crash. Later answers clear them as well.
	soundLookback = 10 * time.Second
	// clearedInterval is the least time between two publications of requests that were
	// cleared and had too few crashes to be blocked: there is one for each request that was
	// at a crashed target.
	clearedInterval = 5 * time.Second
	// maxSound bounds the requests and parts whose last answer is remembered.
	maxSound = 20_000
)

// Ledger collects the reports on crashes and the answers that clear suspects, and decides
// which requests and parts of prompts are blocked. The decision is a function of the
// reports alone, so that instances with the same reports block the same suspects. A
// suspect stays blocked, without trials, as long as requests for it come; it is released
// when an answer that was under way clears it, or when another suspect explains the
// crashes better. A Ledger is safe for concurrent use. Set the exported fields before the
// first use.
type Ledger struct {
	// OnChange is called, without the lock, with each report that has changed. observed
	// is set unless the change came from another instance.
	OnChange func(report Report, observed bool)
	Now      func() time.Time
	Log      *zap.Logger

	mu      sync.Mutex
	records map[Process]*record
	// soundAt is when a request, or one with a part, was last answered.
	soundAt map[string]time.Time
	// unpublished holds the crashes of which requests were cleared that are not passed on
	// yet; publishedAt is when such crashes were last passed on.
	unpublished map[Process]bool
	publishedAt time.Time
	// blocked maps the blocked suspects to the time of the last crash that it took.
	blocked map[string]time.Time
}

// RecordCrash records that a target crashed while it was processing the given suspects,
// each with its depth.
func (l *Ledger) RecordCrash(p Process, suspects map[string]int) {
	l.mu.Lock()
	now := l.Now()
	r, known := l.record(p, now)
	r.renewedAt = now
	changed := false
	for name, depth := range suspects {
		if now.Sub(l.soundAt[name]) > soundLookback {
			changed = r.suspect(Suspect{Name: name, Depth: depth}) || changed
		}
	}
	if !known {
		l.Log.Info("target crashed", zap.String("target", string(p.Target)), zap.Int64("generation", p.Generation),
			zap.Strings("suspects", slices.Sorted(maps.Keys(r.suspects))))
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

// mergeRecord adds a report to a record, without the suspects that were answered here. It
// reports whether the record changed. The caller holds the lock.
func (l *Ledger) mergeRecord(r *record, report Report) bool {
	changed := r.merge(report)
	for name := range r.suspects {
		if at, ok := l.soundAt[name]; ok && r.at.Sub(at) <= soundLookback {
			changed = r.clear(name) || changed
		}
	}
	return changed
}

// RecordSound records that a target answered a request with the given digest and parts.
func (l *Ledger) RecordSound(names []string) {
	for _, report := range l.clear(names) {
		l.notify(report, true)
	}
}

// clear records an answer to a request and clears its names of all crashes. It returns the
// reports to pass on at once: those in which a part was cleared, or a request with enough
// crashes to be blocked. The others, one for each request that was at a crashed target,
// are passed on by publishCleared.
func (l *Ledger) clear(names []string) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.soundAt == nil {
		l.soundAt = map[string]time.Time{}
	}
	now := l.Now()
	urgent, decisive := map[Process]bool{}, false
	for _, name := range names {
		if _, ok := l.soundAt[name]; ok || len(l.soundAt) < maxSound {
			l.soundAt[name] = now
		}
		enough := l.crashes(name) >= blockingCrashes
		decisive = decisive || enough
		for p, r := range l.records {
			if !r.clear(name) {
				continue
			}
			if enough || !IsRequest(name) {
				urgent[p] = true
			} else {
				l.unpublished[p] = true
			}
		}
	}
	// A suspect with fewer crashes blocks nothing, and explains none to others.
	if decisive {
		l.decide()
	}
	changed := make([]Report, 0, len(urgent))
	for p := range urgent {
		delete(l.unpublished, p)
		changed = append(changed, l.records[p].report(p))
	}
	return changed
}

// publishCleared returns the reports in which requests were cleared that are not passed on
// yet, once every clearedInterval. The caller holds the lock.
func (l *Ledger) publishCleared(now time.Time) []Report {
	if len(l.unpublished) == 0 || now.Sub(l.publishedAt) < clearedInterval {
		return nil
	}
	l.publishedAt = now
	var reports []Report
	for p := range l.unpublished {
		if r, ok := l.records[p]; ok {
			reports = append(reports, r.report(p))
		}
	}
	clear(l.unpublished)
	return reports
}

// record returns the record of a crash and whether it was known before. The caller
// holds the lock.
func (l *Ledger) record(p Process, at time.Time) (*record, bool) {
	if l.records == nil {
		l.records, l.unpublished = map[Process]*record{}, map[Process]bool{}
	}
	r, ok := l.records[p]
	if !ok {
		r = newRecord(at, l.Now())
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

// decide replaces the blocked suspects. The caller holds the lock.
func (l *Ledger) decide() {
	blocked := blockedSuspects(l.records)
	for name, at := range blocked {
		if _, known := l.blocked[name]; !known {
			l.Log.Warn("blocked, since it crashes targets", suspectField(name), zap.Int("crashes", l.crashes(name)),
				zap.Duration("in", max(blockDelay-l.Now().Sub(at), 0)))
		}
	}
	for name := range l.blocked {
		if _, still := blocked[name]; !still {
			l.Log.Info("no longer blocked", suspectField(name), zap.Int("crashes", l.crashes(name)))
		}
	}
	l.blocked = blocked
}

// suspectField returns the log field of a suspect.
func suspectField(name string) zap.Field {
	if IsRequest(name) {
		return zap.String("request_digest", name)
	}
	return zap.String("prompt_part", name)
}

// crashes returns the number of crashes that a name is suspected of. The caller holds
// the lock.
func (l *Ledger) crashes(name string) int {
	n := 0
	for _, r := range l.records {
		if r.suspected(name) {
			n++
		}
	}
	return n
}

// Blocked returns the first of the given names that is blocked, and false if none is.
func (l *Ledger) Blocked(names []string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.blocked) == 0 {
		return "", false
	}
	now := l.Now()
	for _, name := range names {
		if at, ok := l.blocked[name]; ok && now.Sub(at) >= blockDelay {
			return name, true
		}
	}
	return "", false
}

// RecordRefusal records that a request was refused because of a blocked suspect, which
// keeps it blocked.
func (l *Ledger) RecordRefusal(name string) {
	l.mu.Lock()
	now := l.Now()
	var renewed []Report
	for p, r := range l.records {
		if r.suspected(name) && now.Sub(r.renewedAt) > renewInterval {
			r.renewedAt = now
			renewed = append(renewed, r.report(p))
		}
	}
	l.mu.Unlock()
	for _, report := range renewed {
		l.notify(report, true)
	}
}

// BlockedCount returns the number of blocked requests and parts of prompts.
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

// LearnedAt returns when this instance learned of the crash of a process, and false if it
// knows of none.
func (l *Ledger) LearnedAt(p Process) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[p]
	if !ok {
		return time.Time{}, false
	}
	return r.learnedAt, true
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

// Maintain removes the crashes and the answers that no longer count, and passes on what is
// not urgent. Call it at intervals.
func (l *Ledger) Maintain() {
	for _, report := range l.maintain() {
		l.notify(report, false)
	}
}

// maintain is Maintain. It returns the reports to pass on.
func (l *Ledger) maintain() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	maps.DeleteFunc(l.soundAt, func(_ string, at time.Time) bool { return now.Sub(at) > soundLookback })
	before := len(l.records)
	maps.DeleteFunc(l.records, func(_ Process, r *record) bool { return now.Sub(r.renewedAt) > retention })
	if len(l.records) != before {
		l.decide()
	}
	return l.publishCleared(now)
}
