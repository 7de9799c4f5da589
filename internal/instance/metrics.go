package instance

import (
	"time"

	"heatherrelay/internal/burn"
	"heatherrelay/internal/callerapi"
	"heatherrelay/internal/settings"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

// assembleMetrics creates and registers the metrics of the other components.
func (i *Instance) assembleMetrics() {
	i.metrics = &burn.Metrics{
		Goals: goals(i.Settings.Objectives),
		Gauges: burn.Gauges{
			ReleaseInForce:   func() uint64 { return i.follower.State().Number },
			KeysConfirmedAge: func() time.Duration { return time.Since(i.follower.ConfirmedAt()) },
			OwnedTargets:     i.ownedTargets,
			QueuedTokens:     i.queuedTokens,
			DroppedOutcomes:  i.sender.DroppedTasks,
			Teams:            func() []release.Team { return i.follower.State().Teams() },
		},
	}
	i.metrics.Register()
	i.metrics.Registry().MustRegister(team.Collector{Allowances: i.allowances})
}

func (i *Instance) ownedTargets() int {
	owned := 0
	for _, s := range i.ownership.States() {
		if s.Owned {
			owned++
		}
	}
	return owned
}

// queuedTokens returns the tokens queued on all targets that this instance owns
// or still drains.
func (i *Instance) queuedTokens() int {
	tokens := 0
	for _, s := range i.ownership.States() {
		tokens += s.Snapshot.QueuedTokens
	}
	return tokens
}

func goals(o settings.Objectives) burn.Goals {
	return burn.Goals{
		release.Interactive: goal(o.Interactive),
		release.Patient:     goal(o.Patient),
	}
}

func goal(o settings.Objective) burn.Goal {
	return burn.Goal{
		FirstTokenLimit: o.FirstTokenLimit.Duration,
		Shares: map[burn.Objective]float64{
			burn.FirstToken:        o.FirstTokenShare,
			burn.Answered:          o.AnsweredShare,
			burn.Unstalled:         o.UnstalledShare,
			burn.JustifiedRefusals: o.JustifiedRefusalShare,
		},
	}
}

// recordOutcome records the outcome of a caller's request in the metrics.
func (i *Instance) recordOutcome(o callerapi.Outcome) {
	i.metrics.RecordRequest(burn.Result{
		Team:       o.Team,
		Kind:       o.Kind,
		Class:      o.Class,
		Code:       o.Code,
		Tokens:     o.Tokens,
		FirstToken: o.FirstToken,
		Duration:   o.Duration,
	})
}

// targetObserver returns an observer that counts the adapter loads and started
// requests of the owned targets.
func (i *Instance) targetObserver() target.Observer {
	return target.Observer{
		OnLoad: func(duration time.Duration, err error) { i.metrics.RecordLoad(duration, err) },
		OnStart: func(r *target.Request, waited time.Duration, stalled bool) {
			i.metrics.RecordStart(r.Team, r.Class, waited, stalled)
		},
	}
}

// metricsEndpoint returns the server of metrics and health checks, which has a
// listener of its own.
func (i *Instance) metricsEndpoint() *burn.Endpoint {
	return &burn.Endpoint{Listener: i.listeners.metrics, Registry: i.metrics.Registry(), Ready: i.checkReadiness}
}
