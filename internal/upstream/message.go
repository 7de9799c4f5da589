// Package upstream sends requests to targets and reads their answers: one
// connection pool an address, whole answers, and a clear word on whether a
// request that failed can have run.
package upstream

import (
	"time"

	"heatherrelay/internal/deployment"
)

// Header is one header field that is passed on.
type Header struct {
	Name  string
	Value string
}

// Request is one attempt of a client.
type Request struct {
	ID     string
	Method string
	// URI is the path and the query, as the client sent them.
	URI  string
	Path string
	Host string
	// Key is the caller's key; empty without one. It is never passed on.
	Key string
	// Deadline is how long the client waits; zero when it does not say.
	Deadline time.Duration
	// Adapter names the base model and the adapter; both are empty on plain requests.
	Adapter deployment.AdapterName
	// PromptTokens and OutputTokens are what the request states; CountsTokens
	// says that it does.
	PromptTokens int
	OutputTokens int
	CountsTokens bool
	// LastEventID is the event after which the client resumes a stream.
	LastEventID string
	// Headers are the others that are passed on.
	Headers []Header
	Body    []byte
}

// Send is what an instance adds to a request that it sends to a target.
type Send struct {
	Target deployment.TargetID
	// Team is the team whose key the caller presented; empty on anonymous routes.
	Team string
	// Deadline is what is left of the client's time.
	Deadline time.Duration
	// AdapterVersion is the version that the target must run; zero is any.
	AdapterVersion uint64
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the event after which a stream goes on; empty from the start.
	LastEventID string
	// SilenceLimit is how long the target may send nothing; zero has no limit.
	SilenceLimit time.Duration
}

// The lengths of a body that is not known in advance.
const (
	// LengthChunked bodies say where they end.
	LengthChunked = -1
	// LengthUntilClose bodies end with their connection.
	LengthUntilClose = -2
)

// Answer is the head of a target's answer.
type Answer struct {
	Status int
	// RequestID is the id that the target echoes.
	RequestID string
	// Signed says that the answer bears a target's signature.
	Signed bool
	// NotRun says that the target did not run the request and will not.
	NotRun bool
	// Misdirected says that another target has the address, or that the target
	// lacks the adapter or the version.
	Misdirected bool
	// TargetID is the target that refused a misdirected request, if it says so.
	TargetID deployment.TargetID
	// Length is the body's length in bytes, or one of the Length constants.
	Length int
	// Close says that the target closes the connection after the answer.
	Close bool
	// IdleLimit is how long the target keeps the connection; zero if unknown.
	IdleLimit time.Duration
	// RetryAfter is the target's advice on when to come back.
	RetryAfter time.Duration
	// Headers are passed on to the client.
	Headers []Header
}

// Success says that the target ran the request to a good end.
func (a *Answer) Success() bool { return a.Status/100 == 2 }
