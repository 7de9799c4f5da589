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
	DefaultNotesPerSnapshot = 500
	DefaultSnapshotInterval = 10 * time.Second
	// ranksPerSnapshot is the number of further instances whose turn to write
	// comes, one after another, within NotesPerSnapshot notes after the first
	// one's.
	ranksPerSnapshot = 4
)

// SnapshotWriter writes the state to the platform in shards every
// NotesPerSnapshot notes, so that a starting instance need not replay the
// history. Every instance runs one. A hash determines which of them writes first,
// and when two write at the same time, the conditional write of the head
// determines whose snapshot counts. Shards are written before the head that names
// them and removed only after two later heads have been written, so a head always
// leads to a complete snapshot. Set the exported fields before Run.
type SnapshotWriter struct {
	Store objectstore.Store
	// State returns the state in force on this instance.
	State func() *release.State
	// ID is the id of this instance; Peers returns the ids of the others.
	ID    string
	Peers func() []string
	// NotesPerSnapshot is the number of notes after a snapshot at which the next
	// one is due; zero means DefaultNotesPerSnapshot.
	NotesPerSnapshot uint64
	// Interval is the time between checks whether a snapshot is due; zero means
	// DefaultSnapshotInterval.
	Interval time.Duration
	// OnError is called with the error of each call that failed; may be nil.
	OnError func(error)
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
		if _, err := w.Write(ctx); err != nil && w.OnError != nil && ctx.Err() == nil {
			w.OnError(err)
		}
	}
}

// Write writes a snapshot if one is due and it is this instance's turn, and
// reports whether it did.
func (w *SnapshotWriter) Write(ctx context.Context) (bool, error) {
	current, version, err := readHead(ctx, w.Store)
	if err != nil {
		return false, err
	}
	state := w.State()
	if !w.due(current, state.Number) {
		return false, nil
	}
	head := Head{Number: state.Number, SnapshotID: uuid.NewString(), PreviousNumber: current.Number}
	if head.Shards, err = w.writeShards(ctx, head, state); err != nil {
		return false, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return false, err
	}
	_, err = w.Store.Put(ctx, SnapshotHeadKey, value, version)
	if objectstore.ErrConflict.Has(err) {
		// Another instance has written the head, so this snapshot's head will
		// never be written: its shards are removed.
		return false, w.removeShards(ctx, func(key string) bool { return strings.Contains(key, head.SnapshotID) })
	}
	if err != nil {
		return false, err
	}
	return true, w.removeShards(ctx, func(key string) bool {
		number, ok := shardNumber(key)
		return ok && number < head.PreviousNumber
	})
}

// due reports whether the state at number is so far ahead of the head that it is
// this instance's turn to write. The instance that ranks first writes
// NotesPerSnapshot notes after the head, each following one a little later.
func (w *SnapshotWriter) due(head Head, number uint64) bool {
	notes := cmp.Or(w.NotesPerSnapshot, DefaultNotesPerSnapshot)
	rank := uint64(0)
	if w.Peers != nil {
		ownHash := writerHash(head, w.ID)
		for _, peer := range w.Peers() {
			if peer != w.ID && writerHash(head, peer) < ownHash {
				rank++
			}
		}
	}
	return number >= head.Number+notes+rank*notes/ranksPerSnapshot
}

// writerHash returns the value by which instances are ranked; the order differs
// for each head.
func writerHash(head Head, id string) uint64 {
	return xxhash.Sum64String(head.SnapshotID + "/" + id)
}

// writeShards writes the state's shards under the keys of head and returns their
// number.
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

// removeShards deletes the shards whose keys match. A shard that another instance
// has deleted meanwhile is not an error.
func (w *SnapshotWriter) removeShards(ctx context.Context, match func(key string) bool) error {
	listing, err := w.Store.List(ctx, shardPrefix)
	if err != nil {
		return err
	}
	obsolete := slices.DeleteFunc(listing.Objects, func(o objectstore.Object) bool {
		return o.Key == SnapshotHeadKey || !match(o.Key)
	})
	for _, o := range obsolete {
		if err := w.Store.Delete(ctx, o.Key, o.Version); err != nil && !objectstore.ErrNotFound.Has(err) {
			return err
		}
	}
	return nil
}

// shardNumber returns the number of the snapshot that a shard's key names.
func shardNumber(key string) (uint64, bool) {
	digits, _, ok := strings.Cut(strings.TrimPrefix(key, shardPrefix), "-")
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, ok && err == nil
}
