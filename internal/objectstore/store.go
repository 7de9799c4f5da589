// Package objectstore is the client side of the platform's object API: objects
// with versions, conditional writes, watches, leases, and the platform's lists
// of instances and targets.
package objectstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1_000_000

// The kinds of failure of a store call. ErrUnavailable leaves open whether a
// write took effect; all others mean that it did not.
var (
	ErrNotFound    = errs.Class("object not found")
	ErrConflict    = errs.Class("object version conflict")
	ErrTooLarge    = errs.Class("object too large")
	ErrThrottled   = errs.Class("platform call throttled")
	ErrUnavailable = errs.Class("platform unavailable")
	ErrCompacted   = errs.Class("watch history compacted")
)

// Object is one stored value. Versions rise over the whole store, so a later
// write to any object has a higher version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event is one change that a watch reports; a deletion carries no value.
type Event struct {
	Object
	Deleted bool `json:"deleted"`
}

// Listing is all objects below a prefix, and the store's version at that time.
type Listing struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// Changes is what a watch returns: the events after a version, and the version
// to go on from.
type Changes struct {
	Events  []Event `json:"events"`
	Version uint64  `json:"version"`
}

// InstanceState is what the platform says of an instance.
type InstanceState string

// The states of an instance in the platform's list; one that is not listed is gone.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// InstanceEntry is one row of the platform's lagging list of instances.
type InstanceEntry struct {
	ID    string         `json:"id"`
	Zone  string         `json:"zone"`
	State InstanceState  `json:"state"`
	Peer  netip.AddrPort `json:"peer"`
}

// TargetKind tells model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// TargetEntry is one row of the platform's lagging list of targets.
type TargetEntry struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Kind    TargetKind     `json:"kind"`
	Address netip.AddrPort `json:"address"`
	// Service names the plain service; empty on engines.
	Service string `json:"service,omitempty"`
	// BaseModel names the engine's model; empty on services.
	BaseModel string `json:"base_model,omitempty"`
	Leaving   bool   `json:"leaving"`
}

// Store is the platform's API as function fields, so that tests put failures
// between a caller and a store. All are safe for concurrent use.
type Store struct {
	// Get returns one object or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes key if its version is still ifVersion; zero means that it must
	// be absent. It returns the new version, or ErrConflict.
	Put func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes key if its version is still ifVersion.
	Delete func(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose keys start with prefix, sorted by key.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes below prefix after a version. With no
	// change it returns no events. ErrCompacted asks for a new List.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Instances returns the platform's list of instances.
	Instances func(ctx context.Context) ([]InstanceEntry, error)
	// Targets returns the platform's list of targets.
	Targets func(ctx context.Context) ([]TargetEntry, error)
}
