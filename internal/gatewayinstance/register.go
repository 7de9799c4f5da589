package gatewayinstance

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/wait"
)

// The timing of registration and discovery.
const (
	registerRetryDelay = 500 * time.Millisecond
	// discoverInterval is the time between listings of the instances in the store
	// while no peer is known.
	discoverInterval = time.Second
	// connectedDiscoverInterval is the same for the first instances of a zone once they
	// have peers, which report new instances to them; firstDiscoverDelay is the time from
	// the start to the first of these listings. The other instances learn from them.
	connectedDiscoverInterval = 20 * time.Second
	firstDiscoverDelay        = 3 * time.Second
	// discoveringRanks is how many instances of a zone list the instances in the store.
	discoveringRanks = 2
)

// storedInstance is the value of an instance's object in the store.
type storedInstance struct {
	Zone string `json:"zone"`
	// Address is where the instance serves the protocol between instances.
	Address netip.AddrPort `json:"address"`
}

// register writes this instance's object to the store, retrying until it succeeds,
// and discovers other instances until ctx ends. It writes the object again after the
// store was restored from a copy, which may be older than the object.
func (i *Instance) register(ctx context.Context) {
	registered, writtenIn := false, uint64(0)
	discoveredAt := clock.Now().Add(firstDiscoverDelay - connectedDiscoverInterval)
	for ctx.Err() == nil {
		pause := discoverInterval
		if generation := i.catalog.StoreGeneration(); !registered || generation > writtenIn {
			err := i.writeInstance(ctx)
			if registered = err == nil; registered {
				writtenIn = max(generation, i.Store.Generation())
			} else {
				pause = registerRetryDelay
				i.Log.Warn("instance registration failed", zap.Error(err))
			}
		}
		if connected := i.network.MemberCount() > 1; !connected || i.discovers() && clock.Since(discoveredAt) >= connectedDiscoverInterval {
			discoveredAt = clock.Now()
			if err := i.discover(ctx, connected); err != nil {
				i.Log.Debug("instances cannot be listed", zap.Error(err))
			}
		}
		if wait.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// discovers reports whether this instance lists the instances in the store on behalf of
// its zone.
func (i *Instance) discovers() bool {
	rank := i.network.Rank()
	return rank >= 0 && rank < discoveringRanks
}

// writeInstance creates this instance's object in the store, or replaces the one
// that an earlier incarnation left if that has other contents.
func (i *Instance) writeInstance(ctx context.Context) error {
	value := storedInstance{Zone: i.Settings.Zone, Address: i.Settings.Listen.Peers}
	_, err := i.Store.Create(ctx, instanceKind, i.Settings.InstanceID, value)
	if !platformstore.ErrConflict.Has(err) {
		return err
	}
	previous, err := i.Store.Get(ctx, instanceKind, i.Settings.InstanceID)
	if err != nil {
		return err
	}
	var stored storedInstance
	if json.Unmarshal(previous.Value, &stored) == nil && stored == value {
		return nil
	}
	_, err = i.Store.Replace(ctx, instanceKind, i.Settings.InstanceID, previous.Revision, value)
	return err
}

// discover adds the instances that the store lists to the network. The objects of
// instances that are gone stay in the store; the network forgets an instance that
// does not respond. With stale set, the listing may be seconds old.
func (i *Instance) discover(ctx context.Context, stale bool) error {
	page, err := i.Store.List(ctx, instanceKind, stale)
	if err != nil {
		return err
	}
	skipped := 0
	for _, o := range page.Objects {
		m, ok := decodeInstance(o)
		if !ok {
			skipped++
			continue
		}
		i.network.AddMember(m)
	}
	if skipped > 0 {
		i.Log.Warn("instance entries cannot be decoded, skipped", zap.Int("entries", skipped))
	}
	return nil
}

// maxInstanceNameBytes bounds the name and the zone of an instance.
const maxInstanceNameBytes = 512

// decodeInstance decodes an instance's object. It returns false for one that no instance
// wrote.
func decodeInstance(o platformstore.Object) (peer.Member, bool) {
	var stored storedInstance
	if json.Unmarshal(o.Value, &stored) != nil {
		return peer.Member{}, false
	}
	usable := stored.Zone != "" && max(len(o.Name), len(stored.Zone)) <= maxInstanceNameBytes && stored.Address.Port() != 0 && !stored.Address.Addr().IsUnspecified()
	return peer.Member{ID: o.Name, Zone: stored.Zone, Address: stored.Address}, usable
}
