package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/connection"
)

const (
	connectTimeout    = 2 * time.Second
	maxEngineConns    = 4096
	engineIdleTimeout = 30 * time.Second
	maxResponseBytes  = 4 << 20
)

// Engine is an HTTP client for the engine of one target. It retries no call on its
// own, except that Stream resumes an interrupted response. Of a caller's HTTP request
// only the body reaches the engine. Exported fields are set before the first call.
type Engine struct {
	Address netip.AddrPort
	// SilenceLimit is how long a connection may deliver no data before it is closed.
	SilenceLimit time.Duration
	// OrderTimeout is the timeout of an order, a cancellation or a load report.
	OrderTimeout time.Duration

	clientOnce sync.Once
	client     *fasthttp.HostClient
}

// Calls holds the calls that an owner makes to its engine. They are function
// fields, so that tests can replace the engine.
type Calls struct {
	// Stream executes a request and emits its complete answer.
	Stream func(ctx context.Context, r *Request, fencing uint64, emit Emit) (Usage, error)
	// Load and Evict return once the engine has carried out the order.
	Load  func(ctx context.Context, id adapter.ID, fencing uint64) error
	Evict func(ctx context.Context, id adapter.ID, fencing uint64) error
	// Fence sends the fencing number without any other effect.
	Fence func(ctx context.Context, fencing uint64) error
	// Report returns the engine's latest load report.
	Report func(ctx context.Context) (Report, error)
}

// Calls returns the calls as methods of e.
func (e *Engine) Calls() Calls {
	return Calls{Stream: e.Stream, Load: e.Load, Evict: e.Evict, Fence: e.Fence, Report: e.Report}
}

// Report is an engine's report of its own state. It may lag behind that state.
type Report struct {
	IssuedAt      time.Time `json:"issued_at"`
	StartedAt     time.Time `json:"started_at"`
	Slots         int       `json:"slots"`
	Resident      []string  `json:"resident"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	MaxBatch      int       `json:"max_batch"`
	FencingNumber uint64    `json:"fencing_number"`
}

// orderBody is the JSON body of an order to the engine.
type orderBody struct {
	Adapter       string `json:"adapter,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

// errorBody is the JSON body of an error response from the engine.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Load orders the engine to load an adapter and returns once it is resident.
func (e *Engine) Load(ctx context.Context, id adapter.ID, fencing uint64) error {
	return e.sendOrder(ctx, "/v1/adapters/load", orderBody{Adapter: id.String(), FencingNumber: fencing})
}

// Evict orders the engine to unload an adapter.
func (e *Engine) Evict(ctx context.Context, id adapter.ID, fencing uint64) error {
	return e.sendOrder(ctx, "/v1/adapters/evict", orderBody{Adapter: id.String(), FencingNumber: fencing})
}

// Fence sends the fencing number to the engine without any other effect.
func (e *Engine) Fence(ctx context.Context, fencing uint64) error {
	return e.sendOrder(ctx, "/v1/fence", orderBody{FencingNumber: fencing})
}

// Cancel tells the engine to stop a stream.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	req, resp := e.acquire(fasthttp.MethodDelete, "/v1/streams/"+url.PathEscape(requestID))
	defer releaseBuffers(req, resp)
	return e.do(ctx, req, resp)
}

// Report fetches the engine's latest load report.
func (e *Engine) Report(ctx context.Context) (Report, error) {
	req, resp := e.acquire(fasthttp.MethodGet, "/v1/load")
	defer releaseBuffers(req, resp)
	if err := e.do(ctx, req, resp); err != nil {
		return Report{}, err
	}
	var report Report
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return Report{}, ErrWrongAnswer.Wrap(err)
	}
	return report, nil
}

// CloseIdle closes the idle connections of the pool. Once one connection to the engine
// has failed, the idle ones may be dead as well.
func (e *Engine) CloseIdle() { e.hostClient().CloseIdleConnections() }

func (e *Engine) sendOrder(ctx context.Context, path string, body orderBody) error {
	req, resp := e.acquire(fasthttp.MethodPost, path)
	defer releaseBuffers(req, resp)
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(encoded)
	return e.do(ctx, req, resp)
}

// do makes a call whose response is not streamed. It returns an error response as an
// error of the class that matches the response's error code.
func (e *Engine) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	deadline := time.Now().Add(e.OrderTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := e.hostClient().DoDeadline(req, resp, deadline); err != nil {
		return e.classifyCallError(err)
	}
	return responseError(resp.StatusCode(), resp.Body())
}

// classifyCallError returns err as ErrNotSent if no byte of the call was sent.
// Otherwise it returns ErrIncompleteResponse and closes the idle connections of the
// pool, which may have failed for the same reason.
func (e *Engine) classifyCallError(err error) error {
	if connection.ErrDial.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return ErrNotSent.Wrap(err)
	}
	e.CloseIdle()
	return ErrIncompleteResponse.Wrap(err)
}

// responseError returns the error of a response with the given status and body; nil
// for a status below 400.
func responseError(status int, body []byte) error {
	if status < fasthttp.StatusBadRequest {
		return nil
	}
	var parsed errorBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return ErrRefused.New("status %d", status)
	}
	switch parsed.Error.Code {
	case "adapter_not_loaded":
		return ErrNotLoaded.New("%s", parsed.Error.Message)
	case "stale_fencing":
		return ErrStaleFencing.New("%s", parsed.Error.Message)
	case "no_free_slot":
		return ErrNoFreeSlot.New("%s", parsed.Error.Message)
	case "load_failed":
		return ErrLoadFailed.New("%s", parsed.Error.Message)
	case "unknown_stream":
		return ErrUnknownStream.New("%s", parsed.Error.Message)
	}
	return ErrRefused.New("status %d: %s", status, parsed.Error.Message)
}

// acquire returns a request and a response from fasthttp's pools, to be returned
// with releaseBuffers.
func (e *Engine) acquire(method, path string) (*fasthttp.Request, *fasthttp.Response) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + e.Address.String() + path)
	return req, resp
}

// releaseBuffers returns a request and a response to fasthttp's pools.
func releaseBuffers(req *fasthttp.Request, resp *fasthttp.Response) {
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}

// hostClient returns the connection pool. It disables the retries of fasthttp, which
// by default repeats a call whose connection was closed before the response.
func (e *Engine) hostClient() *fasthttp.HostClient {
	e.clientOnce.Do(func() {
		dialer := &connection.Dialer{
			ConnectTimeout: connectTimeout,
			ReadTimeout:    e.SilenceLimit,
			AckTimeout:     e.SilenceLimit,
		}
		e.client = &fasthttp.HostClient{
			Addr:                      e.Address.String(),
			Dial:                      dialer.Dial,
			MaxConns:                  maxEngineConns,
			MaxIdleConnDuration:       engineIdleTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			MaxResponseBodySize:       maxResponseBytes,
		}
	})
	return e.client
}

func setFencingHeader(req *fasthttp.Request, fencing uint64) {
	req.Header.Set("X-Fencing-Number", strconv.FormatUint(fencing, 10))
}
