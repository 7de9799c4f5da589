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

// peerCallTimeout bounds the short calls between instances.
const peerCallTimeout = 2 * time.Second

// suspectTime is how long a peer that could not be reached is passed over.
const suspectTime = 3 * time.Second

// Peers holds one connection pool to the other instances, and a client for each
// address. It is safe for concurrent use.
type Peers struct {
	// InstanceID is this instance's, told to the peers.
	InstanceID string
	// TLS is the mutual TLS configuration; nil means plain text.
	TLS *tls.Config

	once     sync.Once
	client   *http.Client
	mu       sync.Mutex
	clients  map[netip.AddrPort]heatherrelayv1connect.PeerServiceClient
	suspects map[netip.AddrPort]time.Time
}

// Suspect reports whether a connection to the address failed within suspectTime,
// so that another peer should be preferred.
func (p *Peers) Suspect(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspects[address])
}

// note remembers whether a peer could be reached.
func (p *Peers) note(ctx context.Context, address netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		delete(p.suspects, address)
	case ctx.Err() == nil:
		if p.suspects == nil {
			p.suspects = map[netip.AddrPort]time.Time{}
		}
		p.suspects[address] = time.Now().Add(suspectTime)
	}
}

// Execute runs a model request through a peer and emits its answer.
func (p *Peers) Execute(ctx context.Context, address netip.AddrPort, r target.Request, emit target.Emit) (target.Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.to(address).Execute(ctx, requestToMessage(&r))
	if err != nil {
		p.note(ctx, address, err)
		return target.Usage{}, callFailed(err, !connection.ErrDial.Has(err))
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		usage, done, err := peerEvent(r.ID, stream.Msg(), emit)
		if done || err != nil {
			p.note(ctx, address, nil)
			return usage, err
		}
	}
	p.note(ctx, address, ErrNoEndMarker)
	return target.Usage{}, callFailed(stream.Err(), !connection.ErrDial.Has(stream.Err()))
}

// peerEvent passes on one event; done says that it was the last.
func peerEvent(id string, m *v1.ExecuteResponse, emit target.Emit) (usage target.Usage, done bool, err error) {
	switch event := m.GetEvent().(type) {
	case *v1.ExecuteResponse_Accepted:
		return target.Usage{}, false, checkEcho(id, event.Accepted.GetRequestId())
	case *v1.ExecuteResponse_Chunk:
		if err := checkEcho(id, event.Chunk.GetRequestId()); err != nil {
			return target.Usage{}, false, err
		}
		return target.Usage{}, false, emit(target.Chunk{
			Offset: int(event.Chunk.GetOffset()),
			Tokens: int(event.Chunk.GetTokens()),
			Data:   event.Chunk.GetData(),
		})
	case *v1.ExecuteResponse_Refused:
		if err := checkEcho(id, event.Refused.GetRequestId()); err != nil {
			return target.Usage{}, true, err
		}
		return target.Usage{}, true, refusalFromMessage(event.Refused)
	case *v1.ExecuteResponse_Finished:
		usage := target.Usage{
			PromptTokens:     int(event.Finished.GetPromptTokens()),
			CompletionTokens: int(event.Finished.GetCompletionTokens()),
		}
		return usage, true, checkEcho(id, event.Finished.GetRequestId())
	}
	return target.Usage{}, false, nil
}

func checkEcho(want, got string) error {
	if got != want {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer belongs to another request")
	}
	return nil
}

// Call sends a plain service call through a peer.
func (p *Peers) Call(ctx context.Context, address netip.AddrPort, c dispatch.Call) (dispatch.Reply, error) {
	m, err := p.to(address).CallService(ctx, callToMessage(&c))
	p.note(ctx, address, err)
	if err != nil {
		failed := callFailed(err, !connection.ErrDial.Has(err))
		if !failed.NotRun {
			failed.Code = refusal.CodeMayHaveRun
		}
		return dispatch.Reply{}, failed
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

// Transfer asks a peer for allowance.
func (p *Peers) Transfer(ctx context.Context, address netip.AddrPort, r team.TransferRequest) (team.TransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	m, err := p.to(address).Transfer(ctx, &v1.TransferRequest{
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

// PullReleases asks a peer for the release notes after a number.
func (p *Peers) PullReleases(ctx context.Context, address netip.AddrPort, after uint64) (*v1.PullReleasesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return p.to(address).PullReleases(ctx, &v1.PullReleasesRequest{After: after, FromInstance: p.InstanceID})
}

// SyncTargets asks a peer what changed on its targets.
func (p *Peers) SyncTargets(ctx context.Context, address netip.AddrPort, epoch string, sequence uint64) (*v1.SyncTargetsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return p.to(address).SyncTargets(ctx, &v1.SyncTargetsRequest{Epoch: epoch, Sequence: sequence, FromInstance: p.InstanceID})
}

// Claim tells a peer which target groups this instance took or gave up.
func (p *Peers) Claim(ctx context.Context, address netip.AddrPort, groups []*v1.GroupClaim) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err := p.to(address).Claim(ctx, &v1.ClaimRequest{FromInstance: p.InstanceID, Groups: groups})
	return err
}

func (p *Peers) to(address netip.AddrPort) heatherrelayv1connect.PeerServiceClient {
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
