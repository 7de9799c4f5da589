// Package catalog keeps an instance's copy of what the store says of the
// deployment: the configuration, the targets and the adapter versions, each with
// the revision that it is complete up to and the time at which a read confirmed it.
package catalog

import (
	"maps"
	"slices"
	"time"

	"heatherrelay/internal/object"
)

// State says how new a copy is.
type State struct {
	// Position is the store's revision that the copy is complete up to.
	Position uint64
	// Changed is the revision of the last change in the copy; copies with the
	// same value hold the same objects.
	Changed uint64
	// ConfirmedAt is from before the read was sent that last showed the copy to be
	// complete; zero when there was none.
	ConfirmedAt time.Time
}

// Replica is a copy of all objects of one kind. It takes pages of the store in
// any order, and copies of peers, and never goes back to an older state. It is
// not safe for concurrent use.
type Replica struct {
	State
	objects map[string]object.Object
}

// Known says that the replica was read at least once.
func (r *Replica) Known() bool { return r.objects != nil }

// List takes a complete listing whose read was sent at sentAt. It reports
// whether objects changed.
func (r *Replica) List(page object.Page, sentAt time.Time) bool {
	if r.Known() && page.Revision < r.Position {
		return false
	}
	listed := make(map[string]object.Object, len(page.Objects))
	for _, o := range page.Objects {
		listed[o.Name] = o
	}
	changed := !r.Known() || !maps.EqualFunc(r.objects, listed, sameRevision)
	r.objects = listed
	r.advance(page.Revision, changed, sentAt)
	return changed
}

func sameRevision(a, b object.Object) bool { return a.Revision == b.Revision }

// Watch takes the changes after the position that the watch was asked from. It
// reports whether objects changed.
func (r *Replica) Watch(from uint64, page object.Page, sentAt time.Time) bool {
	if !r.Known() || from > r.Position || page.Revision < r.Position {
		return false
	}
	changed := false
	for _, o := range page.Objects {
		changed = r.apply(o) || changed
	}
	r.advance(page.Revision, changed, sentAt)
	return changed
}

func (r *Replica) apply(o object.Object) bool {
	current, ok := r.objects[o.Name]
	switch {
	case ok && o.Revision < current.Revision, ok && o.Revision == current.Revision && !o.Deleted, !ok && o.Deleted:
		return false
	case o.Deleted:
		delete(r.objects, o.Name)
	default:
		r.objects[o.Name] = o
	}
	return true
}

// Merge takes a peer's copy. The objects may be left out when the peer's
// changes are known; the confirmation counts then all the same. It reports
// whether objects changed.
func (r *Replica) Merge(peer State, complete bool, objects []object.Object) bool {
	switch {
	case complete && (!r.Known() || peer.Position > r.Position):
		return r.List(object.Page{Objects: objects, Revision: peer.Position}, peer.ConfirmedAt)
	case r.Known() && peer.Changed == r.Changed:
		r.advance(peer.Position, false, peer.ConfirmedAt)
	}
	return false
}

func (r *Replica) advance(position uint64, changed bool, confirmedAt time.Time) {
	r.Position = max(r.Position, position)
	if changed {
		r.Changed = r.Position
	}
	if confirmedAt.After(r.ConfirmedAt) {
		r.ConfirmedAt = confirmedAt
	}
}

// Objects returns the objects, sorted by name.
func (r *Replica) Objects() []object.Object {
	sorted := make([]object.Object, 0, len(r.objects))
	for _, name := range slices.Sorted(maps.Keys(r.objects)) {
		sorted = append(sorted, r.objects[name])
	}
	return sorted
}
