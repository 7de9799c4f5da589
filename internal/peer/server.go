package peer

import (
	"context"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
)

// server implements the protocol towards the other instances.
type server struct {
	network *Network
}

// Exchange applies the sender's state and returns this instance's state, with
// the replicas of store objects that are newer than the sender's.
func (s *server) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	n := s.network
	n.receiveState(request.GetSender())
	n.addMembers(request.GetMembers(), n.Now())
	n.mergeCrashes(request.GetCrashes())
	n.mergeLimits(request.GetLimits())
	requester := memberFrom(request.GetSender().GetMember())
	response := &v1.ExchangeResponse{
		Responder: n.nextState(),
		Beliefs:   n.newerReplicas(request.GetBeliefs()),
		Zones:     n.summariesFor(requester, request.GetWantsAdapters()),
	}
	if request.GetChangesSource() == n.Incarnation {
		response.Members = n.memberListFor(requester.ID)
	} else {
		// The requester has received nothing from this incarnation yet, and may
		// know none of the other instances.
		response.Members = n.memberMessages()
	}
	if o, ok := n.Catalog.RetainedConfiguration(request.GetConfigurationVersion()); ok {
		response.RetainedConfiguration = objectMessage(o)
	}
	n.addChanges(response, request, requester)
	return response, nil
}

// LoadAdapter has an adapter loaded on an engine that this instance holds the
// lease for.
func (s *server) LoadAdapter(ctx context.Context, request *v1.LoadAdapterRequest) (*v1.LoadAdapterResponse, error) {
	n, m := s.network, request
	n.Holder.LoadLimiter.Observe(int(m.GetLate()), int(m.GetTimely()), n.Now())
	name := deployment.AdapterName{Model: m.GetModel(), Adapter: m.GetAdapter()}
	result, readyAt, version := n.Holder.Load(ctx, deployment.TargetID(m.GetTargetId()), name, m.GetVersion())
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

// replicaStates describes how new this instance's replicas are.
func (n *Network) replicaStates() []*v1.BeliefState {
	var states []*v1.BeliefState
	for kind, f := range n.Catalog.Followers() {
		states = append(states, replicaStateMessage(kind, f.State(), n.Now()))
	}
	return states
}

// newerReplicas returns, for each kind in known, this instance's replica for an
// instance whose own replica has the known state. It skips the kinds for which
// newerReplica returns nil.
func (n *Network) newerReplicas(known []*v1.BeliefState) []*v1.Belief {
	followers := n.Catalog.Followers()
	var replicas []*v1.Belief
	for _, k := range known {
		f, ok := followers[platformstore.Kind(k.GetKind())]
		if !ok {
			continue
		}
		if b := newerReplica(k, f, n); b != nil {
			replicas = append(replicas, b)
		}
	}
	return replicas
}

// newerReplica returns this instance's replica of one kind; nil if no read of
// the store ever confirmed it. The objects are left out if the receiver's replica
// has the same content or a position that is not before this one's.
func newerReplica(known *v1.BeliefState, f *catalog.Follower, n *Network) *v1.Belief {
	state := f.State()
	if state.ConfirmedAt.IsZero() {
		return nil
	}
	position := platformstore.Position{Generation: known.GetGeneration(), Revision: known.GetPosition()}
	if state.ContentHash == known.GetContent() || state.Position().Compare(position) <= 0 {
		return &v1.Belief{State: replicaStateMessage(f.Kind, state, n.Now())}
	}
	state, objects := f.Snapshot()
	return &v1.Belief{
		State:    replicaStateMessage(f.Kind, state, n.Now()),
		Complete: true,
		Objects:  objectMessages(objects),
	}
}
