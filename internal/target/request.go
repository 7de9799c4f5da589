// Package target owns engines: it queues requests, orders loads and evictions,
// and reads whole answers from the engines that this instance owns.
package target

import (
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// Request is one model request on its way to a target.
type Request struct {
	// ID is unique over the fleet; every hop echoes it.
	ID         string
	Team       string
	TeamWeight float64
	Class      release.Class
	Adapter    adapter.ID
	// Path is the engine's path, /v1/completions or /v1/chat/completions.
	Path string
	// Body is the request as JSON, with model set to the adapter's id and
	// stream set to true, whatever the caller asked for.
	Body         []byte
	PromptTokens int
	MaxTokens    int
	// PrefixHash identifies the start of the prompt, for prefix-cache affinity.
	PrefixHash uint64
	Deadline   time.Time
	// TargetID is the target that the router chose.
	TargetID string
	// Offset is the first token still wanted.
	Offset int
	// Resume says that a target may hold this request's stream already.
	Resume bool
	// StartOver drops all chunks emitted so far; nil when some may have reached
	// the caller. It stays on the instance that took the request.
	StartOver func()
}

// Tokens returns what the request can cost at most.
func (r *Request) Tokens() int { return r.PromptTokens + r.MaxTokens }

// Chunk is one piece of an answer. Data is one engine event as JSON and may be
// kept by the receiver.
type Chunk struct {
	// Offset is the index of the first token in Data.
	Offset int
	Tokens int
	Data   []byte
}

// Usage is what a finished request used.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Emit receives the chunks of an answer in order and without gaps. An error
// stops the stream.
type Emit func(Chunk) error
