package dispatch

import "github.com/zeebo/errs"

// ErrNotSent is the class of errors that occur before any byte of a call can
// have reached the target. After any other error the call may have run.
var ErrNotSent = errs.Class("call not sent")

// errReplyMismatch is returned when a service's reply echoes the id of another
// request.
var errReplyMismatch = errs.New("the reply has the request id of another call")

// errReplyTooLarge is returned when a service's reply exceeds maxReplyBytes.
var errReplyTooLarge = errs.New("the reply has more than %d bytes", maxReplyBytes)
