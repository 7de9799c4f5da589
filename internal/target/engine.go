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
	connectTimeout     = 2 * time.Second
	maxEngineConns     = 4096
	maxIdleEngineConn  = 30 * time.Second
	maxReportBodyBytes = 4 << 20
)

// Engine is the client of one engine. It never repeats a call by itself, and it
// passes on nothing of the caller's but the request's body.
type Engine struct {
	Address netip.AddrPort
	// SilenceLimit is how long an open stream may be silent.
	SilenceLimit time.Duration
	// OrderTimeout bounds one order or report.
	OrderTimeout time.Duration

	once   sync.Once
	client *fasthttp.HostClient
}

// Calls is what an owner asks of its engine, as function fields.
type Calls struct {
	// Stream runs a request and emits its answer whole.
	Stream func(ctx context.Context, r *Request, fencing uint64, emit Emit) (Usage, error)
	// Load and Evict return when the order is carried out.
	Load  func(ctx context.Context, id adapter.ID, fencing uint64) error
	Evict func(ctx context.Context, id adapter.ID, fencing uint64) error
	// Fence presents the fencing number and does nothing else.
	Fence func(ctx context.Context, fencing uint64) error
	// Report returns the latest load report.
	Report func(ctx context.Context) (Report, error)
}

// Calls returns the calls on the engine.
func (e *Engine) Calls() Calls {
	return Calls{Stream: e.Stream, Load: e.Load, Evict: e.Evict, Fence: e.Fence, Report: e.Report}
}

// Report is what an engine says of itself, with a lag.
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

type order struct {
	Adapter       string `json:"adapter,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

type engineError struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Load orders the engine to load an adapter and returns when it is resident.
func (e *Engine) Load(ctx context.Context, id adapter.ID, fencing uint64) error {
	return e.order(ctx, "/v1/adapters/load", order{Adapter: id.String(), FencingNumber: fencing})
}

// Evict orders the engine to drop an adapter.
func (e *Engine) Evict(ctx context.Context, id adapter.ID, fencing uint64) error {
	return e.order(ctx, "/v1/adapters/evict", order{Adapter: id.String(), FencingNumber: fencing})
}

// Fence is an order that does nothing but present the fencing number.
func (e *Engine) Fence(ctx context.Context, fencing uint64) error {
	return e.order(ctx, "/v1/fence", order{FencingNumber: fencing})
}

// Cancel tells the engine that nobody wants a stream any more.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	req, resp := e.acquire(fasthttp.MethodDelete, "/v1/streams/"+url.PathEscape(requestID))
	defer recycle(req, resp)
	return e.do(ctx, req, resp)
}

// Report asks the engine for its latest load report.
func (e *Engine) Report(ctx context.Context) (Report, error) {
	req, resp := e.acquire(fasthttp.MethodGet, "/v1/load")
	defer recycle(req, resp)
	if err := e.do(ctx, req, resp); err != nil {
		return Report{}, err
	}
	var report Report
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return Report{}, ErrWrongAnswer.Wrap(err)
	}
	return report, nil
}

// CloseIdle closes the connections that no call uses, after one to the same
// address was found dead.
func (e *Engine) CloseIdle() { e.host().CloseIdleConnections() }

func (e *Engine) order(ctx context.Context, path string, body order) error {
	req, resp := e.acquire(fasthttp.MethodPost, path)
	defer recycle(req, resp)
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(encoded)
	return e.do(ctx, req, resp)
}

// do runs one call that is not streamed and maps its refusal.
func (e *Engine) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	deadline := time.Now().Add(e.OrderTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := e.host().DoDeadline(req, resp, deadline); err != nil {
		return e.callFailed(err)
	}
	return refusedBy(resp.StatusCode(), resp.Body())
}

// callFailed tells a call of which nothing was sent from one that broke, and
// drops the pooled connections that may share the fault.
func (e *Engine) callFailed(err error) error {
	if connection.ErrDial.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return ErrUnreached.Wrap(err)
	}
	e.CloseIdle()
	return ErrBroken.Wrap(err)
}

func refusedBy(status int, body []byte) error {
	if status < fasthttp.StatusBadRequest {
		return nil
	}
	var refusal engineError
	if err := json.Unmarshal(body, &refusal); err != nil {
		return ErrRefused.New("status %d", status)
	}
	switch refusal.Error.Code {
	case "adapter_not_loaded":
		return ErrNotLoaded.New("%s", refusal.Error.Message)
	case "stale_fencing":
		return ErrStaleFencing.New("%s", refusal.Error.Message)
	case "no_free_slot":
		return ErrNoSlot.New("%s", refusal.Error.Message)
	case "load_failed":
		return ErrLoadFailed.New("%s", refusal.Error.Message)
	case "unknown_stream":
		return ErrUnknownStream.New("%s", refusal.Error.Message)
	}
	return ErrRefused.New("status %d: %s", status, refusal.Error.Message)
}

func (e *Engine) acquire(method, path string) (*fasthttp.Request, *fasthttp.Response) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + e.Address.String() + path)
	return req, resp
}

func recycle(req *fasthttp.Request, resp *fasthttp.Response) {
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}

// host returns the connection pool. Only one attempt is made of each call: the
// library's default repeats calls whose connection closed before the answer.
func (e *Engine) host() *fasthttp.HostClient {
	e.once.Do(func() {
		dialer := &connection.Dialer{
			ConnectTimeout: connectTimeout,
			SilenceLimit:   e.SilenceLimit,
			AckTimeout:     e.SilenceLimit,
		}
		e.client = &fasthttp.HostClient{
			Addr:                      e.Address.String(),
			Dial:                      dialer.Dial,
			MaxConns:                  maxEngineConns,
			MaxIdleConnDuration:       maxIdleEngineConn,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			MaxResponseBodySize:       maxReportBodyBytes,
		}
	})
	return e.client
}

func fencingHeader(req *fasthttp.Request, fencing uint64) {
	req.Header.Set("X-Fencing-Number", strconv.FormatUint(fencing, 10))
}
