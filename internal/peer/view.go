package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/load"
	"heatherrelay/internal/placement"
)

const (
	// loadCallTimeout bounds the wish for an adapter.
	loadCallTimeout = 2 * time.Second
	// reserveTimeout bounds the announcement of a prompt; it is sent all the same.
	reserveTimeout = 60 * time.Millisecond
	// failedPause is how long a holder of orders is not asked after a call failed:
	// an instance may be cut off from it though others hear it.
	failedPause = 500 * time.Millisecond
)

// Use returns what all instances have under way at a target.
func (n *Network) Use(id deployment.TargetID) load.Use {
	use := n.Tracker.Target(id)
	use.Add(n.othersUse(id))
	return use
}

// InUse says whether any instance has requests for an adapter at a target.
func (n *Network) InUse(id deployment.TargetID, name deployment.AdapterName) bool {
	if n.Tracker.Running(id, name) {
		return true
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	for _, r := range n.remotes {
		if n.countsDirectly(r) && now.Sub(r.toldAt) <= useTime && r.uses[id].Adapters[name] > 0 {
			return true
		}
	}
	for _, z := range n.zones {
		if now.Sub(z.at) <= useTime && z.uses[id].Adapters[name] > 0 {
			return true
		}
	}
	return false
}

// Members returns the number of instances that may be running.
func (n *Network) Members() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.remotes) + 1
}

// Fraction returns the part of the instances that this one hears, from above 0 to 1.
func (n *Network) Fraction() float64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	heard := 1
	for _, r := range n.remotes {
		if r.heard(now) || r.leaving {
			heard++
		}
	}
	return float64(heard) / float64(len(n.remotes)+1)
}

// Orders says whether somebody who orders a zone's engines can be asked, and how
// many adapters wait for the weight store there.
func (n *Network) Orders(zone string) (waiting int, ok bool) {
	if zone == n.Self.Zone && n.Holder.Holds() {
		return n.Holder.WaitingLoads(), true
	}
	r, ok := n.holder(zone)
	return r.waiting, ok
}

// MayOrder says that this instance should try to take the orders of its zone:
// nobody is heard who has them, and it is one of the first to relay.
func (n *Network) MayOrder() bool {
	if _, ok := n.holder(n.Self.Zone); ok {
		return false
	}
	rank := n.Rank()
	return rank >= 0 && rank < relaysPerZone
}

// holder returns the instance that orders a zone's engines.
func (n *Network) holder(zone string) (remote, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	for _, r := range n.remotes {
		if r.Zone == zone && r.holds && r.heard(now) && now.Sub(r.failedAt) > failedPause {
			return *r, true
		}
	}
	return remote{}, false
}

// Load has an adapter loaded on an engine, by whoever orders the engine.
func (n *Network) Load(ctx context.Context, requestID string, target deployment.Target, name deployment.AdapterName, version uint64) placement.Result {
	var result placement.Result
	var readyAt time.Time
	if target.Zone == n.Self.Zone && n.Holder.Holds() {
		result, readyAt, version = n.Holder.Load(ctx, target.ID, name, version)
	} else {
		result, readyAt, version = n.askHolder(ctx, requestID, target, name, version)
	}
	if result == placement.Ready {
		n.Directory.Note(target, placement.Resident{AdapterName: name, Version: version, ReadyAt: readyAt})
	}
	return result
}

// waits counts the adapters that this instance waited for, by zone.
type waits struct{ late, timely int }

// NoteWait notes whether an adapter that a request waited for was late. Whoever
// orders the zone's engines is told with the next wish.
func (n *Network) NoteWait(zone string, late bool) {
	if zone == n.Self.Zone && n.Holder.Holds() {
		n.Holder.Pace.Note(count(late), count(!late), n.Now())
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waits == nil {
		n.waits = map[string]waits{}
	}
	w := n.waits[zone]
	w.late, w.timely = w.late+count(late), w.timely+count(!late)
	n.waits[zone] = w
}

func count(one bool) int {
	if one {
		return 1
	}
	return 0
}

// takeWaits returns what was noted for a zone since the last call.
func (n *Network) takeWaits(zone string) (late, timely int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.waits[zone]
	delete(n.waits, zone)
	return w.late, w.timely
}

func (n *Network) askHolder(ctx context.Context, requestID string, target deployment.Target, name deployment.AdapterName, version uint64) (placement.Result, time.Time, uint64) {
	holder, ok := n.holder(target.Zone)
	if !ok {
		return placement.NotHolder, time.Time{}, 0
	}
	callCtx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	late, timely := n.takeWaits(target.Zone)
	response, err := holder.client.LoadAdapter(callCtx, &v1.LoadAdapterRequest{
		TargetId:  string(target.ID),
		Model:     name.Model,
		Adapter:   name.Adapter,
		Version:   version,
		RequestId: requestID,
		Late:      int64(late),
		Timely:    int64(timely),
	})
	if err != nil {
		if ctx.Err() == nil {
			n.noteFailed(holder.ID)
		}
		n.Log.Warn("no answer from the holder of the orders", zap.String("request_id", requestID), zap.String("target", string(target.ID)), zap.Error(err))
		return placement.Failed, time.Time{}, 0
	}
	readyAt := n.Now().Add(time.Duration(response.GetReadyInMs()) * time.Millisecond)
	return resultFrom(response.GetResult()), readyAt, response.GetVersion()
}

// ReservePrompt announces a prompt for an engine to whoever holds its orders, and
// returns how long it should be kept back; zero when nobody answers.
func (n *Network) ReservePrompt(ctx context.Context, target deployment.Target, tokens int) time.Duration {
	if target.Zone == n.Self.Zone && n.Holder.Holds() {
		return n.Prompts.Reserve(target.ID, tokens)
	}
	holder, ok := n.holder(target.Zone)
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := holder.client.ReservePrompt(ctx, &v1.ReservePromptRequest{TargetId: string(target.ID), Tokens: int64(tokens)})
	if err != nil {
		n.Log.Debug("prompt not announced", zap.String("target", string(target.ID)), zap.Error(err))
		return 0
	}
	return time.Duration(response.GetDelayMs()) * time.Millisecond
}

// noteFailed notes that a call to an instance failed.
func (n *Network) noteFailed(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[id]; ok {
		r.failedAt = n.Now()
	}
}
