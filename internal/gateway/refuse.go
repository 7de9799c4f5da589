package gateway

import (
	"encoding/json"
	"errors"
	"time"

	"heatherrelay/internal/refusal"
)

// The times to come back and the ages that refusals go by.
const (
	// retrySoon is when an instance that cannot tell yet may know more.
	retrySoon = 300 * time.Millisecond
	// retryElsewhere is when a client may try another instance.
	retryElsewhere = 20 * time.Millisecond
	// staleConfiguration is the age from which an unknown route or key may be one
	// that this instance has not heard of.
	staleConfiguration = 3 * time.Second
)

// The reasons for which a request ends before its answer.
var (
	errClientGone = errors.New("client closed its connection")
	errDeadline   = errors.New("no time left")
)

// refusalMessage is the body of a refusal.
type refusalMessage struct {
	Code    refusal.Code `json:"code"`
	Message string       `json:"message"`
	NotRun  bool         `json:"not_run"`
}

func refusalBody(r *refusal.Error) string {
	body, err := json.Marshal(refusalMessage{Code: r.Code, Message: r.Message, NotRun: r.NotRun})
	if err != nil {
		return "{}"
	}
	return string(body)
}

func invalidRequest(err error) *refusal.Error {
	return refusal.NotRun(refusal.CodeInvalidRequest, "%s", err).Because(err)
}
