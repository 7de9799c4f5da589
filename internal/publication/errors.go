package publication

import "github.com/zeebo/errs"

// The kinds of errors of this package.
var (
	// ErrTooLarge says that a note does not fit into one object.
	ErrTooLarge = errs.Class("release note too large")
	// ErrCorrupt says that an object is not the note that its key names.
	ErrCorrupt = errs.Class("unreadable release note")
	// ErrUncertain says that a note may have been accepted or may yet be.
	ErrUncertain = errs.Class("publishing not settled")
	// ErrNotAccepted says that a note was not accepted and never will be.
	ErrNotAccepted = errs.Class("release note not accepted")
)
