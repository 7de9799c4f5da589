// Package dispatch sends calls to plain services, and ensures that a call that
// may not be repeated runs at most once.
package dispatch

import (
	"time"
)

// Call is a call to a plain service.
type Call struct {
	// RequestID is unique in the fleet.
	RequestID string
	Team      string
	Service   string
	Method    string
	// Path starts with a slash and is relative to the service.
	Path  string
	Query string
	// Header holds only headers that may be forwarded to a target.
	Header []Header
	Body   []byte
	// IdempotencyKey is the key that the caller sent; empty if it sent none.
	IdempotencyKey string
	// Repeatable is set by the route: the call may run more than once, and
	// needs no intent.
	Repeatable bool
	Deadline   time.Time
}

// Header is an HTTP header.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Reply is the response of a service.
type Reply struct {
	Status int      `json:"status"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
	// Replayed is set when this is the stored reply of an earlier request.
	Replayed bool `json:"-"`
	// BodyNotKept is set on a replayed reply whose body and headers were too
	// large to store.
	BodyNotKept bool `json:"-"`
}
