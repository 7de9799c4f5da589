package instance

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"heatherrelay/internal/dispatch"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
)

// peerRetryAfter tells a caller when a peer should be reachable again.
const peerRetryAfter = time.Second

// PeerServer answers the other instances. Every answer echoes the id of the
// request that it belongs to. All fields are set before use.
type PeerServer struct {
	// Run runs a model request on a target that this instance owns, or, if it
	// names none, on one that this instance chooses in its zone.
	Run func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error)
	// Call sends a plain service call to a target of this zone.
	Call func(ctx context.Context, c dispatch.Call) (dispatch.Reply, error)
	// Give answers a transfer of allowance.
	Give func(r team.TransferRequest) team.TransferReply
	// Pull returns the release notes after a number.
	Pull func(after uint64) (*v1.PullReleasesResponse, error)
	// Changes returns what changed on this instance's targets.
	Changes func(epoch string, sequence uint64) *v1.SyncTargetsResponse
	// Claimed takes word of a peer's target groups.
	Claimed func(from string, claims []*v1.GroupClaim)
}

// Execute implements the peer protocol.
func (p *PeerServer) Execute(ctx context.Context, m *v1.ExecuteRequest, stream *connect.ServerStream[v1.ExecuteResponse]) error {
	id := m.GetRequestId()
	r, err := requestFromMessage(m)
	if err != nil {
		return stream.Send(refusedEvent(id, err))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	accepted := &v1.ExecuteResponse_Accepted{Accepted: &v1.Accepted{RequestId: id}}
	if err := stream.Send(&v1.ExecuteResponse{Event: accepted}); err != nil {
		return err
	}
	usage, err := p.Run(ctx, r, func(c target.Chunk) error { return stream.Send(chunkEvent(id, c)) })
	if err != nil {
		return stream.Send(refusedEvent(id, err))
	}
	return stream.Send(finishedEvent(id, usage))
}

func chunkEvent(id string, c target.Chunk) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Chunk{Chunk: &v1.Chunk{
		RequestId: id,
		Offset:    int64(c.Offset),
		Tokens:    int64(c.Tokens),
		Data:      c.Data,
	}}}
}

func finishedEvent(id string, usage target.Usage) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Finished{Finished: &v1.Finished{
		RequestId:        id,
		PromptTokens:     int64(usage.PromptTokens),
		CompletionTokens: int64(usage.CompletionTokens),
	}}}
}

func refusedEvent(id string, err error) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{Event: &v1.ExecuteResponse_Refused{Refused: refusalToMessage(id, err)}}
}

// CallService implements the peer protocol.
func (p *PeerServer) CallService(ctx context.Context, m *v1.CallServiceRequest) (*v1.CallServiceResponse, error) {
	c := callFromMessage(m)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	reply, err := p.Call(ctx, c)
	if err != nil {
		return &v1.CallServiceResponse{RequestId: c.RequestID, Refused: refusalToMessage(c.RequestID, err)}, nil
	}
	return &v1.CallServiceResponse{
		RequestId:   c.RequestID,
		Status:      int32(reply.Status),
		Headers:     headersToMessage(reply.Header),
		Body:        reply.Body,
		Replayed:    reply.Replayed,
		BodyNotKept: reply.BodyNotKept,
	}, nil
}

// Transfer implements the peer protocol.
func (p *PeerServer) Transfer(_ context.Context, m *v1.TransferRequest) (*v1.TransferResponse, error) {
	reply := p.Give(team.TransferRequest{
		ID:           m.GetTransferId(),
		Allowance:    m.GetAllowance(),
		Tokens:       m.GetTokens(),
		FromInstance: m.GetFromInstance(),
	})
	return &v1.TransferResponse{TransferId: reply.ID, Tokens: reply.Tokens, Remaining: reply.Remaining}, nil
}

// PullReleases implements the peer protocol.
func (p *PeerServer) PullReleases(_ context.Context, m *v1.PullReleasesRequest) (*v1.PullReleasesResponse, error) {
	return p.Pull(m.GetAfter())
}

// SyncTargets implements the peer protocol.
func (p *PeerServer) SyncTargets(_ context.Context, m *v1.SyncTargetsRequest) (*v1.SyncTargetsResponse, error) {
	return p.Changes(m.GetEpoch(), m.GetSequence()), nil
}

// Claim implements the peer protocol.
func (p *PeerServer) Claim(_ context.Context, m *v1.ClaimRequest) (*v1.ClaimResponse, error) {
	p.Claimed(m.GetFromInstance(), m.GetGroups())
	return &v1.ClaimResponse{}, nil
}

// callFailed says what a failed call to a peer means for a request: it did not
// run only if no connection came about.
func callFailed(err error, sent bool) *refusal.Error {
	switch {
	case !sent:
		return refusal.NotRun(refusal.CodeTargetUnreached, "the target's owner cannot be reached").After(peerRetryAfter).Because(err)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.MayHaveRun(refusal.CodeDeadline, "the request's time is over").Because(err)
	}
	return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer broke off").Because(err)
}
