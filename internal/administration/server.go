// Package administration is the HTTP server for operators: they publish release
// notes, query their status, and inspect targets, teams and readiness. It uses a
// listener and keys that are separate from those of callers.
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

// Timeouts of operators' requests and connections.
const (
	publishTimeout = 30 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 75 * time.Second
	closeTimeout   = 5 * time.Second
)

// OperatorKey is the ID and hash of an operator's key.
type OperatorKey = key.OperatorKey

// Target describes a target with what this instance knows of it.
type Target struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Kind string `json:"kind"`
	// Owner is the ID of the instance that owns the target; empty when no owner is
	// known.
	Owner         string `json:"owner,omitempty"`
	FencingNumber uint64 `json:"fencing_number,omitempty"`
	Leaving       bool   `json:"leaving"`
	// Resident lists the IDs of the adapters loaded on the target.
	Resident []string `json:"resident,omitempty"`
}

// Team describes a team's token rate and allowance.
type Team struct {
	Name            string  `json:"name"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	BurstTokens     float64 `json:"burst_tokens"`
	// RemainingTokens is the number of tokens that this instance can admit now
	// without a grant from another instance.
	RemainingTokens float64 `json:"remaining_tokens"`
}

// Readiness describes whether this instance is ready and which release it serves.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// ReleaseInForce is the number of the latest release note in force on this
	// instance.
	ReleaseInForce uint64 `json:"release_in_force"`
	// ConfirmedAgeMS is the time in milliseconds since this instance was last known
	// to have all accepted notes; negative if it never was.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
}

// Server serves operators' requests over HTTP. It keeps no state: responses come
// from the function fields. Every request must carry a valid operator key. All
// fields must be set before Run and not changed afterwards.
type Server struct {
	// Listener accepts the connections; Run closes it.
	Listener net.Listener
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Keys are the operator keys that are accepted.
	Keys []OperatorKey
	// Publish publishes a validated note.
	Publish func(ctx context.Context, note release.Note) (publication.Attempt, error)
	// Resume settles an earlier attempt to publish the same note.
	Resume func(ctx context.Context, attempt publication.Attempt, note release.Note) (publication.Attempt, error)
	// Status returns in which zones a note is in force.
	Status func(ctx context.Context, number uint64) (publication.Status, error)
	// Targets, Teams and Readiness return the state as this instance knows it.
	Targets   func() []Target
	Teams     func() []Team
	Readiness func() Readiness
	Log       *zap.Logger
}

// Run serves requests until ctx ends, then closes the listener and waits up to
// closeTimeout for open connections.
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
		closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		closeErr = app.ShutdownWithContext(closeCtx)
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
		ErrorHandler:                 s.handleError,
	})
	app.Use(s.authenticate)
	app.Post("/v1/releases", s.handlePublish)
	app.Post("/v1/releases/lint", s.handleLint)
	app.Get("/v1/releases/:number", s.handleStatus)
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
