package target

import "github.com/zeebo/errs"

// The classes of errors of a call to an engine.
var (
	// ErrIncompleteResponse is returned when the call may have reached the engine but
	// no complete response was received, for example a stream without its end marker.
	// Such a stream may be resumed.
	ErrIncompleteResponse = errs.Class("incomplete engine response")
	// ErrNotLoaded is returned when the engine refused a request because the adapter
	// is not resident. The engine did not execute the request.
	ErrNotLoaded = errs.Class("adapter not loaded")
	// ErrStaleFencing is returned when an order or request was refused for its old
	// fencing number.
	ErrStaleFencing = errs.Class("stale fencing number")
	// ErrNoFreeSlot is returned when the engine has no free adapter slot for a load.
	ErrNoFreeSlot = errs.Class("no free slot")
	// ErrLoadFailed is returned when the engine could not load an adapter.
	ErrLoadFailed = errs.Class("load failed")
	// ErrUnknownStream is returned when the engine does not hold the stream to resume.
	ErrUnknownStream = errs.Class("unknown stream")
	// ErrNotSent is returned when no byte of the call was sent, because no connection
	// to the engine was available.
	ErrNotSent = errs.Class("call not sent to engine")
	// ErrWrongAnswer is returned for an answer that is invalid, or that belongs to
	// another request or adapter.
	ErrWrongAnswer = errs.Class("wrong answer")
	// ErrMayHaveRun is set, in addition to the class of the last attempt's error, when
	// an earlier attempt may have executed the request.
	ErrMayHaveRun = errs.Class("an earlier attempt may have run")
	// ErrRefused is returned for any other error response of the engine.
	ErrRefused = errs.Class("refused by engine")
)
