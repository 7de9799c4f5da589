package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"heatherrelay/internal/refusal"
)

// refusalBody is the JSON body of every refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Code    refusal.Code `json:"code"`
	Message string       `json:"message"`
	// NotRun is set when the request did not run and will not run.
	NotRun       bool   `json:"not_run"`
	Field        string `json:"field,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

func newRefusalBody(requestID string, e *refusal.Error) refusalBody {
	return refusalBody{Error: refusalDetail{
		Code:         e.Code,
		Message:      e.Message,
		NotRun:       e.NotRun,
		Field:        e.Field,
		RetryAfterMS: retryAfterMS(e.RetryAfter),
		RequestID:    requestID,
	}}
}

// retryAfterMS returns d in milliseconds, rounded up so that a caller does not
// retry too early.
func retryAfterMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// writeRefusal writes a refusal as the response, with its Retry-After header if
// it has one.
func writeRefusal(c fiber.Ctx, requestID string, e *refusal.Error) error {
	c.Set(headerRequestID, requestID)
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	return c.Status(e.Status()).JSON(newRefusalBody(requestID, e))
}

// refusalJSON returns a refusal as one line of JSON.
func refusalJSON(requestID string, e *refusal.Error) []byte {
	line, err := json.Marshal(newRefusalBody(requestID, e))
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"internal error","not_run":false}}`)
	}
	return line
}

// handleError writes the refusal of a request that the HTTP library rejects
// itself: one with an unknown path, a body that is too large or malformed
// headers.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	requestID := uuid.NewString()
	var fiberErr *fiber.Error
	if !errors.As(err, &fiberErr) {
		return writeRefusal(c, requestID, refusal.From(err))
	}
	e := refusal.NotRun(refusal.CodeInvalidRequest, "%s", fiberErr.Message)
	switch fiberErr.Code {
	case fiber.StatusRequestEntityTooLarge:
		e = refusal.NotRun(refusal.CodeBodyTooLarge, "the body is larger than %d bytes", s.Limits.MaxBodyBytes)
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		e = refusal.NotRun(refusal.CodeUnknownRoute, "no such method and path")
	}
	if e.Code != refusal.CodeUnknownRoute {
		delayClose(c)
	}
	if err := writeRefusal(c, requestID, e); err != nil {
		return err
	}
	c.Status(fiberErr.Code)
	return nil
}
