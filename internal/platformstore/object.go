// Package platformstore defines the client interface of the platform's object store:
// its objects, its errors and its calls. The calls are function fields, so that tests
// can inject failures between a caller and a store.
package platformstore

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of store calls. After ErrUnavailable a write may or may not have
// taken effect; after any other error it has not.
var (
	ErrNotFound    = errs.Class("object not found")
	ErrConflict    = errs.Class("object revision conflict")
	ErrThrottled   = errs.Class("store call throttled")
	ErrRefused     = errs.Class("store call refused")
	ErrCompacted   = errs.Class("watch history compacted")
	ErrUnavailable = errs.Class("store unavailable")
	ErrMalformed   = errs.Class("malformed")
	// ErrRestored means that the store was restored from a copy during a listing of
	// several pages. The caller lists again.
	ErrRestored = errs.Class("store restored during the call")
)

// Position orders the states of the store. A store that is restored from an older
// copy gives out the revisions since that copy again; its generation rises by one.
type Position struct {
	Generation uint64
	Revision   uint64
}

// Compare returns a negative number if p is before other, zero if they are equal,
// and a positive number if p is after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Generation, other.Generation), cmp.Compare(p.Revision, other.Revision))
}

// Kind names a collection of objects in the store, such as the targets.
type Kind string

// Object is an object of the store, reduced to its name, revision and value.
type Object struct {
	Name string
	// Revision is the store's revision at the object's last change.
	Revision uint64
	// Generation is that of the store's answer that the object came with.
	Generation uint64
	// Value is the part of the object that its writer sets.
	Value json.RawMessage
	// Deleted is set in a watch result when the object was removed.
	Deleted bool
}

// Position returns the state of the store right after the object's last change.
func (o Object) Position() Position {
	return Position{Generation: o.Generation, Revision: o.Revision}
}

// Page is the result of a List, which holds all objects of a kind, or of a Watch,
// which holds the changed ones. Revision is where the next watch starts, Generation
// that of the store's answer.
type Page struct {
	Objects    []Object
	Revision   uint64
	Generation uint64
}

// Position returns the state of the store up to which the page is complete.
func (p Page) Position() Position {
	return Position{Generation: p.Generation, Revision: p.Revision}
}

// Store holds the calls to the store.
type Store struct {
	// List returns all objects of a kind. With stale set, the store may answer
	// from state that is seconds old, so the result does not show what is current.
	List func(ctx context.Context, kind Kind, stale bool) (Page, error)
	// Watch waits for changes of a kind after a revision, for at most wait. It
	// returns ErrCompacted when the store no longer has the history since that
	// revision; the caller has to list again.
	Watch func(ctx context.Context, kind Kind, after uint64, wait time.Duration) (Page, error)
	// Get returns an object, or ErrNotFound.
	Get func(ctx context.Context, kind Kind, name string) (Object, error)
	// Create writes a new object. It returns ErrConflict when the object exists.
	Create func(ctx context.Context, kind Kind, name string, value any) (Object, error)
	// Replace overwrites an object that is still at the given revision, otherwise
	// it returns ErrConflict.
	Replace func(ctx context.Context, kind Kind, name string, revision uint64, value any) (Object, error)
	// SeenGeneration returns the highest generation that any answer of the store
	// carried, also a refusal. Nil for a store that is never restored.
	SeenGeneration func() uint64
}

// Generation returns the result of SeenGeneration, or zero if that is nil.
func (s Store) Generation() uint64 {
	if s.SeenGeneration == nil {
		return 0
	}
	return s.SeenGeneration()
}
