package instance

import (
	"context"
	"time"

	"heatherrelay/internal/objectstore"
)

// Resync reads all group records of the zone again. An instance whose lease has
// lapsed calls it before it relies on its groups again, because other instances
// may have acquired them and its watch may not have reported that yet.
func (w *Ownership) Resync(ctx context.Context) error {
	w.init()
	requestedAt := time.Now()
	listing, err := w.Store.List(ctx, groupPrefix+w.Zone+"/")
	if err != nil {
		return err
	}
	w.applyUpdate(objectstore.Update{Full: true, Objects: listing.Objects, Version: listing.Version, RequestedAt: requestedAt, ReceivedAt: time.Now()})
	return nil
}
