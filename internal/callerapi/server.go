// Package callerapi is the HTTP server for callers. It authenticates each request by
// its key, reserves tokens from the team's allowance, has the request executed
// through Server.Execute or Server.Call, and writes the complete answer or a
// refusal.
package callerapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

// Limits on callers' connections.
const (
	readTimeout = 60 * time.Second
	idleTimeout = 75 * time.Second
	// writeMargin is how long after a request's deadline its answer may still be
	// written.
	writeMargin    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// closeTimeout bounds the closing of connections after requests were canceled.
	closeTimeout = time.Second
)

// Limits bounds the size, the duration and the number of callers' requests.
type Limits struct {
	MaxBodyBytes     int
	DefaultMaxTokens int
	MaxTokens        int
	// BytesPerToken is how many bytes of a prompt count as one token.
	BytesPerToken float64
	// RequestTimeout bounds a request whose route sets no timeout.
	RequestTimeout time.Duration
	// PatientTimeout bounds a model request of class patient whose route sets no
	// timeout. No request may take longer than the longer of RequestTimeout and
	// PatientTimeout.
	PatientTimeout time.Duration
	// RequestsInFlight bounds the number of concurrent requests; zero means no
	// bound.
	RequestsInFlight int
}

// Server serves callers' requests over HTTP. It keeps no state except for the
// requests in flight: keys, routes and adapters are read from State for each
// request, so that a withdrawal takes effect with the next request, also on an open
// connection. The arguments passed to Execute and Call are copies that stay
// valid after the HTTP request ends, and contain no caller's key.
//
// All fields must be set before Run and not changed afterwards.
type Server struct {
	// State returns the state of the releases in force, or nil if there is none
	// yet.
	State func() *release.State
	// Authenticate returns the key in force that matches a bearer token, or an
	// error if there is none.
	Authenticate func(s *release.State, token string) (release.Key, error)
	// CheckKeysConfirmed returns an error when this instance has been unable for too
	// long to find out which keys were withdrawn.
	CheckKeysConfirmed func() error
	// Admit reserves tokens from a team's allowance.
	Admit func(ctx context.Context, team string, tokens float64) (team.Reservation, error)
	// Execute runs a model request, passes its chunks to emit and returns the
	// tokens it used.
	Execute func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error)
	// Call sends a call to a plain service and returns its reply.
	Call func(ctx context.Context, c dispatch.Call) (dispatch.Reply, error)
	// CheckReady returns an error while no new requests should be routed to this
	// instance.
	CheckReady func() error
	// Observe receives the outcome of each request; may be nil.
	Observe func(Outcome)

	// Listener accepts the connections. If it is nil, Run listens on ListenAddress.
	Listener      net.Listener
	ListenAddress netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS    *tls.Config
	Limits Limits
	// DrainDelay is the time between the end of Run's context and the closing of
	// the listener. The readiness probe already fails during it.
	DrainDelay time.Duration
	// Grace bounds the wait for requests in flight after DrainDelay.
	Grace time.Duration
	Log   *zap.Logger

	draining       atomic.Bool
	inFlight       atomic.Int64
	patientWaiters teamWaiters
	// requestsCtx is the parent context of all requests. It is canceled after
	// Grace.
	requestsCtx context.Context
}

// Run serves requests until ctx ends, then shuts down gracefully: it waits for
// DrainDelay, closes the listener and waits up to Grace for the requests in
// flight. It returns nil after a shutdown that aborted no request,
// ErrRequestsAborted if requests were canceled, and ErrServe if the listener
// fails.
func (s *Server) Run(ctx context.Context) error {
	requestsCtx, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRequests()
	s.requestsCtx = requestsCtx
	listener, err := s.listen()
	if err != nil {
		return err
	}
	app := s.app()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var shutdownErr, serveErr error
	var tasks conc.WaitGroup
	tasks.Go(func() {
		<-serving.Done()
		shutdownErr = s.shutdown(app, cancelRequests)
	})
	tasks.Go(func() {
		defer stop()
		serveErr = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	tasks.Wait()
	if serveErr != nil {
		return ErrServe.Wrap(serveErr)
	}
	return shutdownErr
}

// Draining reports whether the server is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

func (s *Server) listen() (net.Listener, error) {
	listener := s.Listener
	if listener == nil {
		opened, err := net.Listen("tcp", s.ListenAddress.String())
		if err != nil {
			return nil, ErrServe.Wrap(err)
		}
		listener = opened
	}
	listener = delayedCloseListener{Listener: listener}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	return listener, nil
}

func (s *Server) shutdown(app *fiber.App, cancelRequests func()) error {
	s.draining.Store(true)
	time.Sleep(s.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if err := app.ShutdownWithContext(ctx); err == nil {
		return nil
	}
	aborted := s.inFlight.Load()
	cancelRequests()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	if err := app.ShutdownWithContext(closeCtx); err != nil {
		s.Log.Warn("connections left open at shutdown", zap.Error(err))
	}
	if aborted == 0 {
		return nil
	}
	return ErrRequestsAborted.New("%d requests", aborted)
}

// app returns the HTTP routes.
func (s *Server) app() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:                    s.Limits.MaxBodyBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               maxHeaderBytes,
		DisablePreParseMultipartForm: true,
		CaseSensitive:                true,
		StrictRouting:                true,
		ErrorHandler:                 s.handleError,
	})
	app.Get("/livez", s.handleLive)
	app.Get("/readyz", s.handleReady)
	app.Post("/v1/completions", s.track(s.handleCompletions))
	app.Post("/v1/chat/completions", s.track(s.handleChatCompletions))
	app.Get("/v1/models", s.track(s.handleModels))
	app.All("/services/:service/*", s.track(s.handleService))
	app.All("/services/:service", s.track(s.handleService))
	return app
}

// track wraps a handler. It assigns the request an ID and a write deadline, refuses
// it if too many requests are in flight, turns a panic into a refusal and records
// the outcome. A request refused because too many are in flight is not recorded.
func (s *Server) track(next func(c fiber.Ctx, r *activeRequest) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		r := newActiveRequest(c, s.Limits.RequestTimeout)
		if n := s.inFlight.Add(1); s.Limits.RequestsInFlight > 0 && n > int64(s.Limits.RequestsInFlight) {
			s.inFlight.Add(-1)
			return r.refuse(c, refusal.NotRun(refusal.CodeOverloaded, "this instance serves as many requests as it may").WithRetryAfter(time.Second))
		}
		r.onEnd = func(err error) { s.recordOutcome(r, err) }
		if s.draining.Load() {
			c.RequestCtx().SetConnectionClose()
		}
		var err error
		if panicked := panics.Try(func() { err = next(c, r) }); panicked != nil {
			err = refusal.MayHaveRun(refusal.CodeInternal, "internal error").WithCause(panicked.AsError())
		}
		r.finish(err)
		if err != nil {
			return r.refuse(c, refusal.From(err))
		}
		return nil
	}
}
