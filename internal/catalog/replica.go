// Package catalog keeps an instance's copy of what the store says of the
// deployment: the configuration, the targets and the adapter versions, each with
// the revision that it is complete up to and the time at which a read confirmed it.
package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/object"
)

// State says how new a copy is.
type State struct {
	// Position is the store's revision that the copy is complete up to.
	Position uint64
	// Content is a hash of the objects' names and values; copies with the same
	// hash hold the same.
	Content uint64
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
	content := uint64(0)
	for _, o := range listed {
		content += contentOf(o)
	}
	changed := !r.Known() || content != r.Content
	r.objects, r.Content = listed, content
	r.advance(page.Revision, sentAt)
	return changed
}

// contentOf hashes an object. Hashes are added up, so that the order of objects
// does not matter.
func contentOf(o object.Object) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(o.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(o.Value)
	return d.Sum64()
}

// Watch takes the changes after the position that the watch was asked from. It
// reports whether objects changed.
func (r *Replica) Watch(from uint64, page object.Page, sentAt time.Time) bool {
	if !r.Known() || from > r.Position || page.Revision < r.Position {
		return false
	}
	before := r.Content
	for _, o := range page.Objects {
		r.apply(o)
	}
	r.advance(page.Revision, sentAt)
	return r.Content != before
}

func (r *Replica) apply(o object.Object) {
	current, ok := r.objects[o.Name]
	if ok && o.Revision < current.Revision || !ok && o.Deleted {
		return
	}
	if ok {
		r.Content -= contentOf(current)
	}
	if o.Deleted {
		delete(r.objects, o.Name)
		return
	}
	r.objects[o.Name] = o
	r.Content += contentOf(o)
}

// Merge takes a peer's copy. The objects may be left out when the peer's
// changes are known; the confirmation counts then all the same. It reports
// whether objects changed.
func (r *Replica) Merge(peer State, complete bool, objects []object.Object) bool {
	switch {
	case complete && (!r.Known() || peer.Position > r.Position):
		return r.List(object.Page{Objects: objects, Revision: peer.Position}, peer.ConfirmedAt)
	case r.Known() && peer.Content == r.Content:
		r.advance(peer.Position, peer.ConfirmedAt)
	}
	return false
}

func (r *Replica) advance(position uint64, confirmedAt time.Time) {
	r.Position = max(r.Position, position)
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
