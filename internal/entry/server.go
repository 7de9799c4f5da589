// Package entry answers callers over HTTP: it checks their keys, reserves their
// tokens, hands their requests on and gives each its whole answer or a refusal.
package entry

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

// The time limits on callers' connections.
const (
	readTimeout  = 60 * time.Second
	idleTimeout  = 75 * time.Second
	writeLeeway  = 30 * time.Second
	headerBytes  = 16 << 10
	closeTimeout = time.Second
)

// Limits bounds what one caller's request may ask for.
type Limits struct {
	MaxBodyBytes     int
	DefaultMaxTokens int
	MaxTokens        int
	// BytesPerToken is how many bytes of a prompt count as one token.
	BytesPerToken float64
	// RequestTimeout bounds a request whose route states no timeout.
	RequestTimeout time.Duration
	// PatientTimeout bounds a model request of class patient whose route states
	// none. No request may take longer than the longer of the two.
	PatientTimeout time.Duration
	// RequestsInFlight bounds the requests that are served at once.
	RequestsInFlight int
}

// Server answers callers. It holds no state of its own beyond the requests that
// it serves: keys, routes and adapters are read from State for each request, so
// that a withdrawal counts from the next request on, also on an open
// connection. Whatever it passes to Execute and Call is a copy that outlives the
// HTTP request, and holds no caller's key.
//
// All fields are set before Run and not changed after.
type Server struct {
	// State returns the state of releases in force; nil before there is one.
	State func() *release.State
	// Authenticate returns the key that a bearer token proves, or an error.
	Authenticate func(s *release.State, token string) (release.Key, error)
	// KeysConfirmed fails while withdrawals of keys cannot be known.
	KeysConfirmed func() error
	// Admit takes tokens from a team's allowance.
	Admit func(ctx context.Context, team string, tokens float64) (team.Reservation, error)
	// Execute runs a model request and returns what it used.
	Execute func(ctx context.Context, r target.Request, emit target.Emit) (target.Usage, error)
	// Call runs a call to a plain service.
	Call func(ctx context.Context, c dispatch.Call) (dispatch.Reply, error)
	// Ready fails while this instance should get no new callers.
	Ready func() error
	// Observe is told how each request ended; may be nil.
	Observe func(Outcome)

	// Listener is used when set, else Listen.
	Listener net.Listener
	Listen   netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS    *tls.Config
	Limits Limits
	// DrainDelay is the time between the end of Run's context and the closing
	// of the listener, while Ready already fails.
	DrainDelay time.Duration
	// Grace bounds the wait for running requests after that.
	Grace time.Duration
	Log   *zap.Logger

	draining atomic.Bool
	inFlight atomic.Int64
	waiting  waiters
	// work ends when running requests are given up.
	work context.Context
}

// Run serves callers until ctx ends and the running requests are finished, or
// Grace is over. It returns nil after a shutdown that cut nothing.
func (s *Server) Run(ctx context.Context) error {
	work, giveUp := context.WithCancel(context.WithoutCancel(ctx))
	defer giveUp()
	s.work = work
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
		shutdownErr = s.shutdown(app, giveUp)
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
		opened, err := net.Listen("tcp", s.Listen.String())
		if err != nil {
			return nil, ErrServe.Wrap(err)
		}
		listener = opened
	}
	listener = lingerListener{Listener: listener}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	return listener, nil
}

func (s *Server) shutdown(app *fiber.App, giveUp func()) error {
	s.draining.Store(true)
	time.Sleep(s.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if err := app.ShutdownWithContext(ctx); err == nil {
		return nil
	}
	cut := s.inFlight.Load()
	giveUp()
	last, cancelLast := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelLast()
	if err := app.ShutdownWithContext(last); err != nil {
		s.Log.Warn("connections left open at shutdown", zap.Error(err))
	}
	if cut == 0 {
		return nil
	}
	return ErrCut.New("%d requests", cut)
}

// app returns the HTTP routes.
func (s *Server) app() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:                    s.Limits.MaxBodyBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               headerBytes,
		DisablePreParseMultipartForm: true,
		CaseSensitive:                true,
		StrictRouting:                true,
		ErrorHandler:                 s.handleError,
	})
	app.Get("/livez", s.live)
	app.Get("/readyz", s.ready)
	app.Post("/v1/completions", s.counted(s.completions))
	app.Post("/v1/chat/completions", s.counted(s.chatCompletions))
	app.Get("/v1/models", s.counted(s.models))
	app.All("/services/:service/*", s.counted(s.service))
	app.All("/services/:service", s.counted(s.service))
	return app
}

// counted gives a request its id, bounds the requests in flight and the time
// that writing an answer may take.
func (s *Server) counted(next func(c fiber.Ctx, r *caller) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		r := newCaller(c, s.Limits.RequestTimeout)
		if n := s.inFlight.Add(1); s.Limits.RequestsInFlight > 0 && n > int64(s.Limits.RequestsInFlight) {
			s.inFlight.Add(-1)
			return r.refuse(c, refusal.NotRun(refusal.CodeOverloaded, "this instance serves as many requests as it may").After(time.Second))
		}
		r.end = func(err error) { s.ended(r, err) }
		if s.draining.Load() {
			c.RequestCtx().SetConnectionClose()
		}
		var err error
		if panicked := panics.Try(func() { err = next(c, r) }); panicked != nil {
			err = refusal.MayHaveRun(refusal.CodeInternal, "internal error").Because(panicked.AsError())
		}
		r.finish(err)
		if err != nil {
			return r.refuse(c, refusal.From(err))
		}
		return nil
	}
}
