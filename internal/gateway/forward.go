package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

// targetField returns the log field that holds a target's id.
func targetField(id deployment.TargetID) zap.Field { return zap.String("target", string(id)) }

// framingField returns the log field that says how the end of a response is marked. An end
// of a connection is checked by package liveness.
func framingField(head *upstream.ResponseHead) zap.Field {
	framing := "length"
	switch head.Length {
	case upstream.LengthChunked:
		framing = "chunks"
	case upstream.LengthUntilClose:
		framing = "connection"
	}
	return zap.String("framing", framing)
}

// readBody reads the complete body of the response or, if its target is silent, takes
// the response of the hedge that was faster.
func (e *exchange) readBody() ([]byte, error) {
	if e.prefetched == nil {
		if e.route.Kind == deployment.Streaming {
			// A hedge would answer with a stream.
			e.response.SetSilence(0, nil)
		}
		body, err := e.response.ReadAll()
		if err != nil {
			e.observeEnd(err)
		}
		h := e.settleHedge(err == nil)
		if h == nil {
			return body, err
		}
		e.recordSilence()
		e.adopt(h)
	}
	body := e.prefetched.body
	e.prefetched = nil
	return body, nil
}

// forwardBuffered reads the complete response before the client receives any of
// it. If the response is truncated, the request is retried if the route allows it.
func (e *exchange) forwardBuffered() {
	for {
		body, err := e.readBody()
		if err == nil {
			if e.response.Success() {
				e.recordSound()
			}
			e.sampleResponse()
			e.forwardResponse(&bufferedResponse{ResponseHead: e.response.ResponseHead, body: body})
			return
		}
		e.recordReadError(err, body)
		e.tracked.end()
		e.excluded[e.target.ID] = true
		e.recordIncomplete(err)
		if !e.mayRetry() {
			e.finishFailed(refusal.MayHaveRun(refusal.CodeMayHaveRun, "the target's answer broke off").WithCause(err))
			return
		}
		if refused := e.obtainResponse(); refused != nil {
			e.finishFailed(refused)
			return
		}
	}
}

// recordReadError records in the trace that no complete response was read. It keeps one that
// is in doubt only because nothing is known of its target.
func (e *exchange) recordReadError(err error, body []byte) {
	outcome := "broken"
	if liveness.ErrUndecided.Has(err) {
		outcome = "in_doubt"
		e.inDoubt = &bufferedResponse{ResponseHead: e.response.ResponseHead, body: body}
	}
	e.recordStep("read", e.target.ID, outcome)
}

// forwardResponse sends a complete response of a target to the client unchanged.
func (e *exchange) forwardResponse(buffered *bufferedResponse) {
	r := &e.client.Response
	e.writeHead(&buffered.ResponseHead)
	if e.request.Method == http.MethodHead {
		r.SkipBody = true
	}
	e.setBody(buffered.body)
	elapsed := e.server.Now().Sub(e.startedAt)
	e.server.Metrics.observeResponse(buffered.Status, elapsed)
	e.logOutcome("answered", append(e.speedFields(), targetField(e.target.ID), framingField(&buffered.ResponseHead), zap.Int("status", buffered.Status), zap.Int("bytes", len(buffered.body)))...)
}

// writeHead copies the status and the headers of a target's response to the
// response for the client.
func (e *exchange) writeHead(head *upstream.ResponseHead) {
	r := &e.client.Response
	r.SetStatusCode(head.Status)
	for _, h := range head.Headers {
		r.Header.Add(h.Name, h.Value)
	}
}
