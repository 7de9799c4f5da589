package instance

import "github.com/zeebo/errs"

// The errors of this package.
var (
	// ErrInvalidRecord is the class of errors for stored objects that cannot be parsed.
	ErrInvalidRecord = errs.Class("invalid stored record")
	// ErrListen is the class of errors for addresses that cannot be listened on.
	ErrListen = errs.Class("cannot listen")
	// ErrUnknownPeer is the class of errors for calls to an instance whose address
	// is not in the directory.
	ErrUnknownPeer = errs.Class("unknown peer")
	// ErrNoEndMarker is recorded for a peer whose response stream ended without a
	// Finished or Refused event.
	ErrNoEndMarker = errs.New("response stream ended without a finished or refused event")
)
