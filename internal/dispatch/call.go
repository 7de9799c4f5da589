// Package dispatch sends calls to plain services, and sees to it that a call
// that may not be repeated runs at most once.
package dispatch

import (
	"time"
)

// Call is one call to a plain service.
type Call struct {
	// RequestID is unique over the fleet.
	RequestID string
	Team      string
	Service   string
	Method    string
	// Path starts with a slash and is relative to the service.
	Path  string
	Query string
	// Header holds only the headers that may pass to a target.
	Header []Header
	Body   []byte
	// IdempotencyKey is the caller's; empty if it gave none.
	IdempotencyKey string
	// Repeatable is the route's; such a call needs no intent.
	Repeatable bool
	Deadline   time.Time
}

// Header is one HTTP header.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Reply is a service's answer.
type Reply struct {
	Status int      `json:"status"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
	// Replayed says that this is the kept answer of an earlier attempt.
	Replayed bool `json:"-"`
	// BodyNotKept says that a replayed answer's body and headers were too large to keep.
	BodyNotKept bool `json:"-"`
}
