package upstream

import "github.com/zeebo/errs"

// The kinds of failure of a request to a target.
var (
	// ErrNotSent says that no byte of the request can have reached the target.
	ErrNotSent = errs.Class("not sent to the target")
	// ErrBroken says that the request was sent, at least in part, and that there
	// is no whole answer: it may have run.
	ErrBroken = errs.Class("no whole answer of the target")
)
