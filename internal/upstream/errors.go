package upstream

import "github.com/zeebo/errs"

// The classes of errors of a request to a target.
var (
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = errs.Class("not sent to the target")
	// ErrIncompleteResponse means that the request was sent, at least in part, and
	// that there is no complete response. The target may have run the request.
	ErrIncompleteResponse = errs.Class("incomplete response from the target")
	// ErrOtherProcess means that a connection leads to another process than the one that may
	// get the request. Such errors are of class ErrNotSent as well.
	ErrOtherProcess = errs.Class("the target runs another process")
	// ErrUnidentified means that a target did not say in time which process it is. Such
	// errors are of class ErrNotSent as well.
	ErrUnidentified = errs.Class("unknown which process the target runs")
)

// NotIdentified reports whether an error means that nothing was sent since the target was
// not known to be the process that may get the request.
func NotIdentified(err error) bool { return ErrOtherProcess.Has(err) || ErrUnidentified.Has(err) }
