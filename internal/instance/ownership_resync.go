package instance

import (
	"context"
	"time"

	"heatherrelay/internal/objectstore"
)

// Resync reads the zone's groups anew. An instance whose lease had lapsed does
// so before it counts on its groups again: others may have taken them, and its
// watch may not have told yet.
func (w *Ownership) Resync(ctx context.Context) error {
	w.init()
	asked := time.Now()
	listing, err := w.Store.List(ctx, groupPrefix+w.Zone+"/")
	if err != nil {
		return err
	}
	w.observe(objectstore.Update{Full: true, Objects: listing.Objects, Version: listing.Version, Asked: asked, Received: time.Now()})
	return nil
}
