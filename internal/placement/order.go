// Package placement decides which engine holds which adapters and carries the
// decisions out. In each zone, the instance that holds the zone's lease orders the
// engines to load and unload adapters.
package placement

import (
	"heatherrelay/internal/deployment"
)

// Operation is the action that an order requests.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order is a command to an engine to load or unload a base model or an adapter.
type Order struct {
	Operation Operation
	deployment.AdapterName
	// Version is the adapter version to load; zero is the newest.
	Version uint64
	// Sequence is the number of orders that the engine must have accepted so far.
	// It makes the engine refuse an order that arrives late.
	Sequence uint64
	// Holder is the instance that sends the order, FencingNumber that of its lease.
	Holder        string
	FencingNumber uint64
}

// Outcome is the result of sending an order.
type Outcome int

// The outcomes of an order.
const (
	// Unanswered orders may still be carried out.
	Unanswered Outcome = iota
	// Started orders were accepted and are in progress.
	Started
	// Done orders need no further work: the requested state holds.
	Done
	// Conflicting orders were refused because another order is in progress or the
	// sequence differs.
	Conflicting
	// Fenced orders were refused because another holder has replaced the sender.
	Fenced
	// Rejected orders were refused for another reason, or not sent.
	Rejected
)

// Report is an engine's report of its own state, which is some hundred
// milliseconds old.
type Report struct {
	Generation int64
	Sequence   uint64
	// Busy is set while a base model is being loaded or unloaded.
	Busy   bool
	Models []deployment.ResidentModel
	// Loading lists the adapters that are loading.
	Loading []LoadingAdapter
	Queued  int
	Active  int
	// KVCacheTokensUsed is the part of the KV cache that cannot be evicted, in tokens.
	KVCacheTokensUsed int
}

// LoadingAdapter is an adapter that is loading on an engine.
type LoadingAdapter struct {
	deployment.AdapterName
	Version uint64
}

var outcomeNames = map[Outcome]string{
	Unanswered:  "unanswered",
	Started:     "started",
	Done:        "done",
	Conflicting: "conflicting",
	Fenced:      "fenced",
	Rejected:    "rejected",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of a request to load an adapter.
type Result int

// The results.
const (
	// Ready means that the adapter is loaded or loading.
	Ready Result = iota
	// Full means that no adapter slot was free or the load was not accepted in
	// time, or that too many requests wait for the weight store.
	Full
	// NotHolder means that this instance may not order the engine now.
	NotHolder
	// Failed means that the engine did not answer, was busy with another order or
	// lacks the base model, or that the caller gave up.
	Failed
)

var resultNames = map[Result]string{Ready: "ready", Full: "full", NotHolder: "not_holder", Failed: "failed"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }
