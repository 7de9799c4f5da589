// Package objectstore is the client of this product's own object API, which its
// platform serves over HTTP: versioned objects with conditional writes, watches
// and leases, and the platform's lists of instances and targets. The store of
// the other deployment, with objects by kind and revision, is described by
// package internal/platformstore; the two share neither types nor errors.
package objectstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1_000_000

// Error classes of store calls. After ErrUnavailable a write may or may not have
// taken effect; after any other error it has not.
var (
	ErrNotFound    = errs.Class("object not found")
	ErrConflict    = errs.Class("object version conflict")
	ErrTooLarge    = errs.Class("object too large")
	ErrThrottled   = errs.Class("platform call throttled")
	ErrUnavailable = errs.Class("platform unavailable")
	ErrCompacted   = errs.Class("watch history compacted")
)

// Object is one stored value. Versions increase across the whole store: a later
// write to any object gets a higher version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event is one change reported by a watch. A deletion has no value.
type Event struct {
	Object
	Deleted bool `json:"deleted"`
}

// Listing holds all objects under a prefix and the store's version at the time
// of the listing.
type Listing struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// Changes is the result of a watch: the events after the requested version, and
// the version from which the next watch continues.
type Changes struct {
	Events  []Event `json:"events"`
	Version uint64  `json:"version"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The instance states. An instance that is not listed no longer exists.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// InstanceEntry is one row of the platform's list of instances. The list lags
// behind the actual state.
type InstanceEntry struct {
	ID    string         `json:"id"`
	Zone  string         `json:"zone"`
	State InstanceState  `json:"state"`
	Peer  netip.AddrPort `json:"peer"`
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The target kinds.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// TargetEntry is one row of the platform's list of targets. The list lags behind
// the actual state.
type TargetEntry struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Kind    TargetKind     `json:"kind"`
	Address netip.AddrPort `json:"address"`
	// Service is the name of the plain service; empty for engines.
	Service string `json:"service,omitempty"`
	// BaseModel is the name of the engine's model; empty for services.
	BaseModel string `json:"base_model,omitempty"`
	Leaving   bool   `json:"leaving"`
}

// Store is the platform's API as function fields, so that tests can inject
// failures by wrapping single calls. All fields are safe for concurrent use.
type Store struct {
	// Get returns one object, or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes key if its current version is ifVersion, and returns the new
	// version; otherwise it returns ErrConflict. An ifVersion of zero requires
	// that the key does not exist. Values above MaxValueBytes give ErrTooLarge.
	Put func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes key if its current version is ifVersion. It returns
	// ErrNotFound if the key does not exist, and ErrConflict at another version.
	Delete func(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose keys start with prefix, sorted by key.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes under prefix that are newer than the
	// version after, and returns no events if there are none. After ErrCompacted
	// the caller has to List again, since the events are no longer kept.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Instances returns the platform's list of instances.
	Instances func(ctx context.Context) ([]InstanceEntry, error)
	// Targets returns the platform's list of targets.
	Targets func(ctx context.Context) ([]TargetEntry, error)
}
