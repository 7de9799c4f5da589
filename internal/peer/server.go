package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
)

// server implements the protocol towards the other instances.
type server struct {
	network *Network
}

// Exchange applies the sender's state and returns this instance's state, with
// the replicas of store objects that are newer than the sender's. A request without a
// sender is answered and changes nothing.
func (s *server) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	n := s.network
	requester, version := memberFrom(request.GetSender().GetMember()), request.GetProtocolVersion()
	if request.GetSender() != nil {
		if err := n.receiveState(request.GetSender(), version); err != nil {
			n.Log.Warn("request of peer refused", zap.String("peer", requester.ID), zap.Error(err))
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	n.addMembers(request.GetMembers(), n.Now())
	n.mergeCrashes(request.GetCrashes())
	n.mergeLimits(request.GetLimits())
	n.receiveSpeeds(request.GetSender(), request.GetSpeeds(), request.GetSpeedsChange())
	response := &v1.ExchangeResponse{ProtocolVersion: protocolVersion, Beliefs: n.newerReplicas(request.GetBeliefs(), version, request.GetWithoutObjects())}
	n.addState(response, request, requester)
	if version == 0 {
		n.addCompleteLists(response, request, requester)
	}
	if o, ok := n.Catalog.RetainedConfiguration(request.GetConfigurationVersion()); ok && !request.GetWithoutObjects() {
		response.RetainedConfiguration = objectMessage(o)
	}
	n.addNotices(response, request, requester)
	return response, nil
}

// addState adds this instance's state to a response, and what it relays to the requester.
func (n *Network) addState(response *v1.ExchangeResponse, request *v1.ExchangeRequest, requester Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.positionFrom(request.GetReceipt())
	if r, ok := n.remotes[requester.ID]; ok {
		r.position = known
		response.Receipt = r.receiptMessage()
	}
	response.Responder = n.stateFor(requester, request.GetProtocolVersion(), known)
	if request.GetProtocolVersion() == 0 {
		return
	}
	names := known.names + uint32(len(response.Responder.GetChanges().GetNames()))
	relayed := n.scopeFor(requester, request.GetRelaying(), request.GetWantsAdapters())
	response.Changes = n.changesFor(relayed, known.after(relayed), names, requester)
}

// LoadAdapter has an adapter loaded on an engine that this instance holds the
// lease for.
func (s *server) LoadAdapter(ctx context.Context, request *v1.LoadAdapterRequest) (*v1.LoadAdapterResponse, error) {
	n, m := s.network, request
	n.Holder.LoadLimiter.Observe(int(m.GetLate()), int(m.GetTimely()), n.Now())
	name := deployment.AdapterName{Model: m.GetModel(), Adapter: m.GetAdapter()}
	result, readyAt, version := n.Holder.LoadRanked(ctx, deployment.TargetID(m.GetTargetId()), name, m.GetVersion(), inflight.RankOf(int(min(m.GetRank(), inflight.Ranks))))
	response := &v1.LoadAdapterResponse{Result: resultMessage(result), Version: version}
	if result == placement.Ready {
		response.ReadyInMs = max(readyAt.Sub(n.Now()).Milliseconds(), 0)
	}
	return response, nil
}

// ReservePrompt reserves time on an engine for a prompt, and returns how long
// the sender should delay it.
func (s *server) ReservePrompt(_ context.Context, request *v1.ReservePromptRequest) (*v1.ReservePromptResponse, error) {
	delay := s.network.Prompts.Reserve(deployment.TargetID(request.GetTargetId()), int(request.GetTokens()))
	return &v1.ReservePromptResponse{DelayMs: delay.Milliseconds()}, nil
}

// AssignPrompt chooses the engine for a prompt out of those that this instance assigns
// prompts to.
func (s *server) AssignPrompt(_ context.Context, request *v1.AssignPromptRequest) (*v1.AssignPromptResponse, error) {
	offers, err := offersFrom(request)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	a := s.network.Prompts.Assign(offers, placement.AssignmentLimits{
		Objective: time.Duration(request.GetObjectiveMs()) * time.Millisecond,
		MaxDelay:  time.Duration(request.GetMaxDelayMs()) * time.Millisecond,
		MaxWait:   time.Duration(request.GetMaxWaitMs()) * time.Millisecond,
	})
	return &v1.AssignPromptResponse{Index: uint32(a.Index), DelayMs: a.Delay.Milliseconds(), WaitMs: a.Wait.Milliseconds(), Assigned: a.Assigned}, nil
}

// replicaStates describes how new this instance's replicas are.
func (n *Network) replicaStates() []*v1.BeliefState {
	var states []*v1.BeliefState
	for kind, f := range n.Catalog.Followers() {
		m := replicaStateMessage(kind, f.State(), n.Now())
		m.NeedsComplete = f.NeedsComplete()
		states = append(states, m)
	}
	return states
}

// newerReplicas returns, for each kind in known, this instance's replica for an
// instance of a protocol version whose own replica has the known state, just their states if
// it wants no objects. It skips the kinds for which newerReplica returns nil.
func (n *Network) newerReplicas(known []*v1.BeliefState, version uint32, withoutObjects bool) []*v1.Belief {
	followers := n.Catalog.Followers()
	var replicas []*v1.Belief
	for _, k := range known {
		f, ok := followers[platformstore.Kind(k.GetKind())]
		if !ok {
			continue
		}
		if b := newerReplica(k, f, version, withoutObjects, n); b != nil {
			replicas = append(replicas, b)
		}
	}
	return replicas
}

// newerReplica returns this instance's replica of one kind; nil if no read of
// the store ever confirmed it. The objects are left out if the receiver's replica
// has the same content or a position that is not before this one's, or if it wants none.
// Only those that changed are listed if the replica remembers which these are.
func newerReplica(known *v1.BeliefState, f *catalog.Follower, version uint32, withoutObjects bool, n *Network) *v1.Belief {
	state := f.State()
	if state.ConfirmedAt.IsZero() {
		return nil
	}
	position := platformstore.Position{Generation: known.GetGeneration(), Revision: known.GetPosition()}
	if withoutObjects || state.ContentHash == known.GetContent() || state.Position().Compare(position) <= 0 {
		return &v1.Belief{State: replicaStateMessage(f.Kind, state, n.Now())}
	}
	if version > 0 && !known.GetNeedsComplete() {
		if state, objects, ok := f.ChangesAfter(position); ok {
			return &v1.Belief{
				State: replicaStateMessage(f.Kind, state, n.Now()), Partial: true, ChangedAfter: position.Revision, Objects: objectMessages(objects),
			}
		}
	}
	state, objects := f.Snapshot()
	return &v1.Belief{
		State:    replicaStateMessage(f.Kind, state, n.Now()),
		Complete: true,
		Objects:  objectMessages(objects),
	}
}
