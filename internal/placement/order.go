// Package placement decides which engine holds which adapters and carries the
// decisions out: one instance at a time orders the loads and unloads of a group
// of engines.
package placement

import (
	"heatherrelay/internal/deployment"
)

// Operation is what an order asks of an engine.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order asks an engine to load or to unload a base model or an adapter.
type Order struct {
	Operation Operation
	deployment.AdapterName
	// Version is the adapter version to load; zero is the newest.
	Version uint64
	// Sequence is the number of orders that the engine must have accepted so far;
	// an order that arrives late is void by it.
	Sequence uint64
	// Holder and FencingNumber name who orders.
	Holder        string
	FencingNumber uint64
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	// Unanswered orders may be carried out later.
	Unanswered Outcome = iota
	// Started orders are being carried out.
	Started
	// Done orders hold already.
	Done
	// Conflicting orders were refused: another is under way, or the sequence differs.
	Conflicting
	// Fenced orders come from a holder that was replaced.
	Fenced
	// Rejected orders were refused for another reason.
	Rejected
)

// Report is what an engine says of itself, as of some hundred milliseconds ago.
type Report struct {
	Born     int64
	Sequence uint64
	// Busy says that a base model is being loaded or unloaded.
	Busy   bool
	Models []deployment.ResidentModel
	// Coming lists the adapters on their way.
	Coming []ComingAdapter
	Queued int
	Active int
	// MemoryUsed is the part of the KV cache that cannot yield, in tokens.
	MemoryUsed int
}

// ComingAdapter is an adapter on its way to an engine.
type ComingAdapter struct {
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

// Result is what became of a wish for an adapter.
type Result int

// The results.
const (
	// Ready says that the adapter is there or on its way.
	Ready Result = iota
	// Full says that all places are taken by adapters in use, or that too many
	// wait for the weight store.
	Full
	// NotHolder says that this instance may not order the engine now.
	NotHolder
	// Failed says that the engine did not carry the order out.
	Failed
)

var resultNames = map[Result]string{Ready: "ready", Full: "full", NotHolder: "not_holder", Failed: "failed"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }
