// Package refusal defines the typed errors that callers and peers receive in place
// of a result. Each one states whether the request may have been executed.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code identifies the reason for a refusal. Codes are part of the public API and
// stay stable.
type Code string

// The refusal codes.
const (
	CodeUnauthenticated      Code = "unauthenticated"
	CodeForbidden            Code = "forbidden"
	CodeUnknownAdapter       Code = "unknown_adapter"
	CodeUnknownRoute         Code = "unknown_route"
	CodeInvalidRequest       Code = "invalid_request"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeOverBurst            Code = "over_burst"
	CodeRateLimited          Code = "rate_limited"
	CodeOverloaded           Code = "overloaded"
	CodeNoTarget             Code = "no_target"
	CodeLoadFailed           Code = "load_failed"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodePlatformUnavailable  Code = "platform_unavailable"
	CodeKeysStale            Code = "keys_stale"
	CodeShuttingDown         Code = "shutting_down"
	CodeMayHaveRun           Code = "may_have_run"
	CodeInProgress           Code = "in_progress"
	CodeIdempotencyKeyReused Code = "idempotency_key_reused"
	CodeBrokenStream         Code = "broken_stream"
	CodeWrongAnswer          Code = "wrong_answer"
	CodeStreamGone           Code = "stream_gone"
	CodeNotOwner             Code = "not_owner"
	CodeTargetUnreachable    Code = "target_unreachable"
	CodeNotReady             Code = "not_ready"
	CodeCallerGone           Code = "caller_gone"
	CodePromptPartBlocked    Code = "prompt_part_blocked"
	CodeRequestBlocked       Code = "request_blocked"
	CodeMemoryShort          Code = "memory_short"
	CodeRequestTimeout       Code = "request_timeout"
	CodeInternal             Code = "internal"
)

var httpStatuses = map[Code]int{
	CodeUnauthenticated:      http.StatusUnauthorized,
	CodeForbidden:            http.StatusForbidden,
	CodeUnknownAdapter:       http.StatusNotFound,
	CodeUnknownRoute:         http.StatusNotFound,
	CodeInvalidRequest:       http.StatusBadRequest,
	CodeBodyTooLarge:         http.StatusRequestEntityTooLarge,
	CodeOverBurst:            http.StatusUnprocessableEntity,
	CodeRateLimited:          http.StatusTooManyRequests,
	CodeOverloaded:           http.StatusServiceUnavailable,
	CodeNoTarget:             http.StatusServiceUnavailable,
	CodeLoadFailed:           http.StatusServiceUnavailable,
	CodeDeadlineExceeded:     http.StatusGatewayTimeout,
	CodePlatformUnavailable:  http.StatusServiceUnavailable,
	CodeKeysStale:            http.StatusServiceUnavailable,
	CodeShuttingDown:         http.StatusServiceUnavailable,
	CodeMayHaveRun:           http.StatusBadGateway,
	CodeInProgress:           http.StatusConflict,
	CodeIdempotencyKeyReused: http.StatusUnprocessableEntity,
	CodeBrokenStream:         http.StatusBadGateway,
	CodeWrongAnswer:          http.StatusBadGateway,
	CodeStreamGone:           http.StatusBadGateway,
	CodeNotOwner:             http.StatusServiceUnavailable,
	CodeTargetUnreachable:    http.StatusServiceUnavailable,
	CodeNotReady:             http.StatusServiceUnavailable,
	CodePromptPartBlocked:    http.StatusServiceUnavailable,
	CodeRequestBlocked:       http.StatusServiceUnavailable,
	CodeMemoryShort:          http.StatusServiceUnavailable,
	CodeRequestTimeout:       http.StatusRequestTimeout,
	CodeCallerGone:           499,
	CodeInternal:             http.StatusInternalServerError,
}

// Error is a refusal: the final response to a request that has no result.
type Error struct {
	Code    Code
	Message string
	// Field is the path of the invalid input field; empty when no single field is
	// at fault.
	Field string
	// NotRun is set when the request was not executed and will not be. It is never
	// set on a guess: either no byte of the request can have reached a target, or
	// every target that it reached refused to execute it.
	NotRun bool
	// RetryAfter is how long the caller should wait before a retry; zero gives no
	// advice.
	RetryAfter time.Duration
	// Cause is the underlying error. It goes to logs only, never to callers.
	Cause error
}

// NotRun returns a refusal of a request that no target executed.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// MayHaveRun returns a refusal of a request that a target may have executed.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithCause sets the underlying error and returns e.
func (e *Error) WithCause(cause error) *Error {
	e.Cause = cause
	return e
}

// WithRetryAfter sets how long the caller should wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithField sets the path of the invalid input field and returns e.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// Error returns the code and the message. It leaves out the cause, which may
// contain internal addresses.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status code of the refusal.
func (e *Error) Status() int {
	if status, ok := httpStatuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From returns the refusal in err's chain. It wraps any other error in a refusal
// with CodeInternal and without NotRun, since the request may have been executed.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return MayHaveRun(CodeInternal, "internal error").WithCause(err)
}
