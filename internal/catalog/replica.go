// Package catalog keeps an instance's replica of the deployment's state in the
// store: the configuration, the targets and the adapter versions. Each comes with
// the store revision up to which it is complete and the time at which a read of
// the store last confirmed it.
package catalog

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/platformstore"
)

// State describes how current a replica is.
type State struct {
	// Revision is the store revision up to which the replica is complete, Generation
	// the store's generation of that revision.
	Revision   uint64
	Generation uint64
	// ContentHash is a hash of the objects' names and values. Replicas with the same
	// hash hold the same objects.
	ContentHash uint64
	// ConfirmedAt is when the read was sent that last showed the replica to be
	// current; zero if there was none. The read may be a peer's.
	ConfirmedAt time.Time
}

// Position returns the state of the store up to which the replica is complete.
func (s State) Position() platformstore.Position {
	return platformstore.Position{Generation: s.Generation, Revision: s.Revision}
}

// Replica holds a copy of all objects of one kind. It applies results of List and
// Watch calls, and the replicas of peers, in any order, and never returns to an
// older state: one of an earlier generation of the store, or of a lower revision of
// the same generation. It is not safe for concurrent use.
type Replica struct {
	State
	objects map[string]platformstore.Object
	history history
	// needsComplete is set when a peer's changes did not lead to the peer's content, so
	// that only all of its objects can.
	needsComplete bool
}

// Known reports whether the replica holds any state of the store yet.
func (r *Replica) Known() bool { return r.objects != nil }

// ApplyList replaces the objects by those of a complete listing whose read was sent at
// sentAt, without the deleted ones, unless the replica is newer. It reports whether
// objects changed.
func (r *Replica) ApplyList(page platformstore.Page, sentAt time.Time) bool {
	if r.Known() && page.Position().Compare(r.Position()) < 0 {
		return false
	}
	listed := make(map[string]platformstore.Object, len(page.Objects))
	for _, o := range page.Objects {
		if !o.Deleted {
			listed[o.Name] = o
		}
	}
	content := uint64(0)
	for _, o := range listed {
		content += contentHash(o)
	}
	changed := !r.Known() || content != r.ContentHash
	if !r.Known() || page.Generation != r.Generation {
		r.history.restart(page.Revision)
	} else if changed {
		r.recordDifferences(listed, page.Revision)
	}
	r.objects, r.ContentHash, r.needsComplete = listed, content, false
	r.advance(page.Position(), sentAt)
	return changed
}

// recordDifferences records the objects in which a listing of a revision differs from the
// present ones.
func (r *Replica) recordDifferences(listed map[string]platformstore.Object, revision uint64) {
	for name, o := range listed {
		if known, ok := r.objects[name]; !ok || !bytes.Equal(known.Value, o.Value) {
			r.history.record(name, revision)
		}
	}
	for name := range r.objects {
		if _, ok := listed[name]; !ok {
			r.history.record(name, revision)
		}
	}
}

// contentHash returns the hash of an object's name and value. A replica's hash is
// the sum over its objects, so that their order does not matter.
func contentHash(o platformstore.Object) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(o.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(o.Value)
	return d.Sum64()
}

// ApplyWatch applies the result of a watch that was sent at sentAt for the changes
// after the position from. It ignores a result that leaves a gap after the replica's
// position or ends before it, and one of another generation than from: revisions of
// two generations have nothing in common. It reports whether objects changed.
func (r *Replica) ApplyWatch(from platformstore.Position, page platformstore.Page, sentAt time.Time) bool {
	if !r.Known() || from.Generation != page.Generation || from.Compare(r.Position()) > 0 || page.Position().Compare(r.Position()) < 0 {
		return false
	}
	before := r.ContentHash
	for _, o := range page.Objects {
		r.applyObject(o, page.Revision)
	}
	r.advance(page.Position(), sentAt)
	return r.ContentHash != before
}

// applyObject applies one change from a list up to a revision, unless the replica holds
// the object at a later one.
func (r *Replica) applyObject(o platformstore.Object, upTo uint64) {
	current, ok := r.objects[o.Name]
	if ok && o.Revision < current.Revision || !ok && o.Deleted {
		return
	}
	switch {
	case o.Deleted:
		// A deletion may carry the revision of the last write.
		r.history.record(o.Name, upTo)
	case !ok || !bytes.Equal(current.Value, o.Value):
		r.history.record(o.Name, o.Revision)
	}
	if ok {
		r.ContentHash -= contentHash(current)
	}
	if o.Deleted {
		delete(r.objects, o.Name)
		return
	}
	r.objects[o.Name] = o
	r.ContentHash += contentHash(o)
}

// ChangesAfter returns the objects that changed after a position, the deleted ones marked
// as such; false if the replica does not remember which these are.
func (r *Replica) ChangesAfter(position platformstore.Position) ([]platformstore.Object, bool) {
	if !r.Known() || position.Generation != r.Generation || position.Revision < r.history.from {
		return nil, false
	}
	var changed []platformstore.Object
	for name, revision := range r.history.changedAt {
		if revision <= position.Revision {
			continue
		}
		o, ok := r.objects[name]
		if !ok {
			o = platformstore.Object{Name: name, Revision: revision, Deleted: true}
		}
		changed = append(changed, o)
	}
	return changed, true
}

// MergeChanges applies what changed of a peer's replica after a revision of the same
// generation. If that does not lead to the peer's content, the replica stays as it was
// and NeedsComplete reports true. It reports whether objects changed.
func (r *Replica) MergeChanges(peer State, after uint64, objects []platformstore.Object) bool {
	if !r.Known() || peer.Generation != r.Generation || after > r.Revision || peer.Revision < r.Revision {
		return false
	}
	merged := Replica{State: r.State, objects: maps.Clone(r.objects), history: r.history.clone()}
	for _, o := range objects {
		merged.applyObject(o, peer.Revision)
	}
	if merged.ContentHash != peer.ContentHash {
		r.needsComplete = true
		return false
	}
	merged.advance(peer.Position(), peer.ConfirmedAt)
	changed := merged.ContentHash != r.ContentHash
	*r = merged
	return changed
}

// NeedsComplete reports whether only all objects of a peer can bring the replica up to
// date.
func (r *Replica) NeedsComplete() bool { return r.needsComplete }

// Merge applies a peer's replica. complete is set when the peer sent its objects;
// it leaves them out when this replica already has the same ones or newer ones.
// Even then the peer's position and confirmation apply, if the contents are equal and
// the peer's generation is not an older one.
// It reports whether objects changed.
func (r *Replica) Merge(peer State, complete bool, objects []platformstore.Object) bool {
	switch {
	case complete && (!r.Known() || peer.Position().Compare(r.Position()) > 0):
		return r.ApplyList(platformstore.Page{Objects: objects, Revision: peer.Revision, Generation: peer.Generation}, peer.ConfirmedAt)
	case r.Known() && peer.ContentHash == r.ContentHash && peer.Generation >= r.Generation:
		if peer.Generation > r.Generation {
			r.forgetRevisions()
			r.history.restart(peer.Revision)
		}
		r.advance(peer.Position(), peer.ConfirmedAt)
		r.needsComplete = false
	}
	return false
}

// forgetRevisions sets the revisions of all objects to zero, so that any change of a
// newer generation applies to them.
func (r *Replica) forgetRevisions() {
	r.history.restart(r.Revision)
	for name, o := range r.objects {
		o.Revision = 0
		r.objects[name] = o
	}
}

// advance records that the replica is complete up to a position, as confirmed by a
// read sent at confirmedAt. Neither value goes back.
func (r *Replica) advance(position platformstore.Position, confirmedAt time.Time) {
	if position.Compare(r.Position()) > 0 {
		r.Generation, r.Revision = position.Generation, position.Revision
	}
	if confirmedAt.After(r.ConfirmedAt) {
		r.ConfirmedAt = confirmedAt
	}
}

// Objects returns all objects, sorted by name.
func (r *Replica) Objects() []platformstore.Object {
	sorted := make([]platformstore.Object, 0, len(r.objects))
	for _, name := range slices.Sorted(maps.Keys(r.objects)) {
		sorted = append(sorted, r.objects[name])
	}
	return sorted
}
