package publication

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"heatherrelay/internal/objectstore"
	"heatherrelay/pkg/release"
)

// The defaults of a snapshot writer.
const (
	DefaultSnapshotNotes    = 500
	DefaultSnapshotInterval = 10 * time.Second
	// ranksPerDelay is how many instances may follow the first one, in turn,
	// within as many notes as a snapshot covers.
	ranksPerDelay = 4
)

// SnapshotWriter writes the state in shards to the platform now and then, so
// that a starting instance need not replay the history. Every instance runs
// one; which of them writes first follows from a hash, and a conditional write
// of the head decides when two do. Shards are written before the head that
// names them, and removed only when two later heads stand, so a head always
// leads to a whole snapshot. Set the exported fields before Run.
type SnapshotWriter struct {
	Store objectstore.Store
	// State returns the state in force on this instance.
	State func() *release.State
	// ID is this instance; Peers returns the others.
	ID    string
	Peers func() []string
	// Notes is how many notes a snapshot may be behind; zero is DefaultSnapshotNotes.
	Notes uint64
	// Interval is the time between looks; zero is DefaultSnapshotInterval.
	Interval time.Duration
	// Failed hears of calls that failed; may be nil.
	Failed func(error)
}

// Run writes snapshots until ctx is done.
func (w *SnapshotWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(cmp.Or(w.Interval, DefaultSnapshotInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := w.Write(ctx); err != nil && w.Failed != nil && ctx.Err() == nil {
			w.Failed(err)
		}
	}
}

// Write writes a snapshot if one is due and it is this instance's turn, and
// reports whether it did.
func (w *SnapshotWriter) Write(ctx context.Context) (bool, error) {
	old, version, err := readHead(ctx, w.Store)
	if err != nil {
		return false, err
	}
	state := w.State()
	if !w.due(old, state.Number) {
		return false, nil
	}
	head := Head{Number: state.Number, SnapshotID: uuid.NewString(), PreviousNumber: old.Number}
	if head.Shards, err = w.writeShards(ctx, head, state); err != nil {
		return false, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return false, err
	}
	_, err = w.Store.Put(ctx, SnapshotHeadKey, value, version)
	if objectstore.ErrConflict.Has(err) {
		// Another head stands, and this one will never be written.
		return false, w.remove(ctx, func(key string) bool { return strings.Contains(key, head.SnapshotID) })
	}
	if err != nil {
		return false, err
	}
	return true, w.remove(ctx, func(key string) bool {
		number, ok := shardNumber(key)
		return ok && number < head.PreviousNumber
	})
}

// due reports whether the head is so far behind that it is this instance's turn.
// The first in rank writes after Notes notes, each one after it a little later.
func (w *SnapshotWriter) due(head Head, number uint64) bool {
	notes := cmp.Or(w.Notes, DefaultSnapshotNotes)
	rank := uint64(0)
	if w.Peers != nil {
		own := order(head, w.ID)
		for _, peer := range w.Peers() {
			if peer != w.ID && order(head, peer) < own {
				rank++
			}
		}
	}
	return number >= head.Number+notes+rank*notes/ranksPerDelay
}

// order ranks instances differently for each head.
func order(head Head, id string) uint64 {
	return xxhash.Sum64String(head.SnapshotID + "/" + id)
}

func (w *SnapshotWriter) writeShards(ctx context.Context, head Head, state *release.State) (int, error) {
	parts, err := state.Parts(maxPartBytes)
	if err != nil {
		return 0, err
	}
	for i, part := range parts {
		value, err := json.Marshal(part)
		if err != nil {
			return 0, err
		}
		if _, err := w.Store.Put(ctx, head.shardKey(i), value, 0); err != nil {
			return 0, err
		}
	}
	return len(parts), nil
}

// remove deletes the shards whose keys match. Shards that another writer has
// removed meanwhile are no error.
func (w *SnapshotWriter) remove(ctx context.Context, match func(key string) bool) error {
	listing, err := w.Store.List(ctx, shardPrefix)
	if err != nil {
		return err
	}
	doomed := slices.DeleteFunc(listing.Objects, func(o objectstore.Object) bool {
		return o.Key == SnapshotHeadKey || !match(o.Key)
	})
	for _, o := range doomed {
		if err := w.Store.Delete(ctx, o.Key, o.Version); err != nil && !objectstore.ErrNotFound.Has(err) {
			return err
		}
	}
	return nil
}

// shardNumber returns the snapshot's number in a shard's key.
func shardNumber(key string) (uint64, bool) {
	digits, _, ok := strings.Cut(strings.TrimPrefix(key, shardPrefix), "-")
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, ok && err == nil
}
