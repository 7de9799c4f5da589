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

// peerRetryAfter is the retry delay sent to a caller when a peer is unreachable.
const peerRetryAfter = time.Second

// PeerServer serves the protocol between instances. Each answer to a model
// request, service call or transfer carries the ID of the request it belongs to.
// Set all fields before use.
type PeerServer struct {
	// RunRequest runs a model request on the target that it names, which this
	// instance must own, or on a target of this zone if it names none.
	RunRequest func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error)
	// Call sends a plain service call to a target of this zone.
	Call func(ctx context.Context, c dispatch.Call) (dispatch.Reply, error)
	// GrantTransfer answers a peer's request for allowance.
	GrantTransfer func(r team.TransferRequest) team.TransferReply
	// ReleasesAfter returns the release notes with numbers above after.
	ReleasesAfter func(after uint64) (*v1.PullReleasesResponse, error)
	// ChangesSince returns the changes of this instance's targets after a sequence
	// number of an epoch.
	ChangesSince func(epoch string, sequence uint64) *v1.SyncTargetsResponse
	// ApplyClaims applies a peer's report of target groups that it acquired.
	ApplyClaims func(from string, claims []*v1.GroupClaim)
}

// Execute runs a model request for a peer. It streams an Accepted event and the
// chunks, and ends with a Finished or Refused event.
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
	usage, err := p.RunRequest(ctx, r, func(c target.Chunk) error { return stream.Send(chunkEvent(id, c)) })
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

// CallService runs a plain service call for a peer.
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

// Transfer answers a peer's request for allowance.
func (p *PeerServer) Transfer(_ context.Context, m *v1.TransferRequest) (*v1.TransferResponse, error) {
	reply := p.GrantTransfer(team.TransferRequest{
		ID:           m.GetTransferId(),
		Allowance:    m.GetAllowance(),
		Tokens:       m.GetTokens(),
		FromInstance: m.GetFromInstance(),
	})
	return &v1.TransferResponse{TransferId: reply.ID, Tokens: reply.Tokens, Remaining: reply.Remaining}, nil
}

// PullReleases returns the release notes that the peer does not have yet.
func (p *PeerServer) PullReleases(_ context.Context, m *v1.PullReleasesRequest) (*v1.PullReleasesResponse, error) {
	return p.ReleasesAfter(m.GetAfter())
}

// SyncTargets returns the changes of this instance's targets that the peer has
// not received.
func (p *PeerServer) SyncTargets(_ context.Context, m *v1.SyncTargetsRequest) (*v1.SyncTargetsResponse, error) {
	return p.ChangesSince(m.GetEpoch(), m.GetSequence()), nil
}

// Claim applies a peer's report of target groups that it acquired.
func (p *PeerServer) Claim(_ context.Context, m *v1.ClaimRequest) (*v1.ClaimResponse, error) {
	p.ApplyClaims(m.GetFromInstance(), m.GetGroups())
	return &v1.ClaimResponse{}, nil
}

// callError returns the refusal for a request whose call to a peer failed. The
// request is known not to have run only if it was not sent, because no connection
// was established.
func callError(err error, sent bool) *refusal.Error {
	switch {
	case !sent:
		return refusal.NotRun(refusal.CodeTargetUnreachable, "the target's owner cannot be reached").WithRetryAfter(peerRetryAfter).WithCause(err)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.MayHaveRun(refusal.CodeDeadlineExceeded, "the request's time is over").WithCause(err)
	}
	return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer broke off").WithCause(err)
}
