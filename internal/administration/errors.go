package administration

import (
	"errors"

	"github.com/gofiber/fiber/v3"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/strict"
	"heatherrelay/pkg/release"
)

// ErrServe is the class of errors that Run returns: serving or closing the
// listener failed.
var ErrServe = errs.Class("administration")

// failure is the JSON body of every error response.
type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    refusal.Code `json:"code"`
	Message string       `json:"message"`
	// NotRun is set when nothing was published and nothing will be.
	NotRun bool `json:"not_run"`
	// Problems lists the invalid fields of a release note.
	Problems strict.Problems `json:"problems,omitempty"`
	// Resume is the resume parameter with which a publish of uncertain outcome can
	// be repeated until it is settled.
	Resume string `json:"resume,omitempty"`
}

// handleError logs an error and writes it as the response.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	e := asRefusal(err)
	detail := failureDetail{Code: e.Code, Message: e.Message, NotRun: e.NotRun}
	var uncertain *uncertainError
	if errors.As(err, &uncertain) {
		detail.Resume = uncertain.resume()
	}
	errors.As(err, &detail.Problems)
	s.Log.Warn("administration_refused", zap.String("method", c.Method()), zap.String("path", c.Path()),
		zap.String("code", string(e.Code)), zap.Error(e.Cause))
	return c.Status(e.Status()).JSON(failure{Error: detail})
}

// asRefusal converts an error to the refusal that the operator receives.
func asRefusal(err error) *refusal.Error {
	var e *refusal.Error
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &fiberErr) && fiberErr.Code == fiber.StatusRequestEntityTooLarge:
		return refusal.NotRun(refusal.CodeBodyTooLarge, "the note is larger than %d bytes", release.MaxNoteBytes)
	case errors.As(err, &fiberErr) && fiberErr.Code < fiber.StatusInternalServerError:
		return refusal.NotRun(refusal.CodeUnknownRoute, "no such method and path")
	case release.ErrInvalid.Has(err):
		return refusal.NotRun(refusal.CodeInvalidRequest, "the release note is not valid").WithCause(err)
	case publication.ErrTooLarge.Has(err):
		return refusal.NotRun(refusal.CodeBodyTooLarge, "%s", err).WithCause(err)
	case publication.ErrNotAccepted.Has(err):
		return refusal.NotRun(refusal.CodePlatformUnavailable, "the note was not accepted: the platform did not answer").WithCause(err)
	case publication.ErrUncertain.Has(err):
		return refusal.MayHaveRun(refusal.CodePlatformUnavailable, "the note may have been accepted: publish it again with resume").WithCause(err)
	case objectstore.ErrUnavailable.Has(err), objectstore.ErrThrottled.Has(err):
		return refusal.NotRun(refusal.CodePlatformUnavailable, "the platform did not answer").WithCause(err)
	}
	return refusal.MayHaveRun(refusal.CodeInternal, "internal error").WithCause(err)
}
