package gateway

import (
	"time"

	"heatherrelay/internal/quota"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/wait"
)

// maxAllowanceWait is how long a resumed stream waits for its team's allowance. Its
// client has lost the stream for longer, and gives up after some tries.
const maxAllowanceWait = 1200 * time.Millisecond

// admitCost deducts the request's cost from its team's allowance, or refuses the request.
// A resumed stream for which there will be enough soon waits once it is delivered.
func (e *exchange) admitCost() *refusal.Error {
	cost := quota.Cost(e.team, e.request.HasTokenCounts, e.request.PromptTokens, e.request.OutputTokens)
	request := quota.Request{Cost: cost, Resumed: e.resumesStream() && e.request.ResumedID != "" && e.route.Repeatable()}
	ok, after := e.server.Meter.Admit(e.team, request)
	switch {
	case ok:
		e.cost = cost
	case request.Resumed && e.allowanceWait == 0 && after <= min(maxAllowanceWait, e.remaining()/2):
		e.allowanceWait = after
	default:
		team := e.team
		return refusal.NotRun(refusal.CodeRateLimited, "team over its rate: request of %.0f, level %.0f, rate %.0f, burst %.0f",
			cost, e.server.Meter.Level(team), team.RatePerSecond, team.Burst).WithRetryAfter(after)
	}
	return nil
}

// awaitAllowance waits for the team's allowance if it was short when the request came.
func (e *exchange) awaitAllowance() *refusal.Error {
	if e.allowanceWait == 0 {
		return nil
	}
	if wait.Sleep(e.ctx, e.allowanceWait) != nil {
		return e.checkClientAndDeadline()
	}
	return e.admitCost()
}
