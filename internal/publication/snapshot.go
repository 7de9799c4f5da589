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
	// SnapshotHeadKey is the key of the object that names the newest complete
	// snapshot.
	SnapshotHeadKey = "snapshot/head"
	// shardPrefix is the prefix of the keys of shards; the snapshot's number
	// follows it.
	shardPrefix = "snapshot/"
)

// Head names a snapshot: the state after note Number, stored in Shards objects.
type Head struct {
	Number uint64 `json:"number"`
	Shards int    `json:"shards"`
	// SnapshotID is part of the shards' keys, so that shards of two writers never
	// mix.
	SnapshotID string `json:"snapshot_id"`
	// PreviousNumber is the number of the snapshot before this one, whose shards
	// are kept for instances that are still reading it.
	PreviousNumber uint64 `json:"previous_number"`
}

// readHead returns the snapshot head and its object version, both zero when there
// is no head.
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

// loadSnapshot installs the platform's snapshot if it is ahead of the replica.
// The store version that it returns was read before any note that the replica
// still lacks was requested, so a watch from there on misses none of them.
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
		f.InstallState(state)
	}
	return listing.Version, nil
}

// shardKey returns the key of one shard of a snapshot.
func (h Head) shardKey(shard int) string {
	return fmt.Sprintf("%s%0*d-%s/%04d", shardPrefix, numberDigits, h.Number, h.SnapshotID, shard)
}

// readShards reads the shards of the snapshot that head names and returns its
// state.
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
	return release.StateFromParts(head.Number, parts), nil
}
