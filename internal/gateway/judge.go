package gateway

import (
	"strconv"

	"go.uber.org/zap"

	"heatherrelay/internal/upstream"
)

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
		e.server.Log.Info("target ejected", targetField(e.target.ID), zap.Error(err))
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
