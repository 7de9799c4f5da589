package administration

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"heatherrelay/internal/key"
	"heatherrelay/internal/publication"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// openError is a publish whose outcome is not known.
type openError struct {
	attempt publication.Attempt
	error
}

// Unwrap returns the cause.
func (e *openError) Unwrap() error { return e.error }

// resume returns the text by which the attempt is taken up again.
func (e *openError) resume() string {
	return fmt.Sprintf("%s@%d", e.attempt.PublishID, e.attempt.Number)
}

// authenticate lets only operators pass.
func (s *Server) authenticate(c fiber.Ctx) error {
	refused := refusal.NotRun(refusal.CodeUnauthenticated, "want the header Authorization: Bearer KEY with an operator's key")
	k, err := key.ParseBearer(c.Get(fiber.HeaderAuthorization))
	if err != nil {
		return refused.Because(err)
	}
	if !k.IsOperator(s.Keys) {
		return refused.Because(key.ErrUnknown.New("%s", k.ID))
	}
	return c.Next()
}

// parse reads the note in the body.
func parse(c fiber.Ctx) (release.Note, error) {
	note, err := release.Parse(bytes.NewReader(c.Body()))
	if err != nil {
		return release.Note{}, err
	}
	_, err = publication.Stored{Note: note}.Encode()
	return note, err
}

type lintResult struct {
	Valid bool `json:"valid"`
}

func (s *Server) lint(c fiber.Ctx) error {
	if _, err := parse(c); err != nil {
		return err
	}
	return c.JSON(lintResult{Valid: true})
}

func (s *Server) publish(c fiber.Ctx) error {
	note, err := parse(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	attempt, err := s.act(ctx, c.Query("resume"), note)
	if publication.ErrUncertain.Has(err) {
		return &openError{attempt: attempt, error: err}
	}
	if err != nil {
		return err
	}
	s.Log.Info("release_published", zap.Uint64("number", attempt.Number), zap.String("publish_id", attempt.PublishID))
	return c.Status(http.StatusCreated).JSON(attempt)
}

func (s *Server) act(ctx context.Context, resume string, note release.Note) (publication.Attempt, error) {
	if resume == "" {
		return s.Publish(ctx, note)
	}
	// The text is kept beyond the request, whose memory the library reuses.
	id, digits, _ := strings.Cut(strings.Clone(resume), "@")
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || id == "" || number == 0 {
		return publication.Attempt{}, refusal.NotRun(refusal.CodeInvalidRequest, "want ID@NUMBER").At("resume")
	}
	return s.Resume(ctx, publication.Attempt{PublishID: id, Number: number}, note)
}

func (s *Server) status(c fiber.Ctx) error {
	number, err := strconv.ParseUint(c.Params("number"), 10, 64)
	if err != nil || number == 0 {
		return refusal.NotRun(refusal.CodeInvalidRequest, "want the number of a release note").At("number")
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	status, err := s.Status(ctx, number)
	if err != nil {
		return err
	}
	return c.JSON(status)
}
