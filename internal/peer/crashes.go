package peer

import (
	"fmt"
	"time"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// Reports on crashes reach all instances: each instance sends the reports that changed
// to its partners, whoever made them, and returns them to those that call it. A report
// that is lost is sent again with the next exchange, since the cursors advance only
// with an answer.

// PublishCrash has the exchange carry a report of the ledger that has changed. The
// report of an instance's own observation is sent without waiting for the interval.
func (n *Network) PublishCrash(report crash.Report, observed bool) {
	name := fmt.Sprintf("%s#%d", report.Target, report.Generation)
	if n.crashReports.apply(name, report, newerCrash, differentCrash) && observed {
		n.TriggerExchange()
	}
}

// newerCrash compares two states of one ledger's record, whose sets only grow.
func newerCrash(known, next crash.Report) bool {
	knownSize, nextSize := len(known.Suspects)+len(known.Cleared), len(next.Suspects)+len(next.Cleared)
	return nextSize > knownSize || nextSize == knownSize && next.RenewedAt.After(known.RenewedAt)
}

func differentCrash(crash.Report, crash.Report) bool { return false }

// RetainCrashes drops the reports that the ledger has dropped.
func (n *Network) RetainCrashes() {
	n.crashReports.removeFunc(func(r crash.Report) bool { return !n.Crashes.Known(r.Process) })
}

// crashesSince returns the reports that changed after a change number, and the number of
// the last change.
func (n *Network) crashesSince(number uint64) ([]*v1.TargetCrash, uint64) {
	reports, last := n.crashReports.since(number, func(crash.Report) bool { return true })
	messages := make([]*v1.TargetCrash, 0, len(reports))
	now := n.Now()
	for _, r := range reports {
		messages = append(messages, crashMessage(r, now))
	}
	return messages, last
}

func (n *Network) mergeCrashes(messages []*v1.TargetCrash) {
	now := n.Now()
	reports := make([]crash.Report, 0, len(messages))
	for _, m := range messages {
		reports = append(reports, crashFrom(m, now))
	}
	n.Crashes.Merge(reports...)
}

func crashMessage(r crash.Report, now time.Time) *v1.TargetCrash {
	m := &v1.TargetCrash{
		TargetId: string(r.Target), Generation: r.Generation, ClearedParts: r.Cleared,
		AgeMs: max(now.Sub(r.At).Milliseconds(), 0), RenewedAgeMs: max(now.Sub(r.RenewedAt).Milliseconds(), 0),
	}
	for _, s := range r.Suspects {
		m.Suspects = append(m.Suspects, &v1.CrashSuspect{Part: s.Name, Depth: int64(s.Depth)})
	}
	return m
}

func crashFrom(m *v1.TargetCrash, now time.Time) crash.Report {
	r := crash.Report{
		Process:   crash.Process{Target: deployment.TargetID(m.GetTargetId()), Generation: m.GetGeneration()},
		At:        now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		RenewedAt: now.Add(-time.Duration(m.GetRenewedAgeMs()) * time.Millisecond),
		Cleared:   m.GetClearedParts(),
	}
	for _, s := range m.GetSuspects() {
		r.Suspects = append(r.Suspects, crash.Suspect{Name: s.GetPart(), Depth: int(s.GetDepth())})
	}
	return r
}
