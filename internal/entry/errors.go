package entry

import "github.com/zeebo/errs"

// The kinds of failure of Server.Run.
var (
	// ErrServe says that the listener could not be opened or failed.
	ErrServe = errs.Class("serving callers")
	// ErrCut says that requests were still running when Grace was over.
	ErrCut = errs.Class("requests cut at shutdown")
)

// errCallerGone ends a stream whose caller no longer reads it.
var errCallerGone = errs.New("caller gone")
