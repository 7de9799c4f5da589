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

// sentState is what a request said of this instance: the number of the last change of its
// log, its requests in flight, and the numbers of the last notices.
type sentState struct {
	number  uint64
	uses    map[deployment.TargetID]inflight.TargetUse
	notices noticeCursor
}

// stateFor returns the state that this instance publishes, under the next sequence
// number, for a receiver of a protocol version. The caller holds the lock.
func (n *Network) stateFor(receiver Member, version uint32, p position) *v1.InstanceState {
	n.refreshOwn()
	n.sequence++
	s := &v1.InstanceState{Member: n.selfMessage(), Incarnation: n.Incarnation, Sequence: n.sequence}
	if version == 0 {
		n.addCompleteState(s)
		return s
	}
	s.Changes = n.changesFor(scopeOwn, p.own, p.names, receiver)
	return s
}

// newRequest returns the exchange request for the instance with an id, or for a
// seed if the id is empty, and what it says of this instance.
func (n *Network) newRequest(id string) (*v1.ExchangeRequest, sentState) {
	request := &v1.ExchangeRequest{Beliefs: n.replicaStates(), WantsAdapters: n.Holder.Holds(), ProtocolVersion: protocolVersion}
	if configuration := n.Catalog.Configuration(); configuration != nil {
		request.ConfigurationVersion = configuration.Version
	}
	n.mu.Lock()
	r, ok := n.remotes[id]
	if !ok {
		r = &remote{}
	}
	request.Sender = n.stateFor(r.Member, r.protocolVersion, r.position)
	request.ChangesSource, request.Receipt = r.incarnation, r.receiptMessage()
	request.Relaying = n.role == roleRelaying
	cursor, version, role, receiver := r.cursor, r.protocolVersion, n.role, r.Member
	sent := sentState{number: n.log.last, uses: n.ownUses}
	n.mu.Unlock()
	request.EnginesAfter, request.SpendingsAfter = cursor.engines, cursor.teamUsage
	request.CrashesAfter, request.LimitsAfter, request.SpeedsAfter = cursor.notices.crashes, cursor.notices.limits, cursor.notices.speeds
	request.Crashes, sent.notices.crashes = n.crashesSince(cursor.pushed.crashes)
	request.Limits, sent.notices.limits = n.limitsSince(cursor.pushed.limits)
	// An instance that relays calls only such that relay too.
	speeds, number := n.StateSpeeds(receiver, true, cursor.pushed.speeds)
	request.Speeds, request.SpeedsChange, sent.notices.speeds = speedsMessage(speeds), number, number
	if version == 0 && role != roleRelayed {
		request.Members = n.memberListFor(id)
	}
	request.WantsAdapters = request.WantsAdapters || role == roleRelaying
	return request, sent
}

func (n *Network) selfMessage() *v1.Member {
	m := memberMessage(n.Self)
	m.Leaving, m.CutOffServices, m.HoldsOrders, m.WaitingLoads = n.Leaving(), n.cutOff(), n.Holder.Holds(), int64(n.Holder.WaitingLoads())
	return m
}

// maxMemberAge is the longest time since an instance was seen that messages state.
const maxMemberAge = time.Hour

// seenAt returns when a member in a message that was sent at a time had been seen, or was
// sent at the earliest.
func seenAt(m *v1.Member, sentAt time.Time) time.Time {
	age := min(max(m.GetAgeMs(), 0), maxMemberAge.Milliseconds()+1)
	return sentAt.Add(-time.Duration(age) * time.Millisecond)
}

// message describes the instance as last seen at a time.
func (r *remote) message(seenAt, now time.Time) *v1.Member {
	m := memberMessage(r.Member)
	// Rounded up, so that the age is never understated.
	m.AgeMs = min(now.Sub(seenAt), maxMemberAge).Milliseconds() + 1
	m.Leaving, m.CutOffServices, m.HoldsOrders, m.WaitingLoads = r.status.leaving, r.status.cutOff, r.status.holdsLease, int64(r.status.waitingLoads)
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
	return &v1.TargetUse{
		TargetId:      string(id),
		Requests:      int64(u.Requests),
		WaitingTokens: int64(u.WaitingTokens),
		Tokens:        int64(u.Tokens),
		Adapters:      adapterUseMessages(u),
	}
}

func adapterUseMessages(u inflight.TargetUse) []*v1.AdapterUse {
	var messages []*v1.AdapterUse
	for name, requests := range u.Adapters {
		if name.Adapter != "" && requests > 0 {
			messages = append(messages, &v1.AdapterUse{Model: name.Model, Adapter: name.Adapter, Requests: int64(requests)})
		}
	}
	return messages
}

func adapterUsesFrom(messages []*v1.AdapterUse) map[deployment.AdapterName]int {
	uses := make(map[deployment.AdapterName]int, len(messages))
	for _, a := range messages {
		uses[deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}] = int(a.GetRequests())
	}
	return uses
}

func targetUsesFrom(messages []*v1.TargetUse) map[deployment.TargetID]inflight.TargetUse {
	uses := make(map[deployment.TargetID]inflight.TargetUse, len(messages))
	for _, m := range messages {
		uses[deployment.TargetID(m.GetTargetId())] = inflight.TargetUse{
			Use:      inflight.Use{Requests: int(m.GetRequests()), WaitingTokens: int(m.GetWaitingTokens()), Tokens: int(m.GetTokens())},
			Adapters: adapterUsesFrom(m.GetAdapters()),
		}
	}
	return uses
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
		m.Adapters = append(m.Adapters, adapterStateMessage(r, now))
	}
	return m
}

func adapterStateMessage(r placement.Resident, now time.Time) *v1.AdapterState {
	return &v1.AdapterState{Model: r.Model, Adapter: r.Adapter, Version: r.Version, ReadyInMs: max(r.ReadyAt.Sub(now).Milliseconds(), 0)}
}

func residentFrom(a *v1.AdapterState, now time.Time) placement.Resident {
	return placement.Resident{AdapterName: adapterName(a), Version: a.GetVersion(), ReadyAt: now.Add(time.Duration(a.GetReadyInMs()) * time.Millisecond)}
}

func adapterName(a *v1.AdapterState) deployment.AdapterName {
	return deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}
}

func engineFrom(m *v1.EngineState, now time.Time) placement.EngineState {
	e := placement.EngineState{
		Target: deployment.TargetID(m.GetTargetId()), Generation: m.GetBorn(), FencingNumber: m.GetFencingNumber(), Sequence: m.GetSequence(), Models: m.GetModels(),
	}
	for _, a := range m.GetAdapters() {
		e.Residents = append(e.Residents, residentFrom(a, now))
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
	return &v1.StoredObject{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
}

func objectsFrom(messages []*v1.StoredObject) []platformstore.Object {
	objects := make([]platformstore.Object, 0, len(messages))
	for _, m := range messages {
		objects = append(objects, objectFrom(m))
	}
	return objects
}

func objectFrom(m *v1.StoredObject) platformstore.Object {
	return platformstore.Object{Name: m.GetName(), Revision: m.GetRevision(), Value: json.RawMessage(m.GetValue()), Deleted: m.GetDeleted()}
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
