package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

// targetField names a target in a line of the log.
func targetField(id deployment.TargetID) zap.Field { return zap.String("target", string(id)) }

// passWhole reads the answer to its end before the client sees any of it. One
// that breaks is sent for again if that is allowed.
func (e *exchange) passWhole() {
	for {
		body, err := e.response.ReadAll()
		if err == nil {
			e.passAnswer(&wholeAnswer{Answer: e.response.Answer, body: body})
			return
		}
		e.note("read", e.target.ID, "broken")
		e.ticket.end()
		e.passedOver[e.target.ID] = true
		if e.ctx.Err() == nil {
			e.failed(err)
		}
		if !e.mayRepeat() {
			e.conclude(refusal.MayHaveRun(refusal.CodeMayHaveRun, "the target's answer broke off").Because(err))
			return
		}
		if refused := e.obtain(); refused != nil {
			e.conclude(refused)
			return
		}
	}
}

// passAnswer passes a whole answer on, unchanged.
func (e *exchange) passAnswer(a *wholeAnswer) {
	r := &e.client.Response
	e.passHead(&a.Answer)
	if e.request.Method == http.MethodHead {
		r.SkipBody = true
	}
	r.SetBodyRaw(a.body)
	after := e.server.Now().Sub(e.startedAt)
	e.server.Metrics.answered(a.Status, after)
	e.log("answered", targetField(e.target.ID), zap.Int("status", a.Status), zap.Int("bytes", len(a.body)))
}

// passHead sets the status and the headers of an answer.
func (e *exchange) passHead(a *upstream.Answer) {
	r := &e.client.Response
	r.SetStatusCode(a.Status)
	for _, h := range a.Headers {
		r.Header.Add(h.Name, h.Value)
	}
}
