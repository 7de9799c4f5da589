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

// uncertainError reports a publish that may or may not have been accepted.
type uncertainError struct {
	attempt publication.Attempt
	error
}

// Unwrap returns the underlying error.
func (e *uncertainError) Unwrap() error { return e.error }

// resume returns the resume parameter that continues the attempt, as ID@NUMBER.
func (e *uncertainError) resume() string {
	return fmt.Sprintf("%s@%d", e.attempt.PublishID, e.attempt.Number)
}

// authenticate refuses requests without a valid operator key.
func (s *Server) authenticate(c fiber.Ctx) error {
	unauthenticated := refusal.NotRun(refusal.CodeUnauthenticated, "want the header Authorization: Bearer KEY with an operator's key")
	k, err := key.ParseBearer(c.Get(fiber.HeaderAuthorization))
	if err != nil {
		return unauthenticated.WithCause(err)
	}
	if !k.IsOperator(s.Keys) {
		return unauthenticated.WithCause(key.ErrUnknown.New("%s", k.ID))
	}
	return c.Next()
}

// parseNote parses the release note in the body and checks that it can be stored.
func parseNote(c fiber.Ctx) (release.Note, error) {
	note, err := release.Parse(bytes.NewReader(c.Body()))
	if err != nil {
		return release.Note{}, err
	}
	_, err = publication.StoredNote{Note: note}.Encode()
	return note, err
}

// lintResult is the response to a note that passed the lint.
type lintResult struct {
	Valid bool `json:"valid"`
}

// handleLint validates a release note without publishing it.
func (s *Server) handleLint(c fiber.Ctx) error {
	if _, err := parseNote(c); err != nil {
		return err
	}
	return c.JSON(lintResult{Valid: true})
}

// handlePublish publishes a release note, or resumes an earlier attempt. An
// operator's disconnect does not cancel it.
func (s *Server) handlePublish(c fiber.Ctx) error {
	note, err := parseNote(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	attempt, err := s.publishOrResume(ctx, c.Query("resume"), note)
	if publication.ErrUncertain.Has(err) {
		return &uncertainError{attempt: attempt, error: err}
	}
	if err != nil {
		return err
	}
	s.Log.Info("release_published", zap.Uint64("number", attempt.Number), zap.String("publish_id", attempt.PublishID))
	return c.Status(http.StatusCreated).JSON(attempt)
}

// publishOrResume publishes the note, or settles the earlier attempt that resume
// identifies as ID@NUMBER.
func (s *Server) publishOrResume(ctx context.Context, resume string, note release.Note) (publication.Attempt, error) {
	if resume == "" {
		return s.Publish(ctx, note)
	}
	// Cloned because the ID outlives the request, whose memory the HTTP library
	// reuses.
	id, digits, _ := strings.Cut(strings.Clone(resume), "@")
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || id == "" || number == 0 {
		return publication.Attempt{}, refusal.NotRun(refusal.CodeInvalidRequest, "want ID@NUMBER").WithField("resume")
	}
	return s.Resume(ctx, publication.Attempt{PublishID: id, Number: number}, note)
}

// handleStatus returns in which zones a release note is in force.
func (s *Server) handleStatus(c fiber.Ctx) error {
	number, err := strconv.ParseUint(c.Params("number"), 10, 64)
	if err != nil || number == 0 {
		return refusal.NotRun(refusal.CodeInvalidRequest, "want the number of a release note").WithField("number")
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	status, err := s.Status(ctx, number)
	if err != nil {
		return err
	}
	return c.JSON(status)
}
