// Package refusal holds the typed errors that a caller is given when its
// request is not answered, and what each says about whether it ran.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code names the reason of a refusal; it is stable and part of the caller's API.
type Code string

// The codes a caller can meet.
const (
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
	CodeUnknownAdapter  Code = "unknown_adapter"
	CodeUnknownRoute    Code = "unknown_route"
	CodeInvalidRequest  Code = "invalid_request"
	CodeTooLarge        Code = "body_too_large"
	CodeOverBurst       Code = "over_burst"
	CodeRateLimited     Code = "rate_limited"
	CodeOverloaded      Code = "overloaded"
	CodeNoTarget        Code = "no_target"
	CodeLoadFailed      Code = "load_failed"
	CodeDeadline        Code = "deadline_exceeded"
	CodePlatformAway    Code = "platform_unavailable"
	CodeStaleKeys       Code = "keys_stale"
	CodeShuttingDown    Code = "shutting_down"
	CodeMayHaveRun      Code = "may_have_run"
	CodeInProgress      Code = "in_progress"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeBrokenStream    Code = "broken_stream"
	CodeWrongAnswer     Code = "wrong_answer"
	CodeStreamGone      Code = "stream_gone"
	CodeNotOwner        Code = "not_owner"
	CodeTargetUnreached Code = "target_unreachable"
	CodeNotReady        Code = "not_ready"
	CodeCallerGone      Code = "caller_gone"
	CodeInternal        Code = "internal"
)

var statuses = map[Code]int{
	CodeUnauthenticated: http.StatusUnauthorized,
	CodeForbidden:       http.StatusForbidden,
	CodeUnknownAdapter:  http.StatusNotFound,
	CodeUnknownRoute:    http.StatusNotFound,
	CodeInvalidRequest:  http.StatusBadRequest,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodeOverBurst:       http.StatusUnprocessableEntity,
	CodeRateLimited:     http.StatusTooManyRequests,
	CodeOverloaded:      http.StatusServiceUnavailable,
	CodeNoTarget:        http.StatusServiceUnavailable,
	CodeLoadFailed:      http.StatusServiceUnavailable,
	CodeDeadline:        http.StatusGatewayTimeout,
	CodePlatformAway:    http.StatusServiceUnavailable,
	CodeStaleKeys:       http.StatusServiceUnavailable,
	CodeShuttingDown:    http.StatusServiceUnavailable,
	CodeMayHaveRun:      http.StatusBadGateway,
	CodeInProgress:      http.StatusConflict,
	CodeKeyReused:       http.StatusUnprocessableEntity,
	CodeBrokenStream:    http.StatusBadGateway,
	CodeWrongAnswer:     http.StatusBadGateway,
	CodeStreamGone:      http.StatusBadGateway,
	CodeNotOwner:        http.StatusServiceUnavailable,
	CodeTargetUnreached: http.StatusServiceUnavailable,
	CodeNotReady:        http.StatusServiceUnavailable,
	CodeCallerGone:      499,
	CodeInternal:        http.StatusInternalServerError,
}

// Error is a final answer in place of a result. NotRun is true only when no
// byte of the call can have reached a target; it is never a guess.
type Error struct {
	Code    Code
	Message string
	// Field is the path of the offending input, when one can be named.
	Field string
	// NotRun says that the call did not run and will not run.
	NotRun bool
	// RetryAfter is when to come back; zero gives no advice.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// NotRun returns a refusal of a call that reached no target.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// MayHaveRun returns a refusal of a call that may have reached a target.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Because sets the cause and returns the same error.
func (e *Error) Because(cause error) *Error {
	e.Cause = cause
	return e
}

// After sets when the caller should come back and returns the same error.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// At sets the path of the offending input and returns the same error.
func (e *Error) At(field string) *Error {
	e.Field = field
	return e
}

// Error returns the code and message; never the cause, which may hold addresses.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the refusal.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From returns err as a refusal. An error of another type becomes an internal
// one that may have run, since nothing is known about it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return MayHaveRun(CodeInternal, "internal error").Because(err)
}
