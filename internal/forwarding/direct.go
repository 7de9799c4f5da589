package forwarding

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/upstream"
)

// errNoRoom is the class of errors of an attempt that was not sent since the target is
// brittle, and might reject it.
var errNoRoom = errs.Class("a brittle target might reject the request")

// Direct sends attempts from this instance to targets. It sends none to a brittle target
// that could make it reject more than it bears. Set the exported fields before the first
// call.
type Direct struct {
	Upstream *upstream.Client
	Limits   *throttle.Limiter
	// Liveness tells whether a target still runs whose answer ended with its connection.
	Liveness *liveness.Monitor
	// Withheld returns why a target gets no requests at present; empty if it does. Nil means
	// that all targets do.
	Withheld func(deployment.Target) string
}

// errWithheld is the class of errors of an attempt that was not sent since its target is to
// get none.
var errWithheld = errs.Class("no requests for the target at present")

// checkWithheld returns an error if a target is to get no requests. That says nothing about
// the target itself.
func (d *Direct) checkWithheld(target deployment.Target) error {
	if d.Withheld == nil {
		return nil
	}
	if reason := d.Withheld(target); reason != "" {
		return upstream.ErrNotSent.Wrap(ErrPeer.Wrap(errWithheld.New("%s", reason)))
	}
	return nil
}

// Do sends a request to a target once and returns the response once its head has arrived.
func (d *Direct) Do(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt) (*upstream.Response, error) {
	if err := d.checkWithheld(target); err != nil {
		return nil, err
	}
	checked := *attempt
	checked.MaySend = func() error { return d.checkWithheld(target) }
	risk, ok := d.Limits.Risk(target)
	if !ok {
		return nil, upstream.ErrNotSent.Wrap(errNoRoom.New("target %s", target.ID))
	}
	sentAt := time.Now()
	response, err := d.Upstream.Do(ctx, target.Address, request, &checked)
	risk.Settle(err == nil && response.Rejected())
	// Of a refusal only the head matters.
	if err == nil && response.Length == upstream.LengthUntilClose && !response.NotRun {
		answer := d.Liveness.Follow(ctx, target, sentAt, response.EndArrived)
		response.ConfirmEnd = func() error { return answer.Confirm(ctx, repeatOf(attempt)) }
	}
	return response, err
}

// repeatOf returns when an answer whose end is in doubt is to be had again.
func repeatOf(attempt *upstream.Attempt) liveness.Repeat {
	switch {
	case !attempt.Repeatable:
		return liveness.Never
	case attempt.Streaming && attempt.LastEventID == "":
		return liveness.Always
	}
	return liveness.IfSuspected
}
