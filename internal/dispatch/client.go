package dispatch

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/objectstore"
)

const (
	dialTimeout         = 2 * time.Second
	ackTimeout          = 5 * time.Second
	idleConnection      = 15 * time.Second
	connectionsPerHost  = 4096
	maxReplyBytes       = 64 << 20
	maxClients          = 4096
	headerRequestID     = "X-Request-Id"
	headerIdempotentKey = "Idempotency-Key"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true, "date": true, "server": true,
}

// client sends calls over HTTP. It never sends a call twice by itself: repeats
// inside the HTTP library are switched off, and a call that may not be repeated
// gets a connection of its own, so that it cannot meet one that the service has
// just closed.
type client struct {
	mu    sync.Mutex
	hosts map[host]*fasthttp.HostClient
}

// host is a target's address, and whether its connections are kept for more
// calls. The two kinds share no connections.
type host struct {
	address netip.AddrPort
	pooled  bool
}

func (c *client) connections(h host) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.hosts[h]; ok {
		return found
	}
	if c.hosts == nil || len(c.hosts) >= maxClients {
		c.hosts = map[host]*fasthttp.HostClient{}
	}
	created := newHostClient(h.address)
	c.hosts[h] = created
	return created
}

func newHostClient(address netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address.String(),
		MaxConns:                  connectionsPerHost,
		MaxIdleConnDuration:       idleConnection,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,

		MaxResponseBodySize:      maxReplyBytes,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		Dial:                     dial,
	}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

var dialer = connection.Dialer{ConnectTimeout: dialTimeout, AckTimeout: ackTimeout}

func dial(address string) (net.Conn, error) {
	conn, err := dialer.Dial(address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	return conn, nil
}

// exchange sends a call once and returns the reply. It fails with ErrNotSent
// when no byte can have reached the target.
func (c *client) exchange(ctx context.Context, t objectstore.TargetEntry, call Call) (Reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	response.Header.SetNoDefaultContentType(true)
	fill(request, t.Address, call)
	deadline := call.Deadline
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return Reply{}, ErrNotSent.Wrap(err)
	}
	if err := c.connections(host{address: t.Address, pooled: call.Repeatable}).DoDeadline(request, response, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return Reply{}, ErrNotSent.Wrap(err)
		}
		return Reply{}, err
	}
	if echoed := response.Header.Peek(headerRequestID); len(echoed) > 0 && string(echoed) != call.RequestID {
		return Reply{}, errWrongReply
	}
	return replyOf(response), nil
}

func fill(request *fasthttp.Request, address netip.AddrPort, call Call) {
	uri := "http://" + address.String() + call.Path
	if call.Query != "" {
		uri += "?" + call.Query
	}
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI(uri)
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(call.Method)
	for _, h := range call.Header {
		request.Header.Set(h.Name, h.Value)
	}
	request.Header.Set(headerRequestID, call.RequestID)
	if call.IdempotencyKey != "" {
		request.Header.Set(headerIdempotentKey, call.IdempotencyKey)
	}
	request.SetBody(call.Body)
	if !call.Repeatable {
		request.SetConnectionClose()
	}
}

// replyOf copies a response out of the HTTP library's memory.
func replyOf(response *fasthttp.Response) Reply {
	reply := Reply{Status: response.StatusCode(), Body: append([]byte(nil), response.Body()...)}
	for name, value := range response.Header.All() {
		if !hopHeaders[strings.ToLower(string(name))] {
			reply.Header = append(reply.Header, Header{Name: string(name), Value: string(value)})
		}
	}
	return reply
}
