package publication

import "github.com/zeebo/errs"

// The classes of this package's errors.
var (
	// ErrTooLarge is returned for a note whose stored form does not fit into one
	// object of the platform.
	ErrTooLarge = errs.Class("release note too large")
	// ErrCorrupt is returned when an object cannot be decoded or is not the note
	// that its key names.
	ErrCorrupt = errs.Class("unreadable release note")
	// ErrUncertain is returned when a note may have been accepted, or may still
	// be accepted when a delayed write takes effect.
	ErrUncertain = errs.Class("publishing not settled")
	// ErrNotAccepted is returned when a note was not accepted and never will be.
	ErrNotAccepted = errs.Class("release note not accepted")
)
