package forwarding

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/memory"
	"heatherrelay/internal/responsehead"
	"heatherrelay/internal/upstream"
)

const (
	// maxPeers is how many peers are asked to carry out an attempt.
	maxPeers = 3
	// maxProbePeers is how many peers are asked to probe a target, some of which may be
	// cut off as well.
	maxProbePeers = 6
	// peerFailureTime is how long a peer is not asked after the link to it has failed.
	peerFailureTime = time.Second
	// connectTimeout and ackTimeout bound the time until a link to a peer opens, and until
	// the bytes sent on it are acknowledged.
	connectTimeout = 400 * time.Millisecond
	ackTimeout     = 1500 * time.Millisecond
	// maxIdleLinks bounds the idle links to one peer, which are kept for idleLinkTime.
	maxIdleLinks = 64
	idleLinkTime = 10 * time.Second
)

// Peer is an instance that may carry out attempts.
type Peer struct {
	ID      string
	Address netip.AddrPort
	// SameZone is set when the peer is in this instance's availability zone.
	SameZone bool
	// Region is the peer's region; empty if it is not known.
	Region string
}

// Client has peers carry out the attempts of this instance. It is safe for concurrent use.
// Set the exported fields before the first call.
type Client struct {
	// Peers returns the instances that reach the targets of a service, as far as they have
	// said.
	Peers func(service string) []Peer
	// Upstream is the client that the responses belong to.
	Upstream *upstream.Client
	// Memory is charged for the copies of requests that are sent; nil means no bound.
	Memory *memory.Account
	Now    func() time.Time
	Log    *zap.Logger

	once sync.Once
	http *http.Client

	mu sync.Mutex
	// links holds what is known of the links to peers.
	links map[string]*link
}

// link is the state of the link to a peer.
type link struct {
	client   heatherrelayv1connect.ForwardServiceClient
	address  netip.AddrPort
	inFlight int
	failedAt time.Time
}

// Do has a peer send the request to a target once. Its errors are of the classes of
// package upstream, and of ErrPeer unless they concern the target. A peer that cannot
// reach the target may be cut off as well, so the next one is asked.
func (c *Client) Do(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt) (*upstream.Response, error) {
	// The peer gets a copy of the request.
	charge := c.Memory.Open(memory.Owner{}, func() {})
	defer charge.Close()
	charge.Complete()
	if err := charge.Grow(int64(len(request.Body)), memoryPatience); err != nil {
		return nil, upstream.ErrNotSent.Wrap(ErrPeer.Wrap(err))
	}
	asked := map[string]bool{}
	failure := upstream.ErrNotSent.Wrap(ErrPeer.New("no peer to ask"))
	for range maxPeers {
		peer, ok := c.choose(target.Service, attempt.Regions, asked)
		if !ok {
			break
		}
		asked[peer.ID] = true
		response, err := c.ask(ctx, peer, requestMessage(target, request, attempt), attempt)
		switch {
		case errDeclined.Has(err):
			err = upstream.ErrNotSent.Wrap(ErrPeer.Wrap(err))
		case !upstream.ErrNotSent.Has(err), upstream.NotIdentified(err):
			return response, err
		}
		c.Log.Debug("peer did not carry out an attempt", zap.String("peer", peer.ID), zap.String("request_id", request.ID), zap.Error(err))
		if !noPeer(err) || noPeer(failure) {
			failure = err
		}
		if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
			break
		}
	}
	return nil, failure
}

// choose returns the peer to ask next in one of the regions: of those in the same zone, or of all if there is
// none there, the one with fewer attempts of two that are picked at random.
func (c *Client) choose(service string, regions deployment.Regions, asked map[string]bool) (Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, all []Peer
	now := c.Now()
	for _, p := range c.Peers(service) {
		if l, ok := c.links[p.ID]; asked[p.ID] || !regions.Allows(p.Region) || ok && now.Sub(l.failedAt) < peerFailureTime {
			continue
		}
		all = append(all, p)
		if p.SameZone {
			near = append(near, p)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return Peer{}, false
	}
	first, second := all[rand.IntN(len(all))], all[rand.IntN(len(all))]
	if c.load(second) < c.load(first) {
		return second, true
	}
	return first, true
}

// load returns the attempts in flight at a peer. The caller holds the lock.
func (c *Client) load(p Peer) int {
	if l, ok := c.links[p.ID]; ok {
		return l.inFlight
	}
	return 0
}

// withoutCompression leaves the responses of targets as they are: most are small, and their
// events are sent one by one.
var withoutCompression = connect.WithAcceptCompression("gzip", nil, nil)

// open counts an attempt at a peer and returns the link to it.
func (c *Client) open(p Peer) *link {
	c.once.Do(func() {
		dialer := &connection.Dialer{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, KeepAlive: true}
		c.http = &http.Client{Transport: responsehead.Transport{RoundTripper: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleLinks, IdleConnTimeout: idleLinkTime, DisableCompression: true,
		}}}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links == nil {
		c.links = map[string]*link{}
	}
	l, ok := c.links[p.ID]
	if !ok || l.address != p.Address {
		l = &link{client: heatherrelayv1connect.NewForwardServiceClient(c.http, "http://"+p.Address.String(), withoutCompression), address: p.Address}
		c.links[p.ID] = l
	}
	l.inFlight++
	return l
}

// close ends an attempt at a peer. failed is set when the link failed.
func (c *Client) close(l *link, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.inFlight--
	if failed {
		l.failedAt = c.Now()
	}
}

// Retain forgets the links to all peers except the given ones, and those in use.
func (c *Client) Retain(peers []string) {
	known := map[string]bool{}
	for _, id := range peers {
		known[id] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.links {
		if !known[id] && l.inFlight == 0 {
			delete(c.links, id)
		}
	}
}

// ask has one peer carry out an attempt, and returns the response once its head has
// arrived.
func (c *Client) ask(ctx context.Context, p Peer, m *v1.ForwardRequest, attempt *upstream.Attempt) (*upstream.Response, error) {
	l := c.open(p)
	ctx, cancel := context.WithCancel(ctx)
	s := newStream(ctx, cancel, func() (*connect.ServerStreamForClient[v1.ForwardResponse], error) { return l.client.Forward(ctx, m) })
	s.onClose = func(failed bool) { c.close(l, failed) }
	s.SetSilence(attempt.Silence, attempt.OnSilence)
	head, err := s.readHead()
	if err == nil && attempt.Identify && attempt.Generation != 0 && !head.Identified {
		err = upstream.ErrIncompleteResponse.Wrap(ErrPeer.New("the peer does not ask targets which of their processes they are"))
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return c.Upstream.ResponseFrom(head, upstream.Source{Body: s, Close: s.Close, SetSilence: s.SetSilence, MarkProgress: s.MarkProgress}), nil
}

// linkError returns the error of an attempt whose link failed. Without a connection nothing
// was sent to the peer. The cause is not wrapped: that the peer refused or ended a
// connection must not be taken for the target's doing.
func linkError(err error) error {
	if connection.ErrDial.Has(err) || connect.CodeOf(err) == connect.CodeUnimplemented {
		return errDeclined.New("%v", err)
	}
	return upstream.ErrIncompleteResponse.Wrap(ErrPeer.New("%v", err))
}

// Probe has peers open a connection to a target, all at once. It returns nil as soon as one
// of them is connected, and an error if none is.
func (c *Client) Probe(ctx context.Context, target deployment.Target) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := map[string]bool{}
	outcomes := make(chan error, maxProbePeers)
	for range maxProbePeers {
		p, ok := c.choose(target.Service, nil, asked)
		if !ok {
			break
		}
		asked[p.ID] = true
		l := c.open(p)
		go func() { outcomes <- c.probe(ctx, l, target) }()
	}
	err := ErrPeer.New("no peer to ask")
	for range asked {
		if err = <-outcomes; err == nil {
			return nil
		}
	}
	return err
}

// probe has one peer open a connection to a target.
func (c *Client) probe(ctx context.Context, l *link, target deployment.Target) error {
	answer, err := l.client.ProbeTarget(ctx, &v1.ProbeTargetRequest{TargetId: string(target.ID)})
	c.close(l, err != nil && ctx.Err() == nil)
	if err != nil {
		return ErrPeer.New("%v", err)
	}
	if !answer.GetConnected() {
		return ErrPeer.New("the peer does not reach the target")
	}
	return nil
}

// endError returns the error that the end of an attempt means; io.EOF if the response is
// complete.
func endError(end *v1.ForwardEnd) error {
	switch end.GetResult() {
	case v1.ForwardEnd_RESULT_COMPLETE:
		return io.EOF
	case v1.ForwardEnd_RESULT_DECLINED:
		return errDeclined.New("%s", end.GetReason())
	case v1.ForwardEnd_RESULT_NOT_SENT:
		return upstream.ErrNotSent.New("by the peer: %s", end.GetReason())
	case v1.ForwardEnd_RESULT_REFUSED:
		return upstream.ErrNotSent.New("by the peer: %s: %w", end.GetReason(), syscall.ECONNREFUSED)
	case v1.ForwardEnd_RESULT_OTHER_PROCESS:
		return upstream.ErrNotSent.Wrap(upstream.ErrOtherProcess.New("by the peer: %s", end.GetReason()))
	case v1.ForwardEnd_RESULT_UNIDENTIFIED:
		return upstream.ErrNotSent.Wrap(upstream.ErrUnidentified.New("by the peer: %s", end.GetReason()))
	case v1.ForwardEnd_RESULT_ENDED_BY_TARGET:
		return upstream.ErrIncompleteResponse.New("at the peer: %s: %w", end.GetReason(), io.ErrUnexpectedEOF)
	case v1.ForwardEnd_RESULT_UNDECIDED:
		return upstream.ErrIncompleteResponse.Wrap(liveness.ErrUndecided.New("at the peer: %s", end.GetReason()))
	}
	return upstream.ErrIncompleteResponse.New("at the peer: %s", end.GetReason())
}

// errNoEnd means that the messages of an attempt ended without its end.
var errNoEnd = errors.New("the link ended before the response")
