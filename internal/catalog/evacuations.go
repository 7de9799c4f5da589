package catalog

import (
	"maps"
	"time"

	"heatherrelay/internal/platformstore"
)

const (
	// evacuationReadFraction is the part of the limit of evacuations within which replicas
	// are kept current. The rest is left for an instance that reads the store itself since
	// its peers fell silent, and for requests that are on their way.
	evacuationReadFraction = 0.6
	// maxZoneNameLength bounds the name of a zone.
	maxZoneNameLength = 512
)

// evacuationValue replaces the value of an object that evacuates a zone: only the name
// counts, whatever another program has written below it.
var evacuationValue = []byte("{}")

// initEvacuations creates the follower of the evacuated zones.
func (c *Catalog) initEvacuations() {
	limit := fraction(evacuationReadFraction, c.EvacuationLimit)
	c.evacuationsFollower = c.follower(c.Kinds.Evacuations, usual(limit), c.applyEvacuations)
	c.evacuationsFollower.Check = checkEvacuation
	c.evacuationsFollower.Sanitize = func(o platformstore.Object) platformstore.Object {
		o.Value = evacuationValue
		return o
	}
}

func checkEvacuation(o platformstore.Object) error {
	if o.Name == "" || len(o.Name) > maxZoneNameLength {
		return platformstore.ErrMalformed.New("%.100q is no zone", o.Name)
	}
	return nil
}

// EvacuationsConfirmedAt returns when the read was sent that last confirmed the evacuated
// zones; zero if there was none. It waits for a change that is being applied.
func (c *Catalog) EvacuationsConfirmedAt() time.Time {
	c.init()
	return c.evacuationsFollower.appliedState().ConfirmedAt
}

// applyEvacuations replaces the evacuated zones by those that the store names. One that a
// store restored from a copy lacks stays evacuated until the operator had time to write it
// again.
func (c *Catalog) applyEvacuations(objects []platformstore.Object) {
	zones := map[string]bool{}
	for _, o := range objects {
		zones[o.Name] = true
	}
	if restore := c.evacuationsFollower.LastRestore(); !restore.At.IsZero() && !restore.settled(c.Now()) {
		before := len(zones)
		maps.Copy(zones, c.evacuated)
		if len(zones) > before {
			time.AfterFunc(restore.At.Add(rewriteGrace).Sub(c.Now()), c.evacuationsFollower.Renotify)
		}
	}
	c.evacuated = zones
	if c.OnEvacuationsChange != nil {
		c.OnEvacuationsChange(maps.Clone(zones))
	}
}
