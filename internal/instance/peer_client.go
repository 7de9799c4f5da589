package instance

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/dispatch"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
)

// peerCallTimeout bounds the calls between instances that carry no request of a caller.
const peerCallTimeout = 2 * time.Second

// suspectDuration is how long a peer is avoided after a call to it failed.
const suspectDuration = 3 * time.Second

// Peers calls the other instances, through one connection pool and a client for
// each address. It is safe for concurrent use.
type Peers struct {
	// InstanceID is the ID of this instance, which calls to peers carry.
	InstanceID string
	// TLS is the mutual TLS configuration; nil means plain text.
	TLS *tls.Config

	once     sync.Once
	client   *http.Client
	mu       sync.Mutex
	clients  map[netip.AddrPort]heatherrelayv1connect.PeerServiceClient
	suspects map[netip.AddrPort]time.Time
}

// Suspect reports whether the last call to the address failed within
// suspectDuration, so that another peer should be preferred.
func (p *Peers) Suspect(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspects[address])
}

// recordReachability marks a peer as suspect after an error, or as reachable if
// err is nil. An error after ctx ended says nothing about the peer and is ignored.
func (p *Peers) recordReachability(ctx context.Context, address netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		delete(p.suspects, address)
	case ctx.Err() == nil:
		if p.suspects == nil {
			p.suspects = map[netip.AddrPort]time.Time{}
		}
		p.suspects[address] = time.Now().Add(suspectDuration)
	}
}

// Execute runs a model request through a peer and emits the chunks of its answer.
// It returns errors of emit unchanged. All other errors are *refusal.Error, with
// NotRun set if no connection was established or the peer reports that the
// request did not run.
func (p *Peers) Execute(ctx context.Context, address netip.AddrPort, r target.Request, emit target.Emit) (target.Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.clientFor(address).Execute(ctx, requestToMessage(&r))
	if err != nil {
		p.recordReachability(ctx, address, err)
		return target.Usage{}, callError(err, !connection.ErrDial.Has(err))
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		usage, done, err := handleEvent(r.ID, stream.Msg(), emit)
		if done || err != nil {
			p.recordReachability(ctx, address, nil)
			return usage, err
		}
	}
	p.recordReachability(ctx, address, ErrNoEndMarker)
	return target.Usage{}, callError(stream.Err(), !connection.ErrDial.Has(stream.Err()))
}

// handleEvent handles one event of a response stream: it emits chunks and returns
// the usage or the refusal of the final event. done is set for a final event.
func handleEvent(id string, m *v1.ExecuteResponse, emit target.Emit) (usage target.Usage, done bool, err error) {
	switch event := m.GetEvent().(type) {
	case *v1.ExecuteResponse_Accepted:
		return target.Usage{}, false, checkRequestID(id, event.Accepted.GetRequestId())
	case *v1.ExecuteResponse_Chunk:
		if err := checkRequestID(id, event.Chunk.GetRequestId()); err != nil {
			return target.Usage{}, false, err
		}
		return target.Usage{}, false, emit(target.Chunk{
			Offset: int(event.Chunk.GetOffset()),
			Tokens: int(event.Chunk.GetTokens()),
			Data:   event.Chunk.GetData(),
		})
	case *v1.ExecuteResponse_Refused:
		if err := checkRequestID(id, event.Refused.GetRequestId()); err != nil {
			return target.Usage{}, true, err
		}
		return target.Usage{}, true, refusalFromMessage(event.Refused)
	case *v1.ExecuteResponse_Finished:
		usage := target.Usage{
			PromptTokens:     int(event.Finished.GetPromptTokens()),
			CompletionTokens: int(event.Finished.GetCompletionTokens()),
		}
		return usage, true, checkRequestID(id, event.Finished.GetRequestId())
	}
	return target.Usage{}, false, nil
}

// checkRequestID returns an error if an event carries the ID of another request.
func checkRequestID(want, got string) error {
	if got != want {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer belongs to another request")
	}
	return nil
}

// Call sends a plain service call through a peer and returns the reply.
func (p *Peers) Call(ctx context.Context, address netip.AddrPort, c dispatch.Call) (dispatch.Reply, error) {
	m, err := p.clientFor(address).CallService(ctx, callToMessage(&c))
	p.recordReachability(ctx, address, err)
	if err != nil {
		refused := callError(err, !connection.ErrDial.Has(err))
		if !refused.NotRun {
			refused.Code = refusal.CodeMayHaveRun
		}
		return dispatch.Reply{}, refused
	}
	if m.GetRequestId() != c.RequestID {
		return dispatch.Reply{}, refusal.MayHaveRun(refusal.CodeMayHaveRun, "the answer belongs to another request")
	}
	if m.GetRefused() != nil {
		return dispatch.Reply{}, refusalFromMessage(m.GetRefused())
	}
	return dispatch.Reply{
		Status:      int(m.GetStatus()),
		Header:      headersFromMessage(m.GetHeaders()),
		Body:        m.GetBody(),
		Replayed:    m.GetReplayed(),
		BodyNotKept: m.GetBodyNotKept(),
	}, nil
}

// Transfer requests allowance from a peer.
func (p *Peers) Transfer(ctx context.Context, address netip.AddrPort, r team.TransferRequest) (team.TransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	m, err := p.clientFor(address).Transfer(ctx, &v1.TransferRequest{
		TransferId:   r.ID,
		Allowance:    r.Allowance,
		Tokens:       r.Tokens,
		FromInstance: r.FromInstance,
	})
	if err != nil {
		return team.TransferReply{}, err
	}
	return team.TransferReply{ID: m.GetTransferId(), Tokens: m.GetTokens(), Remaining: m.GetRemaining()}, nil
}

// PullReleases requests from a peer the release notes with numbers above after.
func (p *Peers) PullReleases(ctx context.Context, address netip.AddrPort, after uint64) (*v1.PullReleasesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return p.clientFor(address).PullReleases(ctx, &v1.PullReleasesRequest{After: after, FromInstance: p.InstanceID})
}

// SyncTargets requests the changes of a peer's targets after a sequence number
// of an epoch.
func (p *Peers) SyncTargets(ctx context.Context, address netip.AddrPort, epoch string, sequence uint64) (*v1.SyncTargetsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return p.clientFor(address).SyncTargets(ctx, &v1.SyncTargetsRequest{Epoch: epoch, Sequence: sequence, FromInstance: p.InstanceID})
}

// Claim reports to a peer which target groups this instance acquired.
func (p *Peers) Claim(ctx context.Context, address netip.AddrPort, groups []*v1.GroupClaim) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err := p.clientFor(address).Claim(ctx, &v1.ClaimRequest{FromInstance: p.InstanceID, Groups: groups})
	return err
}

// clientFor returns the client for an address, and creates it on first use.
func (p *Peers) clientFor(address netip.AddrPort) heatherrelayv1connect.PeerServiceClient {
	p.once.Do(func() { p.client = &http.Client{Transport: peerTransport(p.TLS)} })
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if p.clients == nil {
		p.clients = map[netip.AddrPort]heatherrelayv1connect.PeerServiceClient{}
	}
	c := heatherrelayv1connect.NewPeerServiceClient(p.client, peerURL(address, p.TLS != nil), connect.WithGRPC())
	p.clients[address] = c
	return c
}
