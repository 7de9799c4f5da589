package release

import "github.com/zeebo/errs"

// The kinds of errors of this package.
var (
	// ErrOrder says that a note is not the next one; nothing was applied.
	ErrOrder = errs.Class("release note out of order")
	// ErrInvalid holds all that is wrong with a note.
	ErrInvalid = errs.Class("invalid release note")
)
