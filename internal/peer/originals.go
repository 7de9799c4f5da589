package peer

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// originals are the states that relays pass on one by one, each with its origin:
// what instances admitted, and what the holders of orders know of engines.
type originals struct {
	// taking is held while a state is taken and those that go by it are told, so
	// that they are told in the order in which states are taken.
	taking    sync.Mutex
	spendings changes[*v1.Spending]
	engines   changes[*v1.EngineState]
}

// received are the numbers of the last changes that a relay passed on.
type received struct{ spendings, engines uint64 }

// takeSpending takes what an instance admitted, from itself or through a relay.
func (n *Network) takeSpending(s *v1.Spending) {
	if s.GetInstanceId() == "" || s.GetInstanceId() == n.Self.ID {
		return
	}
	n.originals.taking.Lock()
	defer n.originals.taking.Unlock()
	if n.originals.spendings.take(s.GetInstanceId()+"#"+s.GetIncarnation(), s, newerSpending, sameSpending) {
		n.Meter.Observe(s.GetInstanceId(), s.GetIncarnation(), admittedFrom(s.GetTeams()))
	}
}

// takeEngine takes what a holder of orders knows of an engine, from the holder
// or through a relay.
func (n *Network) takeEngine(e *v1.EngineState, now time.Time) {
	n.originals.taking.Lock()
	defer n.originals.taking.Unlock()
	if n.originals.engines.take(e.GetTargetId(), e, newerEngine, sameEngine) {
		n.Directory.Update(engineFrom(e, now))
	}
}

// takeRelayed takes what a relay passed on.
func (n *Network) takeRelayed(response *v1.ExchangeResponse) {
	now := n.Now()
	for _, s := range response.GetSpendings() {
		n.takeSpending(s)
	}
	for _, e := range response.GetEngines() {
		n.takeEngine(e, now)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[response.GetResponder().GetMember().GetInstanceId()]; ok {
		r.received = received{spendings: response.GetSpendingsChange(), engines: response.GetEnginesChange()}
	}
}

// ownEngines returns the states of the engines that this instance orders, and
// takes them itself.
func (n *Network) ownEngines() []*v1.EngineState {
	now := n.Now()
	var own []*v1.EngineState
	for _, e := range n.Holder.States() {
		m := engineMessage(e, n.Self.Zone, now)
		n.takeEngine(m, now)
		own = append(own, m)
	}
	return own
}

// passOn adds what an instance that asked lacks: from a relay what all instances
// admitted and all engines, to other zones those of its own zone; from an
// instance that is asked by all others the engines that it orders.
func (n *Network) passOn(response *v1.ExchangeResponse, request *v1.ExchangeRequest, asker Member) {
	var has received
	if request.GetChangesSource() == n.Incarnation {
		has = received{spendings: request.GetSpendingsAfter(), engines: request.GetEnginesAfter()}
	}
	role := n.currentRole()
	if role == relayed || role == meshed && !n.Holder.Holds() {
		return
	}
	everything := role == relaying && asker.Zone == n.Self.Zone
	response.Engines, response.EnginesChange = n.originals.engines.after(has.engines, func(e *v1.EngineState) bool {
		return everything || e.GetZone() == n.Self.Zone
	})
	if role == meshed {
		return
	}
	response.Spendings, response.SpendingsChange = n.originals.spendings.after(has.spendings, func(s *v1.Spending) bool {
		return s.GetInstanceId() != asker.ID && (everything || s.GetZone() == n.Self.Zone)
	})
}

// spendingOf returns the part of an instance's state that relays pass on.
func spendingOf(s *v1.InstanceState) *v1.Spending {
	return &v1.Spending{
		InstanceId:  s.GetMember().GetInstanceId(),
		Zone:        s.GetMember().GetZone(),
		Incarnation: s.GetIncarnation(),
		Sequence:    s.GetSequence(),
		Teams:       s.GetTeams(),
	}
}

func newerSpending(known, next *v1.Spending) bool { return next.GetSequence() > known.GetSequence() }

func sameSpending(known, next *v1.Spending) bool {
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

func newerEngine(known, next *v1.EngineState) bool {
	switch {
	case known.GetBorn() != next.GetBorn():
		return next.GetBorn() > known.GetBorn()
	case known.GetFencingNumber() != next.GetFencingNumber():
		return next.GetFencingNumber() > known.GetFencingNumber()
	}
	return next.GetSequence() > known.GetSequence()
}

// sameEngine compares what lasts: the time to a load's end passes by itself.
func sameEngine(a, b *v1.EngineState) bool {
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
