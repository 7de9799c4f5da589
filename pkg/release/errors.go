package release

import "github.com/zeebo/errs"

// The classes of this package's errors.
var (
	// ErrOrder is returned for a note that is not the next one; nothing was
	// applied.
	ErrOrder = errs.Class("release note out of order")
	// ErrInvalid is returned for an invalid note and lists all its problems.
	ErrInvalid = errs.Class("invalid release note")
)
