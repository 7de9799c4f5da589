package upstream

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/connection"
)

// The bounds of connections to targets.
const (
	// connectTimeout is a few round trips between zones; a target that takes
	// longer is as good as away.
	connectTimeout = 400 * time.Millisecond
	ackTimeout     = 1500 * time.Millisecond
	// idleLimit is how long an idle connection is kept when the target does not say.
	idleLimit = 20 * time.Second
	// idleMargin is how much earlier than the target this side gives a connection up.
	idleMargin = 300 * time.Millisecond
	readBuffer = 4 << 10
)

// Client sends requests to targets over pooled connections. Set the exported
// fields before the first use. It is safe for concurrent use.
type Client struct {
	// Encode appends the head and the body of a request to a target.
	Encode func(dst []byte, request *Request, send *Send) []byte
	// Decode reads the head of an answer.
	Decode func(header *fasthttp.ResponseHeader) Answer
	// Dials counts new connections.
	Dials atomic.Uint64

	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the idle connections to an address, the latest used last.
type pool struct {
	idle []*conn
}

// Do sends a request and reads the head of the answer to it. It fails with
// ErrNotSent or ErrBroken. The connection is closed when ctx ends, until the
// answer was read to its end or closed.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request *Request, send *Send) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	cn, err := c.take(ctx, address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	r := &Response{client: c, address: address, conn: cn}
	r.stop = context.AfterFunc(ctx, cn.abort)
	cn.silence.Store(int64(send.SilenceLimit))
	cn.send(c.Encode(nil, request, send))
	if err := r.readHead(c.Decode, request.ID); err != nil {
		r.fail(err)
		return nil, ErrBroken.Wrap(err)
	}
	return r, nil
}

// take returns a sound idle connection, or a new one.
func (c *Client) take(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			break
		}
		if cn.usable(time.Now()) {
			return cn, nil
		}
		cn.abort()
	}
	c.Dials.Add(1)
	dialer := connection.Dialer{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, KeepAlive: true}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (c *Client) pop(address netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	cn := p.idle[last]
	p.idle = p.idle[:last]
	return cn
}

// put keeps a connection for the next request.
func (c *Client) put(address netip.AddrPort, cn *conn, limit time.Duration) {
	if limit <= 0 {
		limit = idleLimit
	} else {
		limit -= idleMargin
	}
	cn.idleUntil = time.Now().Add(limit)
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

// Condemn closes the idle connections to an address: a connection to it died,
// and the others may be as dead without showing it.
func (c *Client) Condemn(address netip.AddrPort) {
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

// CloseIdle closes idle connections that are past their time.
func (c *Client) CloseIdle(now time.Time) {
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
