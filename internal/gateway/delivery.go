package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/load"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/placement"
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
	// ran says that a target may have run the request, runs how many.
	ran  bool
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
		switch e.attempt(send) {
		case answered:
			return nil
		case unclear:
			e.ran = true
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
	if e.ran && refused.NotRun {
		return refusal.MayHaveRun(refusal.CodeMayHaveRun, "%s", refused.Message).Because(refused.Cause)
	}
	return refused
}

// mayGoOn refuses a request whose client has left or whose time is over.
func (e *exchange) mayGoOn() *refusal.Error {
	switch cause := context.Cause(e.ctx); {
	case errors.Is(cause, errClientGone):
		return refusal.MayHaveRun(refusal.CodeCallerGone, "client gone").Because(cause)
	case cause != nil || e.left() < leastTime:
		if e.ran {
			return refusal.MayHaveRun(refusal.CodeDeadline, "no time left")
		}
		return refusal.NotRun(refusal.CodeOverloaded, "no time left").After(retrySoon)
	}
	return nil
}

// prepare chooses the target and has the adapter loaded there. A nil send
// without refusal asks for another round.
func (e *exchange) prepare() (*upstream.Send, *refusal.Error) {
	service := e.server.Catalog.Configuration().Services[e.service]
	if service == nil {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "service %s is not configured", e.service).After(retrySoon)
	}
	if service.Engine != nil && e.request.Adapter.Model != "" {
		return e.prepareEngine(service)
	}
	return e.preparePlain(service)
}

// send returns how the request goes to a target.
func (e *exchange) send(target deployment.Target) *upstream.Send {
	e.target = target
	s := &upstream.Send{
		Target:      target.ID,
		Deadline:    e.left(),
		Priority:    e.route.Priority,
		LastEventID: e.lastEvent,
	}
	if e.team != nil {
		s.Team = e.team.Name
		if e.team.Priority != nil {
			s.Priority = *e.team.Priority
		}
	}
	if e.route.Repeatable() && e.runs+1 < e.route.MaxAttempts {
		switch e.route.Kind {
		case deployment.Streaming:
			s.SilenceLimit = firstEventLimit
		case deployment.Idempotent:
			s.SilenceLimit = max(time.Duration(repeatShare*float64(e.left())), e.route.Objective)
		}
	}
	return s
}

// prepareEngine chooses an engine; if the adapter is not there it is loaded.
func (e *exchange) prepareEngine(service *deployment.Service) (*upstream.Send, *refusal.Error) {
	s := e.server
	want := placement.Want{
		Adapter:    e.request.Adapter,
		Version:    s.Catalog.Version(e.request.Adapter),
		Tokens:     e.request.PromptTokens + e.request.OutputTokens,
		Zone:       s.Zone,
		Repeatable: e.route.Repeatable(),
		Now:        s.Now(),
	}
	candidates := e.engines(service)
	choice, ok := placement.Choose(want, candidates)
	if !ok {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "no engine can take the request").After(retrySoon)
	}
	if choice.Delay > longestStart {
		return nil, refusal.NotRun(refusal.CodeOverloaded, "all engines are busy").After(choice.Delay / 2)
	}
	target := candidates[choice.Index].Target
	e.expected = choice.Delay
	if choice.NeedsLoad {
		result := s.Network.Load(e.ctx, e.request.ID, target, want.Adapter, want.Version)
		e.note("load", target.ID, resultNames[result])
		if result != placement.Ready {
			e.passedOver[target.ID] = true
			return nil, nil
		}
	}
	send := e.send(target)
	if !e.awaitAdapter(target, want, send) {
		return nil, nil
	}
	return send, nil
}

// awaitAdapter waits until an adapter that is on its way should be there.
func (e *exchange) awaitAdapter(target deployment.Target, want placement.Want, send *upstream.Send) bool {
	if want.Adapter.Adapter == "" {
		return true
	}
	resident, ok := e.server.Directory.Resident(&target, want.Adapter)
	if !ok {
		return false
	}
	send.AdapterVersion = max(want.Version, resident.Version)
	wait := resident.ReadyAt.Sub(e.server.Now())
	e.awaited = wait > 0
	if wait <= 0 {
		return true
	}
	wait += readyMargin
	e.server.Metrics.loadWait.Observe(wait.Seconds())
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(wait):
	}
	send.Deadline = e.left()
	return true
}

// zoneOrders says whether and how soon adapters can be loaded in a zone, and how
// many engines it has.
type zoneOrders struct {
	waiting int
	ok      bool
	engines int
}

func (e *exchange) zoneOrders(service *deployment.Service) map[string]zoneOrders {
	zones := map[string]zoneOrders{}
	for _, t := range e.server.Catalog.Targets() {
		if t.Service != service.Name {
			continue
		}
		z, known := zones[t.Zone]
		if !known {
			z.waiting, z.ok = e.server.Network.Orders(t.Zone)
		}
		z.engines++
		zones[t.Zone] = z
	}
	return zones
}

// engines returns the service's engines as candidates.
func (e *exchange) engines(service *deployment.Service) []placement.Candidate {
	s := e.server
	var candidates []placement.Candidate
	zones := e.zoneOrders(service)
	for id, t := range s.Catalog.Targets() {
		if t.Service != service.Name || t.Draining || e.passedOver[id] {
			continue
		}
		c := placement.Candidate{
			Target:     t,
			Use:        s.Network.Use(id),
			Health:     s.Detector.Health(id),
			ErrorShare: s.Detector.ErrorShare(id),
			Slots:      service.Engine.Slots,
			Memory:     service.Engine.MemoryTokens,
			HasModel:   s.Directory.HoldsModel(&t, e.request.Adapter.Model),
			Orderable:  zones[t.Zone].ok,
			ColdWait:   placement.ColdWait(zones[t.Zone].waiting, zones[t.Zone].engines),
			Warm:       s.Directory.Warm(&t, e.request.Adapter),
		}
		if r, ok := s.Directory.Resident(&t, e.request.Adapter); ok {
			c.Resident = &r
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// preparePlain chooses the target of a plain service.
func (e *exchange) preparePlain(service *deployment.Service) (*upstream.Send, *refusal.Error) {
	s := e.server
	var candidates []placement.Candidate
	for id, t := range s.Catalog.Targets() {
		if t.Service != service.Name || t.Draining || e.passedOver[id] {
			continue
		}
		candidates = append(candidates, placement.Candidate{
			Target:     t,
			Use:        s.Network.Use(id),
			Health:     s.Detector.Health(id),
			ErrorShare: s.Detector.ErrorShare(id),
			Slots:      t.Slots,
		})
	}
	index, ok := placement.ChoosePlain(candidates, s.Zone, e.route.Repeatable())
	if !ok {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request").After(retrySoon)
	}
	return e.send(candidates[index].Target), nil
}

// note adds a step to the trail.
func (e *exchange) note(step string, target deployment.TargetID, outcome string) {
	e.trail = append(e.trail, step+" "+string(target)+" "+outcome)
}

var resultNames = map[placement.Result]string{
	placement.Ready:     "ready",
	placement.Full:      "full",
	placement.NotHolder: "not_holder",
	placement.Failed:    "failed",
}

// attempt sends the request once.
func (e *exchange) attempt(send *upstream.Send) attemptEnd {
	s := e.server
	if refused := e.checkKey(); refused != nil {
		e.note("key", e.target.ID, string(refused.Code))
		e.passedOver[e.target.ID] = true
		return notRun
	}
	if e.sends > 0 && !s.Budget.Take(e.service) {
		e.note("retry", e.target.ID, "no_budget")
		e.exhaust()
		return notRun
	}
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

// exhaust passes all targets over: there is no budget to send once more.
func (e *exchange) exhaust() {
	for id := range e.server.Catalog.Targets() {
		e.passedOver[id] = true
	}
}

// judge says what became of a send.
func (e *exchange) judge(response *upstream.Response, err error) attemptEnd {
	s := e.server
	if upstream.ErrNotSent.Has(err) {
		if e.ctx.Err() == nil {
			e.note("send", e.target.ID, "not_sent: "+err.Error())
			e.failed(err)
		}
		return notRun
	}
	e.countSend()
	if err != nil || !response.NotRun {
		e.runs++
	}
	if err != nil {
		e.note("send", e.target.ID, "broken: "+err.Error())
		if e.ctx.Err() == nil {
			e.failed(err)
		}
		return unclear
	}
	a := &response.Answer
	switch {
	case a.NotRun:
		e.note("send", e.target.ID, "refused "+strconv.Itoa(a.Status))
		e.drop(response)
		return e.refusedByTarget(a)
	case a.Success() && (!a.Signed || a.RequestID != e.request.ID):
		e.note("send", e.target.ID, "unsigned")
		response.Close()
		return unclear
	case !a.Success() && e.tryElsewhere(a):
		e.note("send", e.target.ID, "error")
		return e.keepFailure(response)
	}
	s.Detector.Succeeded(e.target.ID, a.Status >= 500)
	e.note("send", e.target.ID, "answered")
	return answered
}

func (e *exchange) countSend() {
	if e.sends == 0 {
		e.server.Budget.Sent(e.service)
	}
	e.sends++
}

// failed notes that the target could not be reached or gave no whole answer.
func (e *exchange) failed(err error) {
	if e.server.Detector.Failed(e.target.ID) {
		e.server.Log.Info("target ejected", targetField(e.target.ID), errorField(err))
	}
}

// refusedByTarget takes what a refusal says about the target.
func (e *exchange) refusedByTarget(a *upstream.Answer) attemptEnd {
	s := e.server
	switch {
	case !a.Misdirected:
		s.Detector.Succeeded(e.target.ID, true)
	case e.request.Adapter.Adapter != "" && s.Directory.NoteLate(e.target.ID, e.request.Adapter):
		return tooEarly
	default:
		s.Directory.NoteAbsent(e.target.ID, e.request.Adapter)
	}
	return notRun
}

// drop reads a refusal to its end, so that the connection can be kept.
func (e *exchange) drop(response *upstream.Response) {
	if _, err := response.ReadAll(); err != nil {
		response.Close()
	}
}

// tryElsewhere says whether an error of a target is worth another send.
func (e *exchange) tryElsewhere(a *upstream.Answer) bool {
	return a.Status >= 500 && e.mayRepeat()
}

// keepFailure keeps a target's error in case no other target does better.
func (e *exchange) keepFailure(response *upstream.Response) attemptEnd {
	e.server.Detector.Succeeded(e.target.ID, true)
	body, err := response.ReadAll()
	if err == nil {
		e.failure = &wholeAnswer{Answer: response.Answer, body: body}
	}
	return unclear
}
