package upstream

import "github.com/zeebo/errs"

// The classes of errors of a request to a target.
var (
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = errs.Class("not sent to the target")
	// ErrIncompleteResponse means that the request was sent, at least in part, and
	// that there is no complete response. The target may have run the request.
	ErrIncompleteResponse = errs.Class("incomplete response from the target")
)
