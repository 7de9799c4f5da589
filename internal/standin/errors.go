package standin

import "github.com/zeebo/errs"

// Errors of the engine's orders and requests.
var (
	errStaleFencing  = errs.New("stale fencing number")
	errNoFreeSlot    = errs.New("no free slot")
	errLoadFailed    = errs.New("load failed")
	errNotLoaded     = errs.New("adapter not loaded")
	errUnknownStream = errs.New("unknown stream")
	errBrokenStream  = errs.New("stream broken")
	errBadRequest    = errs.Class("bad request")
	errWeightStore   = errs.Class("weight store")
)
