package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/deployment"
)

// Limits on connections to targets.
const (
	// connectTimeout is a few round trips between zones; a target that takes longer
	// counts as unreachable.
	connectTimeout = 400 * time.Millisecond
	// ackTimeout bounds the time that sent bytes may stay unacknowledged. A large request
	// also counts as unacknowledged while the target does not read it, which a healthy
	// target may do for a while, so it has largeRequestAckTimeout.
	ackTimeout             = 1500 * time.Millisecond
	largeRequestAckTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// states no keep-alive timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is how much earlier than the target's keep-alive timeout an idle
	// connection is closed.
	idleMargin     = 300 * time.Millisecond
	readBufferSize = 4 << 10
	// probedIdleTimeout is how long a connection that carried no request is kept if none
	// uses it. How long the target keeps it is not known.
	probedIdleTimeout = time.Second
)

// Client sends requests to targets over pooled connections. Set the exported
// fields before the first use. It is safe for concurrent use.
type Client struct {
	// Encode appends the head and the body of a request for a target to dst.
	Encode func(dst []byte, request *Request, attempt *Attempt) []byte
	// EncodeHead appends the head alone, for large requests, whose body is not copied. If it
	// is nil, Encode is used for all.
	EncodeHead func(dst []byte, request *Request, attempt *Attempt) []byte
	// Decode parses the head of a response.
	Decode func(header *fasthttp.ResponseHeader) ResponseHead
	// EncodeIdentify appends to dst a request with which a target is asked which of its
	// processes it is, DecodeGeneration returns the generation that the body of the answer
	// names, and false if it names none. They are needed for attempts with Identify only.
	EncodeIdentify   func(dst []byte, address netip.AddrPort, target deployment.TargetID) []byte
	DecodeGeneration func(body io.Reader) (generation int64, ok bool)
	// OnIdentify is called with the head of each answer to such a request, and with the
	// generation that the answer names or zero; may be nil.
	OnIdentify func(target deployment.TargetID, head *ResponseHead, generation int64)
	// Dial opens a connection to an address. If nil, connections are opened by TCP, with
	// this package's limits on the time until they open and bytes are acknowledged.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// OnConnect is called when an address has accepted a connection; may be nil.
	OnConnect func(address netip.AddrPort)
	// OnSkipped is called with the head of an answer that is not the one to the request that
	// the connection carries; may be nil.
	OnSkipped func(address netip.AddrPort, requestID string, head *ResponseHead)
	// Dials counts the connections that were dialed, Skipped the answers that belong to no
	// request under way, Identifications how often targets were asked which of their
	// processes they are.
	Dials, Skipped, Identifications atomic.Uint64

	// buffered is the number of bytes of the responses that are being read into memory.
	buffered atomic.Int64

	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the idle connections to an address, the most recently used last.
type pool struct {
	idle []*conn
}

// Do sends a request and reads the head of its response. Its errors are of class
// ErrNotSent or ErrIncompleteResponse. If ctx ends before the response is read to
// its end or closed, the connection is closed.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request *Request, attempt *Attempt) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	startedAt := time.Now()
	cn, err := c.acquireFor(ctx, address, request, attempt)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	if err := c.checkMaySend(address, cn, attempt); err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	r := &Response{client: c, address: address, conn: cn, withoutBody: request.Method == http.MethodHead}
	r.stopAbort = context.AfterFunc(ctx, cn.abort)
	cn.setSilence(attempt.Silence, attempt.OnSilence)
	sent := *attempt
	sent.Deadline -= time.Since(startedAt)
	if err := cn.writeRequest(request.ID, c.encode(request, &sent)); err != nil {
		r.fail(err)
		return nil, ErrNotSent.Wrap(err)
	}
	if err := r.readHead(c.Decode, request.ID, cn.carried.first()); err != nil {
		r.fail(err)
		return nil, ErrIncompleteResponse.Wrap(err)
	}
	r.Identified, r.Generation = cn.identified, cn.generation
	return r, nil
}

// checkMaySend returns an error if an attempt must not be sent any more. The connection is
// then kept for others.
func (c *Client) checkMaySend(address netip.AddrPort, cn *conn, attempt *Attempt) error {
	if attempt.MaySend == nil {
		return nil
	}
	err := attempt.MaySend()
	if err != nil {
		c.putIdle(address, cn, probedIdleTimeout)
	}
	return err
}

// encode returns the bytes of a request, in one part or, if it is large, two.
func (c *Client) encode(request *Request, attempt *Attempt) net.Buffers {
	if c.EncodeHead == nil || len(request.Body) <= maxSyncWriteBytes {
		return net.Buffers{c.Encode(nil, request, attempt)}
	}
	return net.Buffers{c.EncodeHead(nil, request, attempt), request.Body}
}

// acquireFor returns a connection for a request. It leads to a process that may get the
// request, if the attempt asks for that.
func (c *Client) acquireFor(ctx context.Context, address netip.AddrPort, request *Request, attempt *Attempt) (*conn, error) {
	if attempt.Identify {
		return c.acquireIdentified(ctx, address, request.ID, attempt)
	}
	return c.acquire(ctx, address, request.ID, attempt.Generation)
}

// recordSkipped records an answer that is not the one to the request with the given id.
func (c *Client) recordSkipped(address netip.AddrPort, requestID string, head *ResponseHead) {
	c.Skipped.Add(1)
	if c.OnSkipped != nil {
		c.OnSkipped(address, requestID, head)
	}
}

// acquire returns an idle connection that is still usable, has not carried the request and
// may lead to the process of a generation, or dials a new one. A request without an id, to
// which no response can be told from a copy of an earlier one, gets a new one.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort, requestID string, generation int64) (*conn, error) {
	for requestID != "" {
		cn := c.popIdle(address, requestID, generation)
		if cn == nil {
			break
		}
		if cn.reusable(time.Now()) {
			return cn, nil
		}
		cn.abort()
	}
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	c.Dials.Add(1)
	dial := c.Dial
	if dial == nil {
		dial = DialTCP
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect(address)
	}
	return newConn(raw), nil
}

// DialTCP opens a TCP connection to a target that fails if the target's machine stops
// responding.
func DialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := connection.Dialer{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, KeepAlive: true}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Probe opens a connection to an address, which shows whether a process listens there,
// and keeps it for a later request.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) error {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.putIdle(address, cn, probedIdleTimeout)
	return nil
}

// popIdle removes the most recently used idle connection to an address that has not
// carried the request, and may lead to the process of a generation, from its pool and
// returns it; nil if there is none.
func (c *Client) popIdle(address netip.AddrPort, requestID string, generation int64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		return nil
	}
	for i, cn := range slices.Backward(p.idle) {
		if !cn.carried.has(requestID) && cn.mayLeadTo(generation) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle returns a connection to the pool. The idle timeout is the one that the
// target stated; zero means that it stated none.
func (c *Client) putIdle(address netip.AddrPort, cn *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	} else {
		idleTimeout -= idleMargin
	}
	cn.idleUntil = time.Now().Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = map[netip.AddrPort]*pool{}
	}
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	p.idle = append(p.idle, cn)
}

// CloseIdleTo closes all idle connections to an address. After a timeout on one
// connection the idle ones may be dead as well without the kernel having noticed.
func (c *Client) CloseIdleTo(address netip.AddrPort) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	for _, cn := range p.idle {
		cn.abort()
	}
}

// CloseExpiredIdle closes the idle connections whose idle timeout has passed.
func (c *Client) CloseExpiredIdle(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if now.Before(cn.idleUntil) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		p.idle = kept
		if len(kept) == 0 {
			delete(c.pools, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.abort()
	}
}
