package publication

import (
	"context"
	"encoding/json"
	"fmt"

	"heatherrelay/internal/objectstore"
	"heatherrelay/pkg/release"
)

// The keys of snapshots.
const (
	// SnapshotHeadKey is the object that names the newest whole snapshot.
	SnapshotHeadKey = "snapshot/head"
	// shardPrefix starts the keys of shards; the snapshot's number follows.
	shardPrefix = "snapshot/"
)

// Head names a snapshot: the state after note Number, in Shards objects.
type Head struct {
	Number uint64 `json:"number"`
	Shards int    `json:"shards"`
	// SnapshotID is part of the shards' keys, so that two writers never mix.
	SnapshotID string `json:"snapshot_id"`
	// PreviousNumber is the number of the snapshot before, which is kept for
	// those who are reading it still.
	PreviousNumber uint64 `json:"previous_number"`
}

// readHead returns the snapshot head and its version, both zero when there is none.
func readHead(ctx context.Context, store objectstore.Store) (Head, uint64, error) {
	object, err := store.Get(ctx, SnapshotHeadKey)
	if objectstore.ErrNotFound.Has(err) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return Head{}, 0, ErrCorrupt.New("%s: %w", SnapshotHeadKey, err)
	}
	return head, object.Version, nil
}

// loadSnapshot adopts the platform's snapshot if it is ahead of the replica, and
// returns the store's version before any note that the replica still lacks was
// asked for.
func (f *Follower) loadSnapshot(ctx context.Context) (uint64, error) {
	listing, err := f.Store.List(ctx, SnapshotHeadKey)
	if err != nil {
		return 0, err
	}
	for _, object := range listing.Objects {
		var head Head
		if err := json.Unmarshal(object.Value, &head); err != nil {
			return 0, ErrCorrupt.New("%s: %w", SnapshotHeadKey, err)
		}
		if head.Number <= f.State().Number {
			continue
		}
		state, err := readShards(ctx, f.Store, head)
		if err != nil {
			return 0, err
		}
		f.Adopt(state)
	}
	return listing.Version, nil
}

// shardKey returns the key of one shard of a snapshot.
func (h Head) shardKey(shard int) string {
	return fmt.Sprintf("%s%0*d-%s/%04d", shardPrefix, numberDigits, h.Number, h.SnapshotID, shard)
}

// readShards reads the snapshot that head names.
func readShards(ctx context.Context, store objectstore.Store, head Head) (*release.State, error) {
	parts := make([]release.Note, head.Shards)
	for i := range parts {
		object, err := store.Get(ctx, head.shardKey(i))
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(object.Value, &parts[i]); err != nil {
			return nil, ErrCorrupt.New("%s: %w", object.Key, err)
		}
	}
	return release.FromParts(head.Number, parts), nil
}
