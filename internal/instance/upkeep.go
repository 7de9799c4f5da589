package instance

import (
	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
)

// Upkeep of what the fleet shares in the platform: every instance runs these
// duties, and conditional writes decide which one's work counts.

// sweeper removes the leases of instances that crashed and are gone.
func (i *Instance) sweeper() *objectstore.LeaseSweeper {
	return &objectstore.LeaseSweeper{
		Store:  i.store(),
		Swept:  func(id string) { i.Log.Info("lease_swept", zap.String("instance", id)) },
		Failed: func(err error) { i.Log.Debug("lease_sweep_failed", zap.Error(err)) },
	}
}

// snapshots writes the state of releases, so that later instances start fast.
func (i *Instance) snapshots() *publication.SnapshotWriter {
	return &publication.SnapshotWriter{
		Store:  i.store(),
		State:  i.follower.State,
		ID:     i.Settings.Instance,
		Peers:  i.peerIDs,
		Failed: func(err error) { i.Log.Warn("snapshot_not_written", zap.Error(err)) },
	}
}
