package gateway

import (
	"errors"
	"net"

	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/liveness"
)

// breakReason classifies why the stream of a target ended before it was complete.
// It is a label of metrics and the outcome of a step in the trace.
type breakReason string

const (
	// breakTimeout means that the target's machine acknowledged nothing for so long that
	// the connection was given up.
	breakTimeout breakReason = "timeout"
	// breakOrder means that the ids of the events did not increase.
	breakOrder breakReason = "order"
	// breakDoubt means that the connection ended a response without a length or chunks, and
	// that the target was not known to run after that.
	breakDoubt breakReason = "doubt"
	// breakMalformed means that the target sent what is no event.
	breakMalformed breakReason = "malformed"
	// breakEmpty means that the target ended its response without an event.
	breakEmpty breakReason = "empty"
	// breakClosed means that the connection ended within the response, or that the
	// response was malformed.
	breakClosed breakReason = "closed"
	// breakCancelled means that this instance ended the request: the client left or
	// the deadline passed.
	breakCancelled breakReason = "cancelled"
)

// classifyBreak returns the reason of an error with which reading a stream failed.
func (e *exchange) classifyBreak(err error) breakReason {
	var netErr net.Error
	switch {
	case e.ctx.Err() != nil:
		return breakCancelled
	case errStream.Has(err):
		return breakOrder
	case endInDoubt(err):
		return breakDoubt
	case eventstream.ErrMalformed.Has(err):
		return breakMalformed
	case errors.Is(err, errNothingLeft):
		return breakEmpty
	case errors.As(err, &netErr) && netErr.Timeout():
		return breakTimeout
	}
	return breakClosed
}

// endInDoubt reports whether a response ended with its connection, of a target that was not
// known to run after that.
func endInDoubt(err error) bool {
	return liveness.ErrUnknown.Has(err) || liveness.ErrUndecided.Has(err)
}

// recordBreak records in the trace and in the metrics that the target's stream
// ended early.
func (e *exchange) recordBreak(err error) {
	reason := e.classifyBreak(err)
	e.recordStep("stream", e.target.ID, "broken_"+string(reason))
	e.server.Metrics.countBreak(reason)
}
