package relay

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/object"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/wait"
)

// The pace of the registration.
const (
	registerRetry = 500 * time.Millisecond
	// discoverInterval is the time between looks for instances that nobody told of.
	discoverInterval = time.Second
	// heardInterval is the same for an instance that hears others, which tell it.
	heardInterval = 20 * time.Second
)

// storedInstance is the value of an instance's object.
type storedInstance struct {
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// register writes this instance's object once and looks for other instances.
func (r *Relay) register(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		pause := discoverInterval
		if r.network.Members() > 1 {
			pause = heardInterval
		}
		if !registered {
			err := r.writeInstance(ctx)
			registered = err == nil
			if err != nil {
				pause = registerRetry
				r.Log.Warn("instance not registered", zap.Error(err))
			}
		}
		if err := r.discover(ctx, r.network.Members() > 1); err != nil {
			r.Log.Debug("instances not listed", zap.Error(err))
		}
		if wait.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (r *Relay) writeInstance(ctx context.Context) error {
	value := storedInstance{Zone: r.Settings.Zone, Address: r.Settings.Listen.Peers}
	_, err := r.Store.Create(ctx, instanceKind, r.Settings.InstanceID, value)
	if !object.ErrConflict.Has(err) {
		return err
	}
	former, err := r.Store.Get(ctx, instanceKind, r.Settings.InstanceID)
	if err != nil {
		return err
	}
	_, err = r.Store.Replace(ctx, instanceKind, r.Settings.InstanceID, former.Revision, value)
	return err
}

// discover takes the instances that the store lists. Objects of instances that
// are gone stay there; the network forgets those that do not answer.
func (r *Relay) discover(ctx context.Context, stale bool) error {
	page, err := r.Store.List(ctx, instanceKind, stale)
	if err != nil {
		return err
	}
	for _, o := range page.Objects {
		var stored storedInstance
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			r.Log.Warn("instance entry unreadable", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		r.network.Learn(peer.Member{ID: o.Name, Zone: stored.Zone, Address: stored.Address})
	}
	return nil
}
