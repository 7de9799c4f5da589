// Package administration serves operators over HTTP: publishing and following
// release notes, and looking at targets, teams and readiness. It has its own
// listener and its own keys, apart from callers'.
package administration

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/key"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// The bounds of operators' requests.
const (
	publishTimeout = 30 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 75 * time.Second
	closeTimeout   = 5 * time.Second
)

// OperatorKey is a key of an operator.
type OperatorKey = key.Operator

// Target is a target as this instance knows it.
type Target struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Kind string `json:"kind"`
	// Owner is the instance that owns it; empty when none is known.
	Owner         string   `json:"owner,omitempty"`
	FencingNumber uint64   `json:"fencing_number,omitempty"`
	Leaving       bool     `json:"leaving"`
	Resident      []string `json:"resident,omitempty"`
}

// Team is a team with what it may spend.
type Team struct {
	Name            string  `json:"name"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	BurstTokens     float64 `json:"burst_tokens"`
	// RemainingTokens may be spent at once through this instance, without
	// asking others.
	RemainingTokens float64 `json:"remaining_tokens"`
}

// Readiness is what this instance says of itself.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// ReleaseInForce is the last release note in force here.
	ReleaseInForce uint64 `json:"release_in_force"`
	// ConfirmedAgeMS is how long ago it was last known that no newer note had
	// been accepted; negative when never.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
}

// Server answers operators. It holds no state: each answer is made from the
// function fields, and every request must show an operator's key. All fields
// are set before Run and not changed after.
type Server struct {
	// Listener is where to serve; Run closes it.
	Listener net.Listener
	// TLS is nil for plain HTTP.
	TLS  *tls.Config
	Keys []OperatorKey
	// Publish publishes a checked note.
	Publish func(ctx context.Context, note release.Note) (publication.Attempt, error)
	// Resume settles an earlier attempt with the same note.
	Resume func(ctx context.Context, attempt publication.Attempt, note release.Note) (publication.Attempt, error)
	// Status tells where a note is in force.
	Status func(ctx context.Context, number uint64) (publication.Status, error)
	// Targets, Teams and Readiness tell what this instance knows.
	Targets   func() []Target
	Teams     func() []Team
	Readiness func() Readiness
	Log       *zap.Logger
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener := s.Listener
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	app := s.app()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var serveErr, closeErr error
	var tasks conc.WaitGroup
	tasks.Go(func() {
		<-serving.Done()
		last, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		closeErr = app.ShutdownWithContext(last)
	})
	tasks.Go(func() {
		defer stop()
		serveErr = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	tasks.Wait()
	if serveErr != nil {
		return ErrServe.Wrap(serveErr)
	}
	return ErrServe.Wrap(closeErr)
}

func (s *Server) app() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:                    release.MaxNoteBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		DisablePreParseMultipartForm: true,
		CaseSensitive:                true,
		StrictRouting:                true,
		ErrorHandler:                 s.fail,
	})
	app.Use(s.authenticate)
	app.Post("/v1/releases", s.publish)
	app.Post("/v1/releases/lint", s.lint)
	app.Get("/v1/releases/:number", s.status)
	app.Get("/v1/targets", func(c fiber.Ctx) error { return c.JSON(targetList{Targets: s.Targets()}) })
	app.Get("/v1/teams", func(c fiber.Ctx) error { return c.JSON(teamList{Teams: s.Teams()}) })
	app.Get("/v1/readiness", func(c fiber.Ctx) error { return c.JSON(s.Readiness()) })
	return app
}

type targetList struct {
	Targets []Target `json:"targets"`
}

type teamList struct {
	Teams []Team `json:"teams"`
}
