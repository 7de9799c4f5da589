// Package upstream sends HTTP requests to targets and reads their responses. It
// keeps one connection pool per address, never reports a truncated response as
// complete, and distinguishes failed requests that may have run from those that
// cannot have.
package upstream

import (
	"net/http"
	"time"

	"heatherrelay/internal/deployment"
)

// HeaderField is one header field that is forwarded.
type HeaderField struct {
	Name  string
	Value string
}

// Request is a request of a client, as received.
type Request struct {
	ID     string
	Method string
	// URI is the path and the query, as the client sent them.
	URI  string
	Path string
	Host string
	// Key is the client's API key; empty if the request has none. It is never forwarded.
	Key string
	// Deadline is how long the client waits for the response; zero if it states
	// none.
	Deadline time.Duration
	// Adapter names the base model and the adapter; both are empty on plain requests.
	Adapter deployment.AdapterName
	// PromptTokens and OutputTokens are the token counts that the request states:
	// the length of the prompt and the maximum length of the output.
	PromptTokens int
	OutputTokens int
	// HasTokenCounts is set when the request states both.
	HasTokenCounts bool
	// PromptParts are the ids of the parts of the prompt, in their order. Requests share
	// parts; the last part is the request's own, or that of its session.
	PromptParts []string
	// PromptPartTokens holds the tokens of each of PromptParts.
	PromptPartTokens []int
	// LastEventID is the id of the event after which the client resumes a stream.
	LastEventID string
	// ResumedID is the id of the request that brought the first event of the stream
	// that the client resumes.
	ResumedID string
	// Headers are the other header fields, which are forwarded.
	Headers []HeaderField
	Body    []byte
}

// SharedPromptParts returns the parts of the prompt that other requests may have too:
// all but the last.
func (r *Request) SharedPromptParts() []string {
	return r.PromptParts[:max(len(r.PromptParts)-1, 0)]
}

// Attempt holds the parameters of one attempt: what an instance adds to a request
// that it sends to a target.
type Attempt struct {
	Target deployment.TargetID
	// Team is the team whose key the client presented; empty on anonymous routes.
	Team string
	// Deadline is the time left until the client's deadline.
	Deadline time.Duration
	// AdapterVersion is the version that the target must run; zero means any.
	AdapterVersion uint64
	// Priority ranges from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the id of the event after which the stream resumes; empty if
	// it starts from the beginning.
	LastEventID string
	// Regions are those of the instances to which the request may be forwarded.
	Regions deployment.Regions
	// PossibleCauses are what is to blame if the target crashes: the digest of the request
	// and the shared parts of its prompt. They are not sent to the target.
	PossibleCauses []string
	// Repeatable is set when the request may be sent again after this attempt. Then a
	// response of which it is not certain that it is whole counts as incomplete.
	Repeatable bool
	// Streaming is set when the response is a stream.
	Streaming bool
	// Identify has the request be sent only on a connection on which the target was asked
	// which of its processes it is. Generation is that of the only process that may get the
	// request; zero means any.
	Identify   bool
	Generation int64
	// MaySend is called once there is a connection to the target, right before the request is
	// written. An error ends the attempt, which was not sent. Nil means that it may be.
	MaySend func() error
	// Silence is how long the target may send nothing, or no complete event of a stream,
	// before OnSilence is called, and is called again after each further Silence. Zero
	// means that it is never called.
	Silence time.Duration
	// OnSilence runs in the goroutine that waits for the response. The wait goes on
	// after it returns, unless the attempt's context has ended.
	OnSilence func()
}

// Values of the Length field for a body whose length is not known in advance.
const (
	// LengthChunked marks a body in the chunked transfer encoding.
	LengthChunked = -1
	// LengthUntilClose marks a body that ends when the connection is closed.
	LengthUntilClose = -2
)

// ResponseHead is the head of a target's response.
type ResponseHead struct {
	Status int
	// RequestID is the request id that the target echoed.
	RequestID string
	// Signed is set when the response carries a target's signature.
	Signed bool
	// NotRun is set when the target did not run the request and will not.
	NotRun bool
	// Misdirected is set when another target has the address now, or when the
	// target lacks the adapter or its version.
	Misdirected bool
	// TargetID is the id of the target that refused a misdirected request, if the
	// response states it.
	TargetID deployment.TargetID
	// Leaving is set when the target states that it is shutting down.
	Leaving bool
	// Limited is set when the target states how many requests it takes from all
	// instances together, RequestsPerSecond.
	Limited           bool
	RequestsPerSecond float64
	// Brittle is set when the target states that it falls over if it has to reject more
	// than Rejections requests in a second for want of room.
	Brittle    bool
	Rejections int
	// Length is the body's length in bytes, or one of the Length constants.
	Length int
	// Close is set when the target closes the connection after the response.
	Close bool
	// IdleTimeout is how long the target keeps the idle connection open; zero if
	// unknown.
	IdleTimeout time.Duration
	// RetryAfter is the delay after which the target suggests a retry; zero if it
	// suggests none.
	RetryAfter time.Duration
	// Headers are forwarded to the client.
	Headers []HeaderField
	// Identified is set when the target was asked on the response's connection which of its
	// processes it is. Generation is that of the process; zero if it is not known or the
	// target does not say.
	Identified bool
	Generation int64
}

// Rejected reports whether the target rejected the request for want of room, as far as its
// status tells.
func (h *ResponseHead) Rejected() bool {
	return h.NotRun && !h.Misdirected && (h.Status == http.StatusServiceUnavailable || h.Status == http.StatusTooManyRequests)
}

// PromisesNotRun reports whether callers take the status for a promise that the request did
// not run. Of a target only NotRun is one.
func (h *ResponseHead) PromisesNotRun() bool {
	switch h.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Success reports whether the status is 2xx.
func (h *ResponseHead) Success() bool { return h.Status/100 == 2 }
