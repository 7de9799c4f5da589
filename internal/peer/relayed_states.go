package peer

import (
	"sync"
	"time"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/throttle"
)

// relayedStates are the states that relays forward unchanged, one by one,
// instead of adding them up: what each instance admitted, and what the lease
// holders report of their engines.
type relayedStates struct {
	// applyMu is held while a state is applied and handed to the meter or the
	// directory, so that these receive states in the order in which they are
	// applied.
	applyMu   sync.Mutex
	teamUsage changeLog[*v1.Spending]
	engines   changeLog[*v1.EngineState]
	crashes   changeLog[crash.Report]
	limits    changeLog[throttle.Statement]
}

// changeCursor holds the numbers of the last changes received from an instance, and of
// those that the instance has received.
type changeCursor struct {
	teamUsage, engines uint64
	notices, pushed    noticeCursor
}

// noticeCursor holds the numbers of the last changes of the notices about targets, which
// every instance sends to its partners and returns to those that call it.
type noticeCursor struct{ crashes, limits uint64 }

// applyTeamUsage applies what another instance admitted, received from it or
// through a relay.
func (n *Network) applyTeamUsage(s *v1.Spending) {
	if s.GetInstanceId() == "" || s.GetInstanceId() == n.Self.ID {
		return
	}
	n.relayedStates.applyMu.Lock()
	defer n.relayedStates.applyMu.Unlock()
	if n.relayedStates.teamUsage.apply(s.GetInstanceId()+"#"+s.GetIncarnation(), s, newerTeamUsage, equalTeamUsage) {
		n.Meter.Observe(s.GetInstanceId(), s.GetIncarnation(), admittedFrom(s.GetTeams()))
	}
}

// applyEngine applies what a lease holder reports of an engine, received from
// the holder or through a relay.
func (n *Network) applyEngine(e *v1.EngineState, now time.Time) {
	n.relayedStates.applyMu.Lock()
	defer n.relayedStates.applyMu.Unlock()
	if n.relayedStates.engines.apply(e.GetTargetId(), e, newerEngine, equalEngine) {
		n.Directory.Update(engineFrom(e, now))
	}
}

// applyRelayedStates applies the states that a response forwards, and advances
// the cursor of the responder.
func (n *Network) applyRelayedStates(response *v1.ExchangeResponse) {
	now := n.Now()
	for _, s := range response.GetSpendings() {
		n.applyTeamUsage(s)
	}
	for _, e := range response.GetEngines() {
		n.applyEngine(e, now)
	}
	n.mergeCrashes(response.GetCrashes())
	n.mergeLimits(response.GetLimits())
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[response.GetResponder().GetMember().GetInstanceId()]; ok {
		r.cursor.teamUsage, r.cursor.engines = response.GetSpendingsChange(), response.GetEnginesChange()
		r.cursor.notices = noticeCursor{crashes: response.GetCrashesChange(), limits: response.GetLimitsChange()}
	}
}

// recordPushed records that the instance with an id has received the notices up to
// given change numbers. An incarnation that has started since the request was built
// lacks the earlier ones.
func (n *Network) recordPushed(id string, pushed noticeCursor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[id]; ok {
		r.cursor.pushed = noticeCursor{crashes: max(r.cursor.pushed.crashes, pushed.crashes), limits: max(r.cursor.pushed.limits, pushed.limits)}
	}
}

// leasedEngines returns the states of the engines that this instance holds the
// lease for, and applies them to its own directory.
func (n *Network) leasedEngines() []*v1.EngineState {
	now := n.Now()
	var states []*v1.EngineState
	for _, e := range n.Holder.States() {
		m := engineMessage(e, n.Self.Zone, now)
		n.applyEngine(m, now)
		states = append(states, m)
	}
	return states
}

// applyOwnEngines applies the states of the engines that this instance holds the lease
// for while it knows no other instance: otherwise each exchange does.
func (n *Network) applyOwnEngines() {
	if n.MemberCount() == 1 {
		n.leasedEngines()
	}
}

// addChanges adds the forwarded states that a requester lacks to a response. Every
// instance sends the crashes and the limits of targets. A
// relay sends team usage and engines: those of all zones to an instance of its
// own zone, and those of its own zone to any other. In a full mesh only the
// lease holder adds something, the engines of its zone.
func (n *Network) addChanges(response *v1.ExchangeResponse, request *v1.ExchangeRequest, requester Member) {
	var cursor changeCursor
	if request.GetChangesSource() == n.Incarnation {
		cursor = changeCursor{teamUsage: request.GetSpendingsAfter(), engines: request.GetEnginesAfter(), notices: noticeCursor{crashes: request.GetCrashesAfter(), limits: request.GetLimitsAfter()}}
	}
	response.Crashes, response.CrashesChange = n.crashesSince(cursor.notices.crashes)
	response.Limits, response.LimitsChange = n.limitsSince(cursor.notices.limits)
	role := n.currentRole()
	if role == roleRelayed || role == roleMeshed && !n.Holder.Holds() {
		return
	}
	allZones := role == roleRelaying && requester.Zone == n.Self.Zone
	response.Engines, response.EnginesChange = n.relayedStates.engines.since(cursor.engines, func(e *v1.EngineState) bool {
		return allZones || e.GetZone() == n.Self.Zone
	})
	if role == roleMeshed {
		return
	}
	response.Spendings, response.SpendingsChange = n.relayedStates.teamUsage.since(cursor.teamUsage, func(s *v1.Spending) bool {
		return s.GetInstanceId() != requester.ID && (allZones || s.GetZone() == n.Self.Zone)
	})
}

// teamUsageOf returns the part of an instance's state that relays forward as
// team usage.
func teamUsageOf(s *v1.InstanceState) *v1.Spending {
	return &v1.Spending{
		InstanceId:  s.GetMember().GetInstanceId(),
		Zone:        s.GetMember().GetZone(),
		Incarnation: s.GetIncarnation(),
		Sequence:    s.GetSequence(),
		Teams:       s.GetTeams(),
	}
}

func newerTeamUsage(known, next *v1.Spending) bool { return next.GetSequence() > known.GetSequence() }

func equalTeamUsage(known, next *v1.Spending) bool {
	if len(known.GetTeams()) != len(next.GetTeams()) {
		return false
	}
	admitted := admittedFrom(known.GetTeams())
	for _, t := range next.GetTeams() {
		if known, ok := admitted[t.GetTeam()]; !ok || known != t.GetAdmitted() {
			return false
		}
	}
	return true
}

// newerEngine orders states by the engine's start, then by the fencing number
// of the lease, then by the holder's sequence number.
func newerEngine(known, next *v1.EngineState) bool {
	switch {
	case known.GetBorn() != next.GetBorn():
		return next.GetBorn() > known.GetBorn()
	case known.GetFencingNumber() != next.GetFencingNumber():
		return next.GetFencingNumber() > known.GetFencingNumber()
	}
	return next.GetSequence() > known.GetSequence()
}

// equalEngine compares two states without the remaining load times, which
// change by themselves.
func equalEngine(a, b *v1.EngineState) bool {
	if a.GetBorn() != b.GetBorn() || len(a.GetAdapters()) != len(b.GetAdapters()) || len(a.GetModels()) != len(b.GetModels()) {
		return false
	}
	versions := make(map[deployment.AdapterName]uint64, len(a.GetAdapters()))
	for _, r := range a.GetAdapters() {
		versions[adapterName(r)] = r.GetVersion() + 1
	}
	for _, r := range b.GetAdapters() {
		if versions[adapterName(r)] != r.GetVersion()+1 {
			return false
		}
	}
	return true
}

func adapterName(a *v1.AdapterState) deployment.AdapterName {
	return deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}
}
