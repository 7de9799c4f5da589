// Package target implements the owner of a target: it queues requests, orders the
// loads and evictions of adapters, and streams complete answers from the target's
// engine. The targets of this package are inference engines, each with a number of
// slots for resident adapters.
package target

import (
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// Request is an inference request for one adapter.
type Request struct {
	// ID is unique across the fleet. Every hop forwards it unchanged.
	ID         string
	Team       string
	TeamWeight float64
	Class      release.Class
	Adapter    adapter.ID
	// Path is the URL path on the engine, /v1/completions or /v1/chat/completions.
	Path string
	// Body is the request as JSON. Its model is set to the adapter's ID, and its
	// stream to true even if the caller requested a single response.
	Body         []byte
	PromptTokens int
	MaxTokens    int
	// PrefixHash is a hash of the start of the prompt, for prefix-cache affinity.
	PrefixHash uint64
	Deadline   time.Time
	// TargetID is the ID of the target chosen by the router.
	TargetID string
	// Offset is the index of the first token to emit.
	Offset int
	// Resume is set when the target may already hold a stream of this request.
	Resume bool
	// DiscardEmitted discards all chunks emitted so far; nil when some may have reached
	// the caller. It is not sent to peers, so it is set only on the instance that
	// accepted the request from the caller.
	DiscardEmitted func()
}

// Tokens returns the maximum cost of the request in tokens, prompt and completion.
func (r *Request) Tokens() int { return r.PromptTokens + r.MaxTokens }

// Chunk is one event of a streamed answer. Data is the engine's event as JSON; the
// receiver may retain it.
type Chunk struct {
	// Offset is the index of the first token in Data.
	Offset int
	Tokens int
	Data   []byte
}

// Usage is the number of tokens that a finished request used.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Emit receives the chunks of an answer in order and without gaps. If it returns an
// error, the stream ends with that error.
type Emit func(Chunk) error
