package target

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/wait"
)

const (
	// downAfter is how long an engine may leave calls unanswered before its queued
	// requests are refused, so that they can go to other targets.
	downAfter = 2 * time.Second
	// While the lease has lapsed, the owner sends its fencing number every
	// fenceInterval. Each acceptance counts for fenceValidity.
	fenceInterval = 500 * time.Millisecond
	fenceValidity = 2 * time.Second
	// takeoverWait is how long requests wait after a takeover for the previous owner
	// to report which adapters it still uses.
	takeoverWait = time.Second
)

// engineStatus is the owner's view of its engine.
type engineStatus struct {
	lastReport Report
	// silentSince is the time of the first unanswered call since the last report; zero
	// if the engine answers.
	silentSince time.Time
	// fencedUntil is the time until which the engine's last acceptance of the fencing
	// number counts.
	fencedUntil time.Time
	// snapshotStale is set when the published residents or adapters in use may have
	// changed.
	snapshotStale bool
}

// down reports whether the engine has not answered for longer than downAfter.
func (e *engineStatus) down(now time.Time) bool {
	return !e.silentSince.IsZero() && now.Sub(e.silentSince) > downAfter
}

// capacity returns how many requests the engine runs in one batch.
func (e *engineStatus) capacity() int { return e.lastReport.MaxBatch }

// takeoverState protects the adapters that the previous owner may still use from
// eviction. While protected is set, that is all resident adapters.
type takeoverState struct {
	protected      bool
	protectedUntil time.Time
	// refuseFrom is the time from which requests whose adapter cannot be loaded are
	// refused, so that they can go to other targets.
	refuseFrom time.Time
	// firstReportAt is the issue time of the first report after the takeover.
	firstReportAt time.Time
	// pinned holds the adapters pinned because the previous owner reported them in use.
	pinned []adapter.ID
	// previousIdle is set once the previous owner uses no adapter any more.
	previousIdle bool
}

// mayStart reports whether a request may be sent to the engine. While the lease has
// lapsed, an engine that checks fencing numbers must have accepted this owner's
// number recently. One that does not check them may be used while no other owner is
// known.
func (o *Owner) mayStart(now time.Time) bool {
	switch o.Authority(now) {
	case Held:
		return true
	case Lapsed:
		return !o.ChecksFencing || now.Before(o.status.fencedUntil)
	case Unconfirmed:
		return o.ChecksFencing && now.Before(o.status.fencedUntil)
	}
	return false
}

// mayOrder reports whether a load or an eviction may be ordered. While the lease has
// lapsed, that requires an engine that checks fencing numbers and has accepted this
// owner's number recently.
func (o *Owner) mayOrder(now time.Time) bool {
	switch o.Authority(now) {
	case Held:
		return true
	case Lapsed, Unconfirmed:
		return o.ChecksFencing && now.Before(o.status.fencedUntil)
	}
	return false
}

// pollEngine fetches load reports until ctx ends. To an engine that checks fencing
// numbers it also sends the fencing number: at the start, when a report shows a lower
// one, and while the lease has lapsed.
func (o *Owner) pollEngine(ctx context.Context) {
	fenced := false
	var lastFence time.Time
	for {
		now := time.Now()
		lapsed := o.Authority(now) != Held && now.Sub(lastFence) >= fenceInterval
		if o.ChecksFencing && (!fenced || lapsed) {
			lastFence = now
			fenced = o.fence(ctx, now) || fenced
		}
		if fenced || !o.ChecksFencing {
			report, err := o.Engine.Report(ctx)
			fenced = fenced && (err != nil || report.FencingNumber >= o.FencingNumber)
			o.post(func(now time.Time) { o.applyReport(report, err, now) })
		}
		if wait.Sleep(ctx, o.ReportEvery) != nil {
			return
		}
	}
}

// fence sends the fencing number and reports whether the engine accepted it.
func (o *Owner) fence(ctx context.Context, sentAt time.Time) bool {
	err := o.Engine.Fence(ctx, o.FencingNumber)
	o.post(func(now time.Time) { o.applyFenceResult(sentAt, err, now) })
	return err == nil
}

// applyFenceResult applies the outcome of a fence call that was sent at sentAt.
func (o *Owner) applyFenceResult(sentAt time.Time, err error, now time.Time) {
	switch {
	case err == nil:
		o.status.fencedUntil = sentAt.Add(fenceValidity)
	case ErrStaleFencing.Has(err):
		o.Log.Warn("ownership_lost", zap.String("target", o.TargetID), zap.Uint64("fencing_number", o.FencingNumber))
		o.ownershipLost = true
	default:
		o.recordNoAnswer(err, now)
	}
}

// recordNoAnswer records that the engine did not answer a call.
func (o *Owner) recordNoAnswer(err error, now time.Time) {
	if o.status.silentSince.IsZero() {
		o.status.silentSince = now
		o.Log.Warn("target_silent", zap.String("target", o.TargetID), zap.Error(err))
	}
}

// applyReport applies a load report, or records that none was received. It adopts the
// engine's resident adapters at the first report and after a restart of the engine. If
// the engine checks fencing numbers and the report shows a lower one than the owner's,
// the report may predate the takeover, and its residents are adopted only after a
// restart.
func (o *Owner) applyReport(report Report, err error, now time.Time) {
	if err != nil {
		o.recordNoAnswer(err, now)
		return
	}
	o.status.silentSince = time.Time{}
	restarted := o.adopted && report.StartedAt.After(o.status.lastReport.StartedAt)
	o.status.lastReport = report
	if o.ChecksFencing && report.FencingNumber < o.FencingNumber && !restarted {
		return
	}
	if !o.adopted || restarted {
		o.adoptResidents(report, now)
	}
	o.slotTable.Slots = report.Slots
	o.endProtectionIfIdle(report)
}

// adoptResidents replaces the adapters in the slot table by those that the report
// lists. After a takeover from another owner, it protects them all from eviction.
func (o *Owner) adoptResidents(report Report, now time.Time) {
	for _, id := range o.slotTable.Residents() {
		o.slotTable.Remove(id)
	}
	clear(o.loads.unconfirmed)
	o.slotTable.Slots = report.Slots
	for _, name := range report.Resident {
		id, err := adapter.ParseID(name)
		if err != nil {
			o.Log.Warn("resident_unreadable", zap.String("target", o.TargetID), zap.Error(err))
			continue
		}
		if !o.loads.evicting[id] {
			o.slotTable.Add(id, now)
		}
	}
	if !o.adopted && o.Inherited {
		o.takeover = takeoverState{
			protected:      true,
			protectedUntil: now.Add(o.LongestRequest),
			refuseFrom:     now.Add(takeoverWait),
			firstReportAt:  report.IssuedAt,
		}
		o.slotTable.ForbidEvictionsUntil(o.takeover.protectedUntil)
	}
	o.adopted = true
	o.status.snapshotStale = true
	o.Log.Info("target_adopted", zap.String("target", o.TargetID), zap.Int("residents", len(report.Resident)), zap.Bool("inherited", o.Inherited))
}

// endProtectionIfIdle ends the protection after a takeover early if the report shows an
// idle engine and, given the lag of reports, describes a time after the takeover.
func (o *Owner) endProtectionIfIdle(report Report) {
	later := report.IssuedAt.Sub(o.takeover.firstReportAt) > o.MaxReportAge
	if o.takeover.protected && later && report.Running == 0 && report.Waiting == 0 {
		o.endProtection()
	}
}

// updateProtection ends the protection of all adapters at its time limit. Once the
// adapters that the previous owner still uses are known, it pins only those, until
// the previous owner uses none, or is not heard at the time limit.
func (o *Owner) updateProtection(now time.Time) {
	if o.takeover.protected && !now.Before(o.takeover.protectedUntil) {
		o.endProtection()
	}
	if o.PreviousInUse == nil || o.takeover.previousIdle {
		return
	}
	inUse, known := o.PreviousInUse()
	if !known && now.Before(o.takeover.protectedUntil) {
		return
	}
	for _, id := range o.takeover.pinned {
		o.slotTable.Unpin(id, now)
	}
	o.takeover.pinned = nil
	for _, id := range inUse {
		if o.slotTable.Pin(id) {
			o.takeover.pinned = append(o.takeover.pinned, id)
		}
	}
	o.takeover.previousIdle = len(inUse) == 0
	o.endProtection()
}

// endProtection ends the protection of all adapters. Pins for single adapters remain.
func (o *Owner) endProtection() {
	o.takeover.protected = false
	o.slotTable.PermitEvictions()
}
