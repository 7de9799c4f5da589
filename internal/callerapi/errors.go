package callerapi

import "github.com/zeebo/errs"

// Error classes of Server.Run.
var (
	// ErrServe means that the listener could not be opened or failed.
	ErrServe = errs.Class("serving callers")
	// ErrRequestsAborted means that requests were still running after Grace and
	// were canceled.
	ErrRequestsAborted = errs.Class("requests aborted at shutdown")
)

// errCallerGone is the cause of a request's cancellation when its caller closed
// the connection.
var errCallerGone = errs.New("caller disconnected")
