package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/objectstore"
)

const (
	dialTimeout          = 2 * time.Second
	ackTimeout           = 5 * time.Second
	maxIdleConnDuration  = 15 * time.Second
	maxConnsPerHost      = 4096
	maxReplyBytes        = 64 << 20
	maxHostClients       = 4096
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// unforwardedHeaders are the response headers that are not forwarded: the
// hop-by-hop headers, and content-length, date and server.
var unforwardedHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true, "date": true, "server": true,
}

// client sends calls over HTTP. It never sends a call twice by itself: the
// retries of the HTTP library are disabled, and a call that may not be repeated
// gets a new connection, since the service may have just closed a pooled one.
type client struct {
	mu          sync.Mutex
	hostClients map[hostKey]*fasthttp.HostClient
}

// hostKey is a target's address, and whether its connections are pooled for
// further calls. Pooled and other connections are never shared.
type hostKey struct {
	address netip.AddrPort
	pooled  bool
}

// hostClient returns the HTTP client for a key. When maxHostClients is reached,
// it drops all of them, and creates them again as needed.
func (c *client) hostClient(key hostKey) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.hostClients[key]; ok {
		return found
	}
	if c.hostClients == nil || len(c.hostClients) >= maxHostClients {
		c.hostClients = map[hostKey]*fasthttp.HostClient{}
	}
	created := newHostClient(key.address)
	c.hostClients[key] = created
	return created
}

func newHostClient(address netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address.String(),
		MaxConns:                  maxConnsPerHost,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,

		// The library allocates what a buffered body names before it arrives.
		StreamResponseBody:       true,
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

// exchange sends a call once and returns the reply. The error is of class
// ErrNotSent if no byte can have reached the target.
func (c *client) exchange(ctx context.Context, t objectstore.TargetEntry, call Call) (Reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	response.Header.SetNoDefaultContentType(true)
	fillRequest(request, t.Address, call)
	deadline := call.Deadline
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return Reply{}, ErrNotSent.Wrap(err)
	}
	if err := c.hostClient(hostKey{address: t.Address, pooled: call.Repeatable}).DoDeadline(request, response, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return Reply{}, ErrNotSent.Wrap(err)
		}
		return Reply{}, err
	}
	if echoed := response.Header.Peek(headerRequestID); len(echoed) > 0 && string(echoed) != call.RequestID {
		return Reply{}, errs.Combine(errReplyMismatch, response.CloseBodyStream())
	}
	body, err := readBody(response)
	if err != nil {
		return Reply{}, err
	}
	return newReply(response, body), nil
}

// readBody reads the body of a response, up to maxReplyBytes and until the deadline of its
// call. The connection is closed unless the body was read to its end.
func readBody(response *fasthttp.Response) (body []byte, err error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	defer func() { err = errs.Combine(err, response.CloseBodyStream()) }()
	body, err = io.ReadAll(io.LimitReader(stream, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, errReplyTooLarge
	}
	return body, nil
}

// fillRequest fills an HTTP request from a call. The connection is closed after
// a call that may not be repeated.
func fillRequest(request *fasthttp.Request, address netip.AddrPort, call Call) {
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
		request.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	request.SetBody(call.Body)
	if !call.Repeatable {
		request.SetConnectionClose()
	}
}

// newReply copies a response, except for its body, out of memory that the HTTP library
// reuses.
func newReply(response *fasthttp.Response, body []byte) Reply {
	reply := Reply{Status: response.StatusCode(), Body: body}
	for name, value := range response.Header.All() {
		if !unforwardedHeaders[strings.ToLower(string(name))] {
			reply.Header = append(reply.Header, Header{Name: string(name), Value: string(value)})
		}
	}
	return reply
}
