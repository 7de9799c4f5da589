package connection

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// ErrResponseTooLarge is the class of errors of a response whose body exceeds
// HTTPClient.MaxResponseBytes, or comes in too many chunks for its size.
var ErrResponseTooLarge = errs.Class("response too large")

// DefaultMaxResponseBytes bounds the body of a response of an HTTPClient that sets no
// bound.
const DefaultMaxResponseBytes = 1 << 20

// Request describes one HTTP request.
type Request struct {
	Method string
	// URI is an absolute URI, http://IP:port/path?query.
	URI string
	// Header holds the header fields besides the content type; may be nil.
	Header map[string]string
	// Body is a JSON document; nil for a request without a body.
	Body []byte
	// Timeout bounds the time from the start of the request to the end of the
	// response.
	Timeout time.Duration
	// Answers reports whether a response can be the one to this request; nil if each can.
	// If not, it may be a late one to an earlier request on its connection, and the
	// request, which has to be safe to repeat, is sent once more, on a connection of its
	// own. The response to that one counts, whatever it is.
	Answers func(Response) bool
}

// Response is the response to a request.
type Response struct {
	Status int
	// Header holds the status and the header fields.
	Header *fasthttp.ResponseHeader
	Body   []byte
}

// HTTPClient sends short HTTP requests over pooled connections. Each request is
// sent at most once, unless it names what can answer it: the HTTP library retries just those
// of which nothing was written. A
// response takes memory only for bytes that have arrived, whatever lengths it names, and
// fails once its body exceeds the bound. Set the exported fields before the first call of
// Do. It is safe for concurrent use.
type HTTPClient struct {
	// Dialer dials the connections.
	Dialer Dialer
	// MaxConnections bounds the connections to one address; zero means the default
	// of the HTTP library.
	MaxConnections int
	// MaxIdleTime is how long an idle connection is kept.
	MaxIdleTime time.Duration
	// MaxResponseBytes bounds the body of a response; zero means
	// DefaultMaxResponseBytes.
	MaxResponseBytes int
	// CloseIdleOnError is set to close the idle connections after a request without a
	// response, since they may be as dead as the one that failed. It is meant for
	// use with a single address: the idle connections to all addresses are closed.
	CloseIdleOnError bool
	// Calls counts the requests that were started.
	Calls atomic.Uint64

	once sync.Once
	http *fasthttp.Client
	// single makes requests on connections of their own.
	single *fasthttp.Client
}

func (c *HTTPClient) init() {
	c.once.Do(func() {
		c.single = &fasthttp.Client{
			Dial:                      c.Dialer.Dial,
			MaxConnsPerHost:           c.MaxConnections,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        true,
			NoDefaultUserAgentHeader:  true,
		}
		c.http = &fasthttp.Client{
			Dial:                      c.dial,
			MaxConnsPerHost:           c.MaxConnections,
			MaxIdleConnDuration:       c.MaxIdleTime,
			MaxIdemponentCallAttempts: 1 + maxStaleConnections,
			RetryIfErr:                retryStale,
			// The library allocates what a buffered body names before it arrives.
			StreamResponseBody:       true,
			NoDefaultUserAgentHeader: true,
		}
	})
}

func (c *HTTPClient) dial(address string) (net.Conn, error) {
	conn, err := c.Dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn}, nil
}

// Do sends a request and returns its response. It returns as soon as ctx is done,
// even if the request is still in flight.
func (c *HTTPClient) Do(ctx context.Context, request Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	type outcome struct {
		response Response
		err      error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		response, err := c.sendUntilAnswered(ctx, request)
		outcomes <- outcome{response, err}
	}()
	select {
	case o := <-outcomes:
		return o.response, o.err
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
}

func (c *HTTPClient) sendUntilAnswered(ctx context.Context, request Request) (Response, error) {
	c.init()
	deadline := time.Now().Add(request.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	response, err := c.send(c.http, request, deadline)
	if err != nil || request.Answers == nil || request.Answers(response) {
		return response, err
	}
	return c.send(c.single, request, deadline)
}

func (c *HTTPClient) send(client *fasthttp.Client, request Request, deadline time.Time) (Response, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(request.Method)
	httpRequest.SetRequestURI(request.URI)
	for name, value := range request.Header {
		httpRequest.Header.Set(name, value)
	}
	if request.Body != nil {
		httpRequest.Header.SetContentType("application/json")
		httpRequest.SetBody(request.Body)
	}
	if client == c.single {
		httpRequest.SetConnectionClose()
	}
	c.Calls.Add(1)
	if err := client.DoDeadline(httpRequest, httpResponse, deadline); err != nil {
		return Response{}, c.failed(err)
	}
	body, err := c.readBody(httpResponse)
	if err != nil {
		return Response{}, c.failed(err)
	}
	header := &fasthttp.ResponseHeader{}
	httpResponse.Header.CopyTo(header)
	return Response{Status: header.StatusCode(), Header: header, Body: body}, nil
}

// readBody reads the body of a response, until the deadline of its request. The
// connection is closed unless the body was read to its end.
func (c *HTTPClient) readBody(response *fasthttp.Response) (body []byte, err error) {
	stream := response.BodyStream()
	if stream == nil {
		return append([]byte(nil), response.Body()...), nil
	}
	defer func() { err = errs.Combine(err, response.CloseBodyStream()) }()
	limit := c.maxResponseBytes()
	if response.Header.ContentLength() == chunked {
		stream = &chunkReader{stream: stream}
	}
	body, err = io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, ErrResponseTooLarge.New("more than %d bytes", limit)
	}
	return body, nil
}

// chunked is the length that the HTTP library states for a body in chunks.
const chunked = -1

// chunkReader reads a body in chunks. It fails once the chunks are too small: their framing
// would take many times the work and the bytes of the body.
type chunkReader struct {
	stream       io.Reader
	reads, bytes int
}

// A body may come in maxSmallChunks, and in so many more for each of its bytes.
const (
	maxSmallChunks   = 16 << 10
	maxChunksPerByte = 0.75
)

// Read returns bytes of one chunk.
func (r *chunkReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.reads++
	r.bytes += n
	if float64(r.reads) > maxSmallChunks+maxChunksPerByte*float64(r.bytes) {
		return n, ErrResponseTooLarge.New("%d bytes in %d chunks", r.bytes, r.reads)
	}
	return n, err
}

func (c *HTTPClient) maxResponseBytes() int {
	if c.MaxResponseBytes == 0 {
		return DefaultMaxResponseBytes
	}
	return c.MaxResponseBytes
}

// CloseIdle closes the idle connections to all addresses.
func (c *HTTPClient) CloseIdle() {
	c.init()
	c.http.CloseIdleConnections()
}

// failed returns the error of a request without a response.
func (c *HTTPClient) failed(err error) error {
	if c.CloseIdleOnError {
		c.CloseIdle()
	}
	return err
}
