package forwarding

import "github.com/zeebo/errs"

// ErrPeer is the class of errors of the peer, or of the link to it, which say nothing
// about the target. They are of a class of package upstream as well.
var ErrPeer = errs.Class("forwarding peer")

// errDeclined is the class of errors of a peer that did not try.
var errDeclined = errs.Class("declined by the peer")
