package forwarding

import (
	"strings"
	"time"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/headerfield"
	"heatherrelay/internal/responsehead"
	"heatherrelay/internal/upstream"
)

// requestMessage converts an attempt. possibleCauses are what is to blame if the target
// crashes.
func requestMessage(target deployment.Target, r *upstream.Request, attempt *upstream.Attempt) *v1.ForwardRequest {
	return &v1.ForwardRequest{
		TargetId: string(target.ID), Generation: target.Generation,
		RequestId: r.ID, Method: r.Method, Uri: r.URI, Host: r.Host, Headers: headerMessages(r.Headers), Body: r.Body,
		Team: attempt.Team, DeadlineMs: max(attempt.Deadline.Milliseconds(), 1), AdapterVersion: attempt.AdapterVersion,
		Priority: int64(attempt.Priority), LastEventId: attempt.LastEventID, PossibleCauses: attempt.PossibleCauses,
		Repeatable: attempt.Repeatable, Streaming: attempt.Streaming, Identify: attempt.Identify, ProcessGeneration: attempt.Generation,
	}
}

// attemptFrom converts a message to the request and the attempt that it asks for.
func attemptFrom(m *v1.ForwardRequest) (*upstream.Request, *upstream.Attempt) {
	r := &upstream.Request{ID: m.GetRequestId(), Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Headers: headersFrom(m.GetHeaders()), Body: m.GetBody()}
	r.Path, _, _ = strings.Cut(r.URI, "?")
	return r, &upstream.Attempt{
		Target: deployment.TargetID(m.GetTargetId()), Team: m.GetTeam(), Deadline: time.Duration(m.GetDeadlineMs()) * time.Millisecond,
		AdapterVersion: m.GetAdapterVersion(), Priority: int(m.GetPriority()), LastEventID: m.GetLastEventId(), PossibleCauses: m.GetPossibleCauses(), Repeatable: m.GetRepeatable(), Streaming: m.GetStreaming(),
		Identify: m.GetIdentify(), Generation: m.GetProcessGeneration(),
	}
}

func headMessage(h *upstream.ResponseHead) *v1.ForwardedHead {
	return &v1.ForwardedHead{
		Status: int64(h.Status), RequestId: h.RequestID, Signed: h.Signed, NotRun: h.NotRun, Misdirected: h.Misdirected,
		TargetId: string(h.TargetID), Leaving: h.Leaving, Limited: h.Limited, PerSecond: h.RequestsPerSecond,
		Length: int64(h.Length), RetryAfterMs: h.RetryAfter.Milliseconds(), Brittle: h.Brittle, Rejections: int64(h.Rejections), Headers: headerMessages(h.Headers),
		Identified: h.Identified, Generation: h.Generation,
	}
}

func headFrom(m *v1.ForwardedHead) upstream.ResponseHead {
	return upstream.ResponseHead{
		Status: int(m.GetStatus()), RequestID: m.GetRequestId(), Signed: m.GetSigned(), NotRun: m.GetNotRun(), Misdirected: m.GetMisdirected(),
		TargetID: deployment.TargetID(m.GetTargetId()), Leaving: m.GetLeaving(), Limited: m.GetLimited(), RequestsPerSecond: m.GetPerSecond(),
		Length: int(m.GetLength()), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond, Brittle: m.GetBrittle(), Rejections: int(m.GetRejections()), Headers: headersFrom(m.GetHeaders()),
		Identified: m.GetIdentified(), Generation: m.GetGeneration(),
	}
}

// checkHead returns an error of class responsehead.ErrMalformed for a head that is none.
func checkHead(h *upstream.ResponseHead) error {
	if err := responsehead.CheckFinalStatus(h.Status); err != nil {
		return err
	}
	if h.Length < upstream.LengthUntilClose {
		return responsehead.ErrMalformed.New("length %d", h.Length)
	}
	for _, field := range h.Headers {
		if err := responsehead.CheckField(field.Name, field.Value); err != nil {
			return err
		}
	}
	return nil
}

func headerMessages(headers []upstream.HeaderField) []*v1.Header {
	messages := make([]*v1.Header, 0, len(headers))
	for _, h := range headers {
		messages = append(messages, headerfield.Message(h.Name, h.Value))
	}
	return messages
}

func headersFrom(messages []*v1.Header) []upstream.HeaderField {
	headers := make([]upstream.HeaderField, 0, len(messages))
	for _, m := range messages {
		headers = append(headers, upstream.HeaderField{Name: m.GetName(), Value: headerfield.Value(m)})
	}
	return headers
}
