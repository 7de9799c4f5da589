package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
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

	streamsOnce sync.Once
	streams     *fasthttp.HostClient
	// calls makes the calls whose responses are not streamed; nil until the first one and
	// after CloseIdle.
	calls atomic.Pointer[connection.HTTPClient]
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
	_, err := e.do(ctx, fasthttp.MethodDelete, "/v1/streams/"+url.PathEscape(requestID), nil)
	return err
}

// Report fetches the engine's latest load report.
func (e *Engine) Report(ctx context.Context) (Report, error) {
	body, err := e.do(ctx, fasthttp.MethodGet, "/v1/load", nil)
	if err != nil {
		return Report{}, err
	}
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return Report{}, ErrWrongAnswer.Wrap(err)
	}
	return report, nil
}

// CloseIdle has no further call use the idle connections. Once one connection to the engine
// has failed, they may be dead as well.
func (e *Engine) CloseIdle() {
	e.streamClient().CloseIdleConnections()
	e.calls.Store(nil)
}

func (e *Engine) sendOrder(ctx context.Context, path string, order orderBody) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return err
	}
	_, err = e.do(ctx, fasthttp.MethodPost, path, encoded)
	return err
}

// do makes a call whose response is not streamed, and returns the body of the response. It
// returns an error response as an error of the class that matches the response's error
// code. A call that was started ends with its response or its timeout: the engine may carry
// it out.
func (e *Engine) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	timeout := e.OrderTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d))
	}
	response, err := e.callClient().Do(context.WithoutCancel(ctx), connection.Request{Method: method, URI: e.uri(path), Body: body, Timeout: timeout})
	if err != nil {
		return nil, e.classifyCallError(err)
	}
	return response.Body, responseError(response.Status, response.Body)
}

// uri returns the URI of a path on the engine.
func (e *Engine) uri(path string) string { return "http://" + e.Address.String() + path }

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

// callClient returns the client of the calls whose responses are not streamed. Its
// responses end with the timeouts of the calls, however slowly their bytes arrive.
func (e *Engine) callClient() *connection.HTTPClient {
	if client := e.calls.Load(); client != nil {
		return client
	}
	client := &connection.HTTPClient{
		Dialer:           connection.Dialer{ConnectTimeout: connectTimeout, AckTimeout: e.SilenceLimit},
		MaxConnections:   maxEngineConns,
		MaxIdleTime:      engineIdleTimeout,
		MaxResponseBytes: maxResponseBytes,
		CloseIdleOnError: true,
	}
	e.calls.Store(client)
	return client
}

// streamClient returns the connection pool of the streams. It disables the retries of
// fasthttp, which by default repeats a call whose connection was closed before the
// response.
func (e *Engine) streamClient() *fasthttp.HostClient {
	e.streamsOnce.Do(func() {
		dialer := &connection.Dialer{
			ConnectTimeout: connectTimeout,
			ReadTimeout:    e.SilenceLimit,
			AckTimeout:     e.SilenceLimit,
		}
		e.streams = &fasthttp.HostClient{
			Addr:                      e.Address.String(),
			Dial:                      dialer.Dial,
			MaxConns:                  maxEngineConns,
			MaxIdleConnDuration:       engineIdleTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			StreamResponseBody:        true,
		}
	})
	return e.streams
}

func setFencingHeader(req *fasthttp.Request, fencing uint64) {
	req.Header.Set("X-Fencing-Number", strconv.FormatUint(fencing, 10))
}
