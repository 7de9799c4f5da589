package instance

import (
	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
)

// This file holds the maintenance of the data that all instances share in the
// platform. Every instance runs these background tasks, and conditional writes
// decide whose changes take effect.

// leaseSweeper returns the task that removes the leases of instances that ended
// without releasing them and are no longer listed by the platform.
func (i *Instance) leaseSweeper() *objectstore.LeaseSweeper {
	return &objectstore.LeaseSweeper{
		Store:     i.store(),
		OnDeleted: func(id string) { i.Log.Info("lease_swept", zap.String("instance", id)) },
		OnError:   func(err error) { i.Log.Debug("lease_sweep_failed", zap.Error(err)) },
	}
}

// snapshotWriter returns the task that writes snapshots of the release state, so
// that instances starting later need not read all releases.
func (i *Instance) snapshotWriter() *publication.SnapshotWriter {
	return &publication.SnapshotWriter{
		Store:   i.store(),
		State:   i.follower.State,
		ID:      i.Settings.Instance,
		Peers:   i.peerIDs,
		OnError: func(err error) { i.Log.Warn("snapshot_not_written", zap.Error(err)) },
	}
}
