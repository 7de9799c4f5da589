package peer

import (
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/throttle"
)

// Statements of targets about their limits travel like the reports on crashes. The
// latest one of a target's process is valid.

// PublishLimit has the exchange carry a statement that says something new.
func (n *Network) PublishLimit(s throttle.Statement) {
	if n.limitStatements.apply(string(s.Target), s, func(known, next throttle.Statement) bool { return next.Newer(known) }, differentLimit) {
		n.TriggerExchange()
	}
}

func differentLimit(throttle.Statement, throttle.Statement) bool { return false }

// RetainLimits drops the statements that the limiter has dropped.
func (n *Network) RetainLimits() {
	n.limitStatements.removeFunc(func(s throttle.Statement) bool { return !n.Limits.Known(s.Target) })
}

// limitsSince returns the statements that changed after a change number, and the number
// of the last change.
func (n *Network) limitsSince(number uint64) ([]*v1.TargetLimit, uint64) {
	statements, last := n.limitStatements.since(number, func(throttle.Statement) bool { return true })
	messages := make([]*v1.TargetLimit, 0, len(statements))
	now := n.Now()
	for _, s := range statements {
		messages = append(messages, &v1.TargetLimit{
			TargetId: string(s.Target), Generation: s.Generation, Limited: s.Limited, PerSecond: s.PerSecond,
			AgeMs: max(now.Sub(s.At).Milliseconds(), 0), Brittle: s.Brittle, Rejections: int64(s.Rejections), Service: s.Service,
		})
	}
	return messages, last
}

func (n *Network) mergeLimits(messages []*v1.TargetLimit) {
	now := n.Now()
	for _, m := range messages {
		n.Limits.Merge(throttle.Statement{
			Target: deployment.TargetID(m.GetTargetId()), Generation: m.GetGeneration(), Limited: m.GetLimited(), PerSecond: m.GetPerSecond(),
			At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond), Brittle: m.GetBrittle(), Rejections: int(m.GetRejections()), Service: m.GetService(),
		})
	}
}

// MemberIDs returns the ids of the known instances that may be running, this one
// included, without those that announced that they leave.
func (n *Network) MemberIDs() []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	ids := []string{n.Self.ID}
	for id, r := range n.remotes {
		if !r.status.leaving {
			ids = append(ids, id)
		}
	}
	return ids
}
