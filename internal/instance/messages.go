package instance

import (
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/dispatch"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/headerfield"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

func requestToMessage(r *target.Request) *v1.ExecuteRequest {
	return &v1.ExecuteRequest{
		RequestId:      r.ID,
		Team:           r.Team,
		TeamWeight:     r.TeamWeight,
		Class:          string(r.Class),
		Adapter:        r.Adapter.String(),
		TargetId:       r.TargetID,
		Path:           r.Path,
		Body:           r.Body,
		PromptTokens:   int64(r.PromptTokens),
		MaxTokens:      int64(r.MaxTokens),
		PrefixHash:     r.PrefixHash,
		DeadlineUnixMs: r.Deadline.UnixMilli(),
		Offset:         int64(r.Offset),
		Resume:         r.Resume,
	}
}

func requestFromMessage(m *v1.ExecuteRequest) (target.Request, error) {
	id, err := adapter.ParseID(m.GetAdapter())
	if err != nil {
		return target.Request{}, refusal.NotRun(refusal.CodeInvalidRequest, "adapter: %v", err).WithField("adapter")
	}
	return target.Request{
		ID:           m.GetRequestId(),
		Team:         m.GetTeam(),
		TeamWeight:   m.GetTeamWeight(),
		Class:        release.Class(m.GetClass()),
		Adapter:      id,
		TargetID:     m.GetTargetId(),
		Path:         m.GetPath(),
		Body:         m.GetBody(),
		PromptTokens: int(m.GetPromptTokens()),
		MaxTokens:    int(m.GetMaxTokens()),
		PrefixHash:   m.GetPrefixHash(),
		Deadline:     time.UnixMilli(m.GetDeadlineUnixMs()),
		Offset:       int(m.GetOffset()),
		Resume:       m.GetResume(),
	}, nil
}

func refusalToMessage(requestID string, err error) *v1.Refused {
	e := refusal.From(err)
	return &v1.Refused{
		RequestId:    requestID,
		Code:         string(e.Code),
		Message:      e.Message,
		NotRun:       e.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func refusalFromMessage(m *v1.Refused) *refusal.Error {
	return &refusal.Error{
		Code:       refusal.Code(m.GetCode()),
		Message:    m.GetMessage(),
		NotRun:     m.GetNotRun(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
}

func callToMessage(c *dispatch.Call) *v1.CallServiceRequest {
	return &v1.CallServiceRequest{
		RequestId:      c.RequestID,
		Team:           c.Team,
		Service:        c.Service,
		Method:         c.Method,
		Path:           c.Path,
		Query:          c.Query,
		Headers:        headersToMessage(c.Header),
		Body:           c.Body,
		IdempotencyKey: c.IdempotencyKey,
		Repeatable:     c.Repeatable,
		DeadlineUnixMs: c.Deadline.UnixMilli(),
	}
}

func callFromMessage(m *v1.CallServiceRequest) dispatch.Call {
	return dispatch.Call{
		RequestID:      m.GetRequestId(),
		Team:           m.GetTeam(),
		Service:        m.GetService(),
		Method:         m.GetMethod(),
		Path:           m.GetPath(),
		Query:          m.GetQuery(),
		Header:         headersFromMessage(m.GetHeaders()),
		Body:           m.GetBody(),
		IdempotencyKey: m.GetIdempotencyKey(),
		Repeatable:     m.GetRepeatable(),
		Deadline:       time.UnixMilli(m.GetDeadlineUnixMs()),
	}
}

func headersToMessage(headers []dispatch.Header) []*v1.Header {
	messages := make([]*v1.Header, 0, len(headers))
	for _, h := range headers {
		messages = append(messages, headerfield.Message(h.Name, h.Value))
	}
	return messages
}

func headersFromMessage(messages []*v1.Header) []dispatch.Header {
	headers := make([]dispatch.Header, 0, len(messages))
	for _, m := range messages {
		headers = append(headers, dispatch.Header{Name: m.GetName(), Value: headerfield.Value(m)})
	}
	return headers
}
