package peer

import (
	"context"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/object"
	"heatherrelay/internal/placement"
)

// server answers the other instances.
type server struct {
	network *Network
}

// Exchange takes the sender's state and returns this instance's, with the
// copies of the store's objects that the sender lacks.
func (s *server) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	n := s.network
	n.hear(request.GetSender())
	n.learnMembers(request.GetMembers(), n.Now())
	asker := memberFrom(request.GetSender().GetMember())
	response := &v1.ExchangeResponse{
		Responder: n.state(),
		Beliefs:   n.beliefsFor(request.GetBeliefs()),
		Zones:     n.summaries(asker, request.GetWantsAdapters()),
	}
	if request.GetChangesSource() == n.Incarnation {
		response.Members = n.membersFor(asker.ID)
	} else {
		// The asker does not know this instance yet, nor maybe the others.
		response.Members = n.memberMessages()
	}
	n.passOn(response, request, asker)
	return response, nil
}

// LoadAdapter has an adapter loaded on an engine that this instance orders.
func (s *server) LoadAdapter(ctx context.Context, request *v1.LoadAdapterRequest) (*v1.LoadAdapterResponse, error) {
	n, m := s.network, request
	n.Holder.Pace.Note(int(m.GetLate()), int(m.GetTimely()), n.Now())
	name := deployment.AdapterName{Model: m.GetModel(), Adapter: m.GetAdapter()}
	result, readyAt, version := n.Holder.Load(ctx, deployment.TargetID(m.GetTargetId()), name, m.GetVersion())
	response := &v1.LoadAdapterResponse{Result: resultMessage(result), Version: version}
	if result == placement.Ready {
		response.ReadyInMs = max(readyAt.Sub(n.Now()).Milliseconds(), 0)
	}
	return response, nil
}

// ReservePrompt announces a prompt for an engine that this instance orders.
func (s *server) ReservePrompt(_ context.Context, request *v1.ReservePromptRequest) (*v1.ReservePromptResponse, error) {
	delay := s.network.Prompts.Reserve(deployment.TargetID(request.GetTargetId()), int(request.GetTokens()))
	return &v1.ReservePromptResponse{DelayMs: delay.Milliseconds()}, nil
}

// beliefStates says how new this instance's copies are.
func (n *Network) beliefStates() []*v1.BeliefState {
	var states []*v1.BeliefState
	for kind, f := range n.Catalog.Followers() {
		states = append(states, stateMessage(kind, f.State(), n.Now()))
	}
	return states
}

// beliefsFor returns the copies that are newer than the sender's.
func (n *Network) beliefsFor(known []*v1.BeliefState) []*v1.Belief {
	followers := n.Catalog.Followers()
	var beliefs []*v1.Belief
	for _, k := range known {
		f, ok := followers[object.Kind(k.GetKind())]
		if !ok {
			continue
		}
		if b := newerBelief(k, f, n); b != nil {
			beliefs = append(beliefs, b)
		}
	}
	return beliefs
}

func newerBelief(known *v1.BeliefState, f *catalog.Follower, n *Network) *v1.Belief {
	state := f.State()
	if state.ConfirmedAt.IsZero() {
		return nil
	}
	if state.Content == known.GetContent() || state.Position <= known.GetPosition() {
		return &v1.Belief{State: stateMessage(f.Kind, state, n.Now())}
	}
	state, objects := f.Snapshot()
	return &v1.Belief{
		State:    stateMessage(f.Kind, state, n.Now()),
		Complete: true,
		Objects:  objectMessages(objects),
	}
}
