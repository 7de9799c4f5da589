package instance

import "github.com/zeebo/errs"

// The kinds of errors of this package.
var (
	// ErrInvalidRecord is a stored object that cannot be read.
	ErrInvalidRecord = errs.Class("invalid stored record")
	// ErrListen is an address that cannot be listened on.
	ErrListen = errs.Class("cannot listen")
	// ErrNoPeer is a call to an instance whose address is not known.
	ErrNoPeer = errs.Class("unknown peer")
	// ErrNoEndMarker is a peer's answer that ended without its end marker.
	ErrNoEndMarker = errs.New("answer without end marker")
)
