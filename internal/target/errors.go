package target

import "github.com/zeebo/errs"

// The kinds of failure of a call to an engine.
var (
	// ErrBroken is a stream that ended without its end marker; it may be resumed.
	ErrBroken = errs.Class("engine stream broken")
	// ErrNotLoaded is a refusal by an engine that lacks the adapter; it ran nothing.
	ErrNotLoaded = errs.Class("adapter not loaded")
	// ErrStaleFencing is a refusal of an order or request with an old fencing number.
	ErrStaleFencing = errs.Class("stale fencing number")
	// ErrNoSlot is a refusal of a load for want of a slot.
	ErrNoSlot = errs.Class("no free slot")
	// ErrLoadFailed is a load that the engine could not finish.
	ErrLoadFailed = errs.Class("load failed")
	// ErrUnknownStream is a resume of a stream that the engine does not hold.
	ErrUnknownStream = errs.Class("unknown stream")
	// ErrUnreached is a call of which no byte was sent.
	ErrUnreached = errs.Class("engine not reached")
	// ErrWrongAnswer is an answer that is not to this request or not by this adapter.
	ErrWrongAnswer = errs.Class("wrong answer")
	// ErrSent marks a failure after an earlier attempt at the same request that
	// may have run; it comes on top of one of the kinds above.
	ErrSent = errs.Class("an earlier attempt may have run")
	// ErrRefused is any other refusal by an engine.
	ErrRefused = errs.Class("refused by engine")
)
