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

// ErrServe is the kind of errors of the listener.
var ErrServe = errs.Class("administration")

// failure is the JSON of every answer that is not a success.
type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    refusal.Code `json:"code"`
	Message string       `json:"message"`
	// NotRun says that nothing was published and nothing will be.
	NotRun   bool            `json:"not_run"`
	Problems strict.Problems `json:"problems,omitempty"`
	// Resume settles a publish whose outcome is open.
	Resume string `json:"resume,omitempty"`
}

// fail answers an error.
func (s *Server) fail(c fiber.Ctx, err error) error {
	e := asRefusal(err)
	detail := failureDetail{Code: e.Code, Message: e.Message, NotRun: e.NotRun}
	var open *openError
	if errors.As(err, &open) {
		detail.Resume = open.resume()
	}
	errors.As(err, &detail.Problems)
	s.Log.Warn("administration_refused", zap.String("method", c.Method()), zap.String("path", c.Path()),
		zap.String("code", string(e.Code)), zap.Error(e.Cause))
	return c.Status(e.Status()).JSON(failure{Error: detail})
}

// asRefusal tells what an error means to the operator.
func asRefusal(err error) *refusal.Error {
	var e *refusal.Error
	var library *fiber.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &library) && library.Code == fiber.StatusRequestEntityTooLarge:
		return refusal.NotRun(refusal.CodeTooLarge, "the note is larger than %d bytes", release.MaxNoteBytes)
	case errors.As(err, &library) && library.Code < fiber.StatusInternalServerError:
		return refusal.NotRun(refusal.CodeUnknownRoute, "no such method and path")
	case release.ErrInvalid.Has(err):
		return refusal.NotRun(refusal.CodeInvalidRequest, "the release note is not valid").Because(err)
	case publication.ErrTooLarge.Has(err):
		return refusal.NotRun(refusal.CodeTooLarge, "%s", err).Because(err)
	case publication.ErrNotAccepted.Has(err):
		return refusal.NotRun(refusal.CodePlatformAway, "the note was not accepted: the platform did not answer").Because(err)
	case publication.ErrUncertain.Has(err):
		return refusal.MayHaveRun(refusal.CodePlatformAway, "the note may have been accepted: publish it again with resume").Because(err)
	case objectstore.ErrUnavailable.Has(err), objectstore.ErrThrottled.Has(err):
		return refusal.NotRun(refusal.CodePlatformAway, "the platform did not answer").Because(err)
	}
	return refusal.MayHaveRun(refusal.CodeInternal, "internal error").Because(err)
}
