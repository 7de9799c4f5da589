// Package evacuation answers whether the targets of an availability zone may get requests:
// the operators have zones evacuated by an object in the store, of which each instance holds
// a replica.
package evacuation

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// confirmationMargin is how long before Limit a confirmation counts as too old, since
	// a request that is sent then still takes time to reach its target.
	confirmationMargin = 500 * time.Millisecond
	// wakeTime is how long after a suspension nothing is sent before the evacuations are
	// confirmed. It is enough for several reads of the store and exchanges with peers.
	wakeTime = 2 * time.Second
)

// Status says whether the targets of a zone may get requests.
type Status string

// The statuses of a zone.
const (
	Open      Status = "open"
	Evacuated Status = "evacuated"
	// Unconfirmed means that this instance cannot know yet whether the zone is evacuated: it
	// has just started, or was suspended.
	Unconfirmed Status = "unconfirmed"
)

// Zones knows the evacuated zones. A nil *Zones, and one without a limit, has all zones
// open. It is safe for concurrent use. Set the exported fields before the first use.
//
// A zone that is known to be evacuated stays so until a newer state of the store says
// otherwise, however old the last confirmation. The other zones stay open while the store
// and all peers are away, except to an instance that was suspended: it may have missed an
// evacuation that all others know, and learns it as soon as it reaches any of them.
type Zones struct {
	// Limit is the time within which an evacuation must be in force; zero if there are none.
	Limit time.Duration
	// ConfirmedAt returns when a read was sent that last confirmed the evacuated zones, by
	// this instance or a peer, and was applied; zero if there was none. It may wait for Apply.
	ConfirmedAt func() time.Time
	// WokeWithin reports whether the process was suspended until less than a time ago.
	WokeWithin func(time.Duration) bool
	// OnEnd is called with the zones whose evacuation ends before their targets get requests
	// again; may be nil. It must not call Zones.
	OnEnd func(zones []string)
	Now   func() time.Time
	Log   *zap.Logger

	mu        sync.Mutex
	evacuated map[string]time.Time
}

// Apply replaces the evacuated zones, and returns those whose evacuation has ended.
func (z *Zones) Apply(zones map[string]bool) (ended []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.Now()
	evacuated := make(map[string]time.Time, len(zones))
	for zone := range zones {
		since, known := z.evacuated[zone]
		if !known {
			since = now
			z.Log.Info("evacuation of a zone is in force", zap.String("zone", zone))
		}
		evacuated[zone] = since
	}
	for zone, since := range z.evacuated {
		if _, still := evacuated[zone]; !still {
			ended = append(ended, zone)
			z.Log.Info("evacuation of a zone has ended", zap.String("zone", zone), zap.Duration("after", now.Sub(since)))
		}
	}
	if z.OnEnd != nil && len(ended) > 0 {
		z.OnEnd(ended)
	}
	z.evacuated = evacuated
	return ended
}

// Status returns whether the targets of a zone may get requests now.
func (z *Zones) Status(zone string) Status {
	if z == nil || z.Limit <= 0 {
		return Open
	}
	confirmedAt := z.ConfirmedAt()
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.Now()
	_, evacuated := z.evacuated[zone]
	switch {
	case confirmedAt.IsZero():
		return Unconfirmed
	case evacuated:
		return Evacuated
	case now.Sub(confirmedAt) > z.Limit-confirmationMargin && z.WokeWithin(wakeTime):
		return Unconfirmed
	}
	return Open
}

// Statuses returns a function that answers as Status does, for one choice among many targets.
func (z *Zones) Statuses() func(zone string) Status {
	if z == nil || z.Limit <= 0 {
		return z.Status
	}
	known := map[string]Status{}
	return func(zone string) Status {
		status, ok := known[zone]
		if !ok {
			status = z.Status(zone)
			known[zone] = status
		}
		return status
	}
}

// Allows reports whether the targets of a zone may get requests now.
func (z *Zones) Allows(zone string) bool { return z.Status(zone) == Open }

// Known reports whether the evacuated zones are known.
func (z *Zones) Known() bool { return z == nil || z.Limit <= 0 || !z.ConfirmedAt().IsZero() }
