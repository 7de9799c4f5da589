package target

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/wait"
)

const (
	// downAfter is how long an engine may not answer before its queue is sent elsewhere.
	downAfter = 2 * time.Second
	// confirmEvery and confirmedFor time the fenced no-ops of a lapsed owner.
	confirmEvery = 500 * time.Millisecond
	confirmedFor = 2 * time.Second
	// takeoverWait is how long requests wait for the previous owner to tell
	// what it still uses.
	takeoverWait = time.Second
)

// engineView is what the owner knows of its engine.
type engineView struct {
	report      Report
	silentSince time.Time
	confirmed   time.Time
	// changed asks for a new snapshot of the residents.
	changed bool
}

// down reports whether the engine has not answered for too long.
func (e *engineView) down(now time.Time) bool {
	return !e.silentSince.IsZero() && now.Sub(e.silentSince) > downAfter
}

// capacity is how many requests the engine batches at once.
func (e *engineView) capacity() int { return e.report.MaxBatch }

// takeoverState protects what the previous owner may still use.
type takeoverState struct {
	protected bool
	until     time.Time
	// refuseFrom is when requests that cannot be loaded are sent elsewhere.
	refuseFrom time.Time
	// firstReport is the issue time of the first report after the takeover.
	firstReport time.Time
	// pinned are the adapters pinned for the previous owner.
	pinned []adapter.ID
	// settled says that the previous owner uses nothing any more.
	settled bool
}

// mayStart reports whether a request may go to the engine.
func (o *Owner) mayStart(now time.Time) bool {
	switch o.Authority(now) {
	case Held:
		return true
	case Lapsed:
		return !o.ChecksFencing || now.Before(o.engine.confirmed)
	case Unknown:
		return o.ChecksFencing && now.Before(o.engine.confirmed)
	}
	return false
}

// mayOrder reports whether a load or an eviction may be ordered.
func (o *Owner) mayOrder(now time.Time) bool {
	switch o.Authority(now) {
	case Held:
		return true
	case Lapsed, Unknown:
		return o.ChecksFencing && now.Before(o.engine.confirmed)
	}
	return false
}

// watchEngine asks for load reports, and presents the fencing number at the
// start and while the lease has lapsed.
func (o *Owner) watchEngine(ctx context.Context) {
	fenced := false
	var lastConfirm time.Time
	for {
		now := time.Now()
		lapsed := o.Authority(now) != Held && now.Sub(lastConfirm) >= confirmEvery
		if o.ChecksFencing && (!fenced || lapsed) {
			lastConfirm = now
			fenced = o.fence(ctx, now) || fenced
		}
		if fenced || !o.ChecksFencing {
			report, err := o.Engine.Report(ctx)
			fenced = fenced && (err != nil || report.FencingNumber >= o.FencingNumber)
			o.post(func(now time.Time) { o.heard(report, err, now) })
		}
		if wait.Sleep(ctx, o.ReportEvery) != nil {
			return
		}
	}
}

// fence presents the fencing number and reports whether the engine took it.
func (o *Owner) fence(ctx context.Context, sent time.Time) bool {
	err := o.Engine.Fence(ctx, o.FencingNumber)
	o.post(func(now time.Time) { o.fenced(sent, err, now) })
	return err == nil
}

func (o *Owner) fenced(sent time.Time, err error, now time.Time) {
	switch {
	case err == nil:
		o.engine.confirmed = sent.Add(confirmedFor)
	case ErrStaleFencing.Has(err):
		o.Log.Warn("ownership_lost", zap.String("target", o.TargetID), zap.Uint64("fencing_number", o.FencingNumber))
		o.lost = true
	default:
		o.missed(err, now)
	}
}

func (o *Owner) missed(err error, now time.Time) {
	if o.engine.silentSince.IsZero() {
		o.engine.silentSince = now
		o.Log.Warn("target_silent", zap.String("target", o.TargetID), zap.Error(err))
	}
}

// heard takes a load report.
func (o *Owner) heard(report Report, err error, now time.Time) {
	if err != nil {
		o.missed(err, now)
		return
	}
	o.engine.silentSince = time.Time{}
	restarted := o.ready && report.StartedAt.After(o.engine.report.StartedAt)
	o.engine.report = report
	if o.ChecksFencing && report.FencingNumber < o.FencingNumber && !restarted {
		return
	}
	if !o.ready || restarted {
		o.adopt(report, now)
	}
	o.table.Slots = report.Slots
	o.endProtectionIfIdle(report)
}

// adopt takes the engine's residents as the state, at the start and after a
// restart of the engine.
func (o *Owner) adopt(report Report, now time.Time) {
	for _, id := range o.table.Residents() {
		o.table.Remove(id)
	}
	o.table.Slots = report.Slots
	for _, name := range report.Resident {
		id, err := adapter.ParseID(name)
		if err != nil {
			o.Log.Warn("resident_unreadable", zap.String("target", o.TargetID), zap.Error(err))
			continue
		}
		if !o.loading.evicting[id] {
			o.table.Add(id, now)
		}
	}
	if !o.ready && o.Inherited {
		o.takeover = takeoverState{
			protected:   true,
			until:       now.Add(o.LongestRequest),
			refuseFrom:  now.Add(takeoverWait),
			firstReport: report.IssuedAt,
		}
		o.table.PinAllUntil(o.takeover.until)
	}
	o.ready = true
	o.engine.changed = true
	o.Log.Info("target_adopted", zap.String("target", o.TargetID), zap.Int("residents", len(report.Resident)), zap.Bool("inherited", o.Inherited))
}

// endProtectionIfIdle ends the protection of a takeover early when a report that was surely
// issued after it shows the engine idle.
func (o *Owner) endProtectionIfIdle(report Report) {
	later := report.IssuedAt.Sub(o.takeover.firstReport) > o.ReportLag
	if o.takeover.protected && later && report.Running == 0 && report.Waiting == 0 {
		o.endProtection()
	}
}

// release narrows the protection to what the previous owner still uses, once it
// has told, and ends it when it uses nothing or its time is over.
func (o *Owner) release(now time.Time) {
	if o.takeover.protected && !now.Before(o.takeover.until) {
		o.endProtection()
	}
	if o.PreviousInUse == nil || o.takeover.settled {
		return
	}
	inUse, known := o.PreviousInUse()
	if !known {
		return
	}
	for _, id := range o.takeover.pinned {
		o.table.Unpin(id, now)
	}
	o.takeover.pinned = nil
	for _, id := range inUse {
		if o.table.Pin(id) {
			o.takeover.pinned = append(o.takeover.pinned, id)
		}
	}
	o.takeover.settled = len(inUse) == 0
	o.endProtection()
}

func (o *Owner) endProtection() {
	o.takeover.protected = false
	o.table.UnpinAll()
}
