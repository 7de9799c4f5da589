package peer

import (
	"encoding/json"
	"net/netip"
	"time"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
)

// nextState returns the state that this instance publishes, under the next
// sequence number.
func (n *Network) nextState() *v1.InstanceState {
	n.mu.Lock()
	n.sequence++
	sequence := n.sequence
	n.mu.Unlock()
	s := &v1.InstanceState{
		Member:      n.selfMessage(),
		Incarnation: n.Incarnation,
		Sequence:    sequence,
		Teams:       teamMessages(n.Meter.Admitted()),
	}
	for id, u := range n.Tracker.All() {
		s.Targets = append(s.Targets, targetUseMessage(id, u))
	}
	engines := n.leasedEngines()
	if n.currentRole() == roleRelayed {
		s.Engines = engines
	}
	n.relayedStates.teamUsage.apply(n.Self.ID+"#"+n.Incarnation, teamUsageOf(s), newerTeamUsage, equalTeamUsage)
	return s
}

// newRequest returns the exchange request for the instance with an id, or for a
// seed if the id is empty, and the numbers of the last changes of notices in it.
func (n *Network) newRequest(id string) (request *v1.ExchangeRequest, pushed noticeCursor) {
	request = &v1.ExchangeRequest{Sender: n.nextState(), Beliefs: n.replicaStates(), WantsAdapters: n.Holder.Holds()}
	if configuration := n.Catalog.Configuration(); configuration != nil {
		request.ConfigurationVersion = configuration.Version
	}
	var cursor changeCursor
	n.mu.RLock()
	if r, ok := n.remotes[id]; ok {
		request.ChangesSource, cursor = r.incarnation, r.cursor
	}
	role := n.role
	n.mu.RUnlock()
	request.EnginesAfter, request.SpendingsAfter = cursor.engines, cursor.teamUsage
	request.CrashesAfter, request.LimitsAfter = cursor.notices.crashes, cursor.notices.limits
	request.Crashes, pushed.crashes = n.crashesSince(cursor.pushed.crashes)
	request.Limits, pushed.limits = n.limitsSince(cursor.pushed.limits)
	request.WantsAdapters = request.WantsAdapters || role == roleRelaying
	if role != roleRelayed {
		request.Members = n.memberListFor(id)
	}
	return request, pushed
}

// The minimum times between two member lists sent to the same instance. The
// time is longer in a full mesh: there every instance exchanges with all
// others, and learns from several of them about those that it cannot reach
// itself.
const (
	memberListInterval       = 280 * time.Millisecond
	meshedMemberListInterval = 1150 * time.Millisecond
)

// memberListFor returns the member list for the instance with an id; nil if the
// last list was sent to it less than the minimum time ago.
func (n *Network) memberListFor(id string) []*v1.Member {
	n.mu.Lock()
	now, interval := n.Now(), memberListInterval
	if n.role == roleMeshed {
		interval = meshedMemberListInterval
	}
	r, ok := n.remotes[id]
	due := !ok || now.Sub(r.memberListSentAt) >= interval
	if ok && due {
		r.memberListSentAt = now
	}
	n.mu.Unlock()
	if !due {
		return nil
	}
	return n.memberMessages()
}

func teamMessages(teams map[string]float64) []*v1.TeamUse {
	messages := make([]*v1.TeamUse, 0, len(teams))
	for team, admitted := range teams {
		messages = append(messages, &v1.TeamUse{Team: team, Admitted: admitted})
	}
	return messages
}

// memberMessages returns the instances that are alive, without this one.
func (n *Network) memberMessages() []*v1.Member {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	var members []*v1.Member
	for _, r := range n.remotes {
		if !r.alive(now) {
			continue
		}
		m := memberMessage(r.Member)
		// Rounded up, so that the age is never understated.
		m.AgeMs = now.Sub(r.lastSeenAt).Milliseconds() + 1
		m.Leaving, m.CutOffServices, m.HoldsOrders, m.WaitingLoads = r.leaving, r.cutOff, r.holdsLease, int64(r.waitingLoads)
		members = append(members, m)
	}
	return members
}

func (n *Network) selfMessage() *v1.Member {
	m := memberMessage(n.Self)
	m.Leaving, m.CutOffServices, m.HoldsOrders, m.WaitingLoads = n.Leaving(), n.cutOff(), n.Holder.Holds(), int64(n.Holder.WaitingLoads())
	return m
}

func memberMessage(m Member) *v1.Member {
	return &v1.Member{InstanceId: m.ID, Zone: m.Zone, Address: m.Address.String(), Capacity: m.Capacity}
}

// memberFrom reads a member message. The address is left zero if it does not
// parse.
func memberFrom(m *v1.Member) Member {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		address = netip.AddrPort{}
	}
	return Member{ID: m.GetInstanceId(), Zone: m.GetZone(), Address: address, Capacity: m.GetCapacity()}
}

// targetUseMessage converts what is in flight at a target. Requests for the
// base model are part of the totals, but not of the list of adapters.
func targetUseMessage(id deployment.TargetID, u inflight.TargetUse) *v1.TargetUse {
	m := &v1.TargetUse{
		TargetId:      string(id),
		Requests:      int64(u.Requests),
		WaitingTokens: int64(u.WaitingTokens),
		Tokens:        int64(u.Tokens),
	}
	for name, requests := range u.Adapters {
		if name.Adapter != "" {
			m.Adapters = append(m.Adapters, &v1.AdapterUse{Model: name.Model, Adapter: name.Adapter, Requests: int64(requests)})
		}
	}
	return m
}

func targetUsesFrom(messages []*v1.TargetUse) map[deployment.TargetID]inflight.TargetUse {
	uses := make(map[deployment.TargetID]inflight.TargetUse, len(messages))
	for _, m := range messages {
		u := inflight.TargetUse{
			Use:      inflight.Use{Requests: int(m.GetRequests()), WaitingTokens: int(m.GetWaitingTokens()), Tokens: int(m.GetTokens())},
			Adapters: make(map[deployment.AdapterName]int, len(m.GetAdapters())),
		}
		for _, a := range m.GetAdapters() {
			u.Adapters[deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}] = int(a.GetRequests())
		}
		uses[deployment.TargetID(m.GetTargetId())] = u
	}
	return uses
}

func admittedFrom(messages []*v1.TeamUse) map[string]float64 {
	admitted := make(map[string]float64, len(messages))
	for _, m := range messages {
		admitted[m.GetTeam()] = m.GetAdmitted()
	}
	return admitted
}

func engineMessage(e placement.EngineState, zone string, now time.Time) *v1.EngineState {
	m := &v1.EngineState{
		TargetId:      string(e.Target),
		Born:          e.Generation,
		Models:        e.Models,
		Zone:          zone,
		FencingNumber: e.FencingNumber,
		Sequence:      e.Sequence,
	}
	for _, r := range e.Residents {
		m.Adapters = append(m.Adapters, &v1.AdapterState{
			Model:     r.Model,
			Adapter:   r.Adapter,
			Version:   r.Version,
			ReadyInMs: max(r.ReadyAt.Sub(now).Milliseconds(), 0),
		})
	}
	return m
}

func engineFrom(m *v1.EngineState, now time.Time) placement.EngineState {
	e := placement.EngineState{Target: deployment.TargetID(m.GetTargetId()), Generation: m.GetBorn(), Models: m.GetModels()}
	for _, a := range m.GetAdapters() {
		e.Residents = append(e.Residents, placement.Resident{
			AdapterName: adapterName(a),
			Version:     a.GetVersion(),
			ReadyAt:     now.Add(time.Duration(a.GetReadyInMs()) * time.Millisecond),
		})
	}
	return e
}

func replicaStateMessage(kind platformstore.Kind, s catalog.State, now time.Time) *v1.BeliefState {
	m := &v1.BeliefState{Kind: string(kind), Generation: s.Generation, Position: s.Revision, Content: s.ContentHash, ConfirmedAgeMs: -1}
	if !s.ConfirmedAt.IsZero() {
		// Rounded up, so that the age is never understated.
		m.ConfirmedAgeMs = now.Sub(s.ConfirmedAt).Milliseconds() + 1
	}
	return m
}

func replicaStateFrom(m *v1.BeliefState, sentAt time.Time) catalog.State {
	s := catalog.State{Generation: m.GetGeneration(), Revision: m.GetPosition(), ContentHash: m.GetContent()}
	if m.GetConfirmedAgeMs() >= 0 {
		s.ConfirmedAt = sentAt.Add(-time.Duration(m.GetConfirmedAgeMs()) * time.Millisecond)
	}
	return s
}

func objectMessages(objects []platformstore.Object) []*v1.StoredObject {
	messages := make([]*v1.StoredObject, 0, len(objects))
	for _, o := range objects {
		messages = append(messages, objectMessage(o))
	}
	return messages
}

func objectMessage(o platformstore.Object) *v1.StoredObject {
	return &v1.StoredObject{Name: o.Name, Revision: o.Revision, Value: o.Value}
}

func objectsFrom(messages []*v1.StoredObject) []platformstore.Object {
	objects := make([]platformstore.Object, 0, len(messages))
	for _, m := range messages {
		objects = append(objects, objectFrom(m))
	}
	return objects
}

func objectFrom(m *v1.StoredObject) platformstore.Object {
	return platformstore.Object{Name: m.GetName(), Revision: m.GetRevision(), Value: json.RawMessage(m.GetValue())}
}

var resultMessages = map[placement.Result]v1.LoadAdapterResponse_Result{
	placement.Ready:     v1.LoadAdapterResponse_RESULT_READY,
	placement.Full:      v1.LoadAdapterResponse_RESULT_FULL,
	placement.NotHolder: v1.LoadAdapterResponse_RESULT_NOT_HOLDER,
	placement.Failed:    v1.LoadAdapterResponse_RESULT_FAILED,
}

func resultMessage(r placement.Result) v1.LoadAdapterResponse_Result { return resultMessages[r] }

func resultFrom(m v1.LoadAdapterResponse_Result) placement.Result {
	for result, message := range resultMessages {
		if message == m {
			return result
		}
	}
	return placement.Failed
}
