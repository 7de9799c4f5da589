package gateway

import (
	"context"
	"errors"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/load"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

// The bounds of one delivery.
const (
	// leastTime is the time below which a request is not sent any more.
	leastTime = 30 * time.Millisecond
	// maxRounds bounds the looks for a target, sends included.
	maxRounds = 8
	// firstEventLimit is how long a stream that can go on elsewhere waits for its
	// first event; a client leaves after about three times the objective.
	firstEventLimit = 2500 * time.Millisecond
	// eventLimit is the same between events.
	eventLimit = 1400 * time.Millisecond
	// repeatShare is the part of the time left after which an idempotent request
	// without answer is tried elsewhere.
	repeatShare = 0.4
	// readyMargin is added to the expected time of a load.
	readyMargin = 4 * time.Millisecond
	// longestStart is how late a stream may start; clients give up soon after.
	longestStart = 3 * time.Second
)

// attemptEnd is what became of one send.
type attemptEnd int

const (
	// answered sends have an answer to pass on.
	answered attemptEnd = iota
	// notRun sends did not run and will not.
	notRun
	// unclear sends may have run.
	unclear
	// tooEarly sends did not run since the adapter is still on its way.
	tooEarly
)

// ticket counts a request at a target while it is there; nil counts nothing.
type ticket struct{ *load.Ticket }

func (t *ticket) end() {
	if t.Ticket != nil {
		t.End()
		t.Ticket = nil
	}
}

// delivery is the part of an exchange that finds a target and sends the request.
type delivery struct {
	// sends counts the arrivals at targets.
	sends int
	// runs counts the targets that may have run the request.
	runs int
	// trail lists what was tried, for the log.
	trail []string
	// passedOver are targets that refused the request or failed it.
	passedOver map[deployment.TargetID]bool
	ticket     ticket
	target     deployment.Target
	// expected is the time to the start that the target was chosen by.
	expected time.Duration
	// awaited says that the request waited for its adapter before this send.
	awaited bool
	// lastEvent is the id of the last event that the client has.
	lastEvent string
	response  *upstream.Response
	// failure is the last answer of a target that may be passed on if no other
	// is better.
	failure *wholeAnswer
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	upstream.Answer
	body []byte
}

// deliver sends the request until there is an answer, and passes it on.
func (e *exchange) deliver() {
	e.watch()
	e.passedOver = map[deployment.TargetID]bool{}
	e.lastEvent = e.request.LastEventID
	if e.request.Adapter.Model != "" {
		e.server.Demand.Note(e.request.Adapter)
	}
	if refused := e.obtain(); refused != nil {
		e.conclude(refused)
		return
	}
	if e.route.Kind == deployment.Streaming && e.response.Success() {
		e.passStream()
		return
	}
	e.passWhole()
}

// conclude ends an exchange without an answer: with a target's failure if there
// is one, since the client may learn more from it.
func (e *exchange) conclude(refused *refusal.Error) {
	if e.failure != nil {
		e.passAnswer(e.failure)
		return
	}
	e.refuse(refused)
}

// obtain sends the request to targets until one answers.
func (e *exchange) obtain() *refusal.Error {
	for range maxRounds {
		if refused := e.mayGoOn(); refused != nil {
			return refused
		}
		send, refused := e.prepare()
		if refused != nil {
			return e.given(refused)
		}
		if send == nil {
			continue
		}
		if refused := e.maySend(); refused != nil {
			return e.given(refused)
		}
		switch e.attempt(send) {
		case answered:
			return nil
		case unclear:
			if !e.mayRepeat() {
				return refusal.MayHaveRun(refusal.CodeMayHaveRun, "no whole answer of the target")
			}
		}
	}
	return e.given(refusal.NotRun(refusal.CodeNoTarget, "no target took the request").After(retrySoon))
}

// mayRepeat says that a request that may have run may be sent once more.
func (e *exchange) mayRepeat() bool {
	return e.route.Repeatable() && e.runs < e.route.MaxAttempts
}

// given returns a refusal that says no more than what is certain.
func (e *exchange) given(refused *refusal.Error) *refusal.Error {
	if e.runs > 0 && refused.NotRun {
		code := refusal.CodeMayHaveRun
		if refused.Code == refusal.CodeCallerGone {
			code = refused.Code
		}
		return refusal.MayHaveRun(code, "%s", refused.Message).Because(refused.Cause)
	}
	return refused
}

// mayGoOn refuses a request whose client has left or whose time is over.
func (e *exchange) mayGoOn() *refusal.Error {
	switch cause := context.Cause(e.ctx); {
	case errors.Is(cause, errClientGone):
		return e.given(refusal.NotRun(refusal.CodeCallerGone, "client gone").Because(cause))
	case cause != nil || e.left() < leastTime:
		if e.runs > 0 {
			return refusal.MayHaveRun(refusal.CodeDeadline, "no time left")
		}
		return refusal.NotRun(refusal.CodeOverloaded, "no time left").After(retrySoon)
	}
	return nil
}

// maySend refuses a request right before it is sent: its key may have been
// withdrawn while it waited, and repeats are bounded over all instances.
func (e *exchange) maySend() *refusal.Error {
	if refused := e.checkKey(); refused != nil {
		e.note("key", e.target.ID, string(refused.Code))
		return refused
	}
	if e.sends > 0 && !e.server.Budget.Take(e.service) {
		e.note("retry", e.target.ID, "no_budget")
		return refusal.NotRun(refusal.CodeNoTarget, "no repeat is left").After(retrySoon)
	}
	return nil
}

// note adds a step to the trail.
func (e *exchange) note(step string, target deployment.TargetID, outcome string) {
	e.trail = append(e.trail, step+" "+string(target)+" "+outcome)
}

// attempt sends the request once.
func (e *exchange) attempt(send *upstream.Send) attemptEnd {
	s := e.server
	if s.Detector.Health(e.target.ID) != outlier.Sound {
		s.Detector.Try(e.target.ID)
	}
	e.ticket = ticket{s.Tracker.Begin(e.target.ID, e.request.Adapter, e.request.PromptTokens, e.request.PromptTokens+e.request.OutputTokens)}
	s.Network.Holder.Used(e.target.ID, e.request.Adapter, 1)
	response, err := s.Upstream.Do(e.ctx, e.target.Address, e.request, send)
	end := e.judge(response, err)
	if e.awaited {
		s.Network.NoteWait(e.target.Zone, end == tooEarly)
		e.awaited = false
	}
	s.Metrics.sent(endNames[end])
	if end != answered {
		e.ticket.end()
		if end != tooEarly {
			e.passedOver[e.target.ID] = true
		}
		return end
	}
	e.response = response
	return end
}

var endNames = map[attemptEnd]string{answered: "answered", notRun: "not_run", unclear: "unclear", tooEarly: "too_early"}
