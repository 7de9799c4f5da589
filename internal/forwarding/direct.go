package forwarding

import (
	"context"

	"github.com/zeebo/errs"

	"heatherrelay/internal/deployment"
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
}

// Do sends a request to a target once and returns the response once its head has arrived.
func (d *Direct) Do(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt) (*upstream.Response, error) {
	risk, ok := d.Limits.Risk(target)
	if !ok {
		return nil, upstream.ErrNotSent.Wrap(errNoRoom.New("target %s", target.ID))
	}
	response, err := d.Upstream.Do(ctx, target.Address, request, attempt)
	risk.Settle(err == nil && response.Rejected())
	return response, err
}
