package gateway

import (
	"encoding/json"
	"errors"
	"time"

	"heatherrelay/internal/refusal"
)

// Retry-After values and age limits of refusals.
const (
	// retrySoon applies to conditions that this instance may recover from, such as
	// a stale configuration or the lack of a target.
	retrySoon = 300 * time.Millisecond
	// retryElsewhere applies when the client should try another instance.
	retryElsewhere = 20 * time.Millisecond
	// staleConfigurationAge is the age of the configuration above which an unknown
	// route or key may be one that this instance has not received yet.
	staleConfigurationAge = 3 * time.Second
)

// The causes with which an exchange is cancelled.
var (
	errClientGone = errors.New("client closed its connection")
	errDeadline   = errors.New("request deadline exceeded")
	// errClientBehind means that the client did not take its response.
	errClientBehind = errors.New("client does not take its response")
)

// refusalMessage is the JSON body of a refusal.
type refusalMessage struct {
	Code    refusal.Code `json:"code"`
	Message string       `json:"message"`
	NotRun  bool         `json:"not_run"`
}

func marshalRefusal(r *refusal.Error) string {
	body, err := json.Marshal(refusalMessage{Code: r.Code, Message: r.Message, NotRun: r.NotRun})
	if err != nil {
		return "{}"
	}
	return string(body)
}

func invalidRequest(err error) *refusal.Error {
	return refusal.NotRun(refusal.CodeInvalidRequest, "%s", err).WithCause(err)
}
