// Package object describes the objects of the platform's store, and the calls
// on them as function fields, so that tests put failures between a caller and a
// store.
package object

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// The kinds of failure of a call. ErrUnavailable leaves open whether a write
// took effect; all others mean that it did not.
var (
	ErrNotFound    = errs.Class("object not found")
	ErrConflict    = errs.Class("object revision conflict")
	ErrThrottled   = errs.Class("store call throttled")
	ErrRefused     = errs.Class("store call refused")
	ErrCompacted   = errs.Class("watch history compacted")
	ErrUnavailable = errs.Class("store unavailable")
	ErrMalformed   = errs.Class("malformed")
)

// Kind is the kind of an object.
type Kind string

// Object is one object with the part that its writer sets.
type Object struct {
	Name string
	// Revision is the store's revision at the object's last change.
	Revision uint64
	Value    json.RawMessage
	// Deleted says that a watch reports the object's removal.
	Deleted bool
}

// Page is a listing of all objects of a kind, or the changes that a watch
// returned, with the store's revision to watch from.
type Page struct {
	Objects  []Object
	Revision uint64
}

// Store is the calls on the store.
type Store struct {
	// List returns all objects of a kind. A stale listing may be seconds old and
	// confirms nothing.
	List func(ctx context.Context, kind Kind, stale bool) (Page, error)
	// Watch waits up to wait for changes of a kind after a revision.
	// ErrCompacted asks for a new List.
	Watch func(ctx context.Context, kind Kind, after uint64, wait time.Duration) (Page, error)
	// Get returns one object, or ErrNotFound.
	Get func(ctx context.Context, kind Kind, name string) (Object, error)
	// Create writes a new object; ErrConflict says that it exists.
	Create func(ctx context.Context, kind Kind, name string, value any) (Object, error)
	// Replace writes an object if it is still at the revision.
	Replace func(ctx context.Context, kind Kind, name string, revision uint64, value any) (Object, error)
}
