package dispatch

import "github.com/zeebo/errs"

// ErrNotSent is the kind of failure of an exchange that ended before any byte
// of the call can have reached the target. All other failures leave open
// whether the call ran.
var ErrNotSent = errs.Class("call not sent")

// errWrongReply says that a service answered for another request.
var errWrongReply = errs.New("the reply is for another request")
