package peer

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

const (
	// loadCallTimeout bounds a load request to the lease holder.
	loadCallTimeout = 2 * time.Second
	// reserveTimeout bounds the reservation of a prompt. The prompt is sent
	// even if the reservation fails.
	reserveTimeout = 60 * time.Millisecond
	// failureBackoff is how long a lease holder is not called after a load
	// request to it failed: this instance may be partitioned from it while
	// others still reach it.
	failureBackoff = 500 * time.Millisecond
)

// Use returns what all instances together have in flight at a target.
func (n *Network) Use(id deployment.TargetID) inflight.Use {
	use := n.Tracker.Target(id)
	use.Add(n.remoteUse(id))
	return use
}

// InUse reports whether any instance has requests in flight for an adapter at a
// target.
func (n *Network) InUse(id deployment.TargetID, name deployment.AdapterName) bool {
	if n.Tracker.InFlight(id, name) {
		return true
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.fleetSums.adapterRequests(id, name) > 0
}

// remoteUse returns what the other instances have in flight at a target.
func (n *Network) remoteUse(id deployment.TargetID) inflight.Use {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.fleetSums.of(id, ownSource)
}

// MemberCount returns the number of known instances that may be running, this
// one included.
func (n *Network) MemberCount() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.remotes) + 1
}

// AliveFraction returns the fraction of the known instances that are alive or
// announced that they leave, this one included: above 0, at most 1.
func (n *Network) AliveFraction() float64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return float64(n.aliveCount()) / float64(len(n.remotes)+1)
}

// AliveCount returns the number of instances that are alive or announced that they
// leave, this one included.
func (n *Network) AliveCount() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.aliveCount()
}

// aliveCount is AliveCount for a caller that holds the lock.
func (n *Network) aliveCount() int {
	now := n.Now()
	count := 1
	for _, r := range n.remotes {
		if r.alive(now) || r.status.leaving {
			count++
		}
	}
	return count
}

// WaitingLoads returns how many loads wait for the weight store at the lease
// holder of a zone; ok is set if the lease holder can be called.
func (n *Network) WaitingLoads(zone string) (waiting int, ok bool) {
	if zone == n.Self.Zone && n.Holder.Holds() {
		return n.Holder.WaitingLoads(), true
	}
	r, ok := n.leaseHolder(zone)
	return r.status.waitingLoads, ok
}

// MayAcquireLease reports whether this instance should try to acquire its zone's
// lease: no holder can be called, and this instance is among the first relay
// candidates that reach engines.
func (n *Network) MayAcquireLease() bool {
	if _, ok := n.leaseHolder(n.Self.Zone); ok || !n.ReachesEngines() {
		return false
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	able := slices.DeleteFunc(n.relayCandidates(n.Self.Zone), func(c relayCandidate) bool { return c.remote != nil && n.anyEngines(c.remote.status.cutOff) })
	rank := slices.IndexFunc(able, func(c relayCandidate) bool { return c.remote == nil })
	return rank >= 0 && rank < relaysPerZone
}

// ReachesEngines reports whether this instance reaches the engines of all services.
func (n *Network) ReachesEngines() bool { return !n.anyEngines(n.cutOff()) }

// anyEngines reports whether one of the services has engines.
func (n *Network) anyEngines(services []string) bool {
	configuration := n.Catalog.Configuration()
	return configuration != nil && slices.ContainsFunc(services, func(name string) bool {
		s := configuration.Services[name]
		return s != nil && s.Engine != nil
	})
}

// cutOff returns the services whose targets this instance does not reach.
func (n *Network) cutOff() []string {
	if n.CutOff == nil {
		return nil
	}
	return n.CutOff()
}

// ReachingService returns the other instances that reach the targets of a service, as far
// as they have said: those that are alive and neither leaving nor cut off from it.
func (n *Network) ReachingService(service string) []Member {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	var members []Member
	for _, r := range n.remotes {
		if r.alive(now) && !r.status.leaving && !slices.Contains(r.status.cutOff, service) {
			members = append(members, r.Member)
		}
	}
	return members
}

// leaseHolder returns the other instance that holds the lease for a zone's
// engines; false if none is alive or a load request to it failed within
// failureBackoff.
func (n *Network) leaseHolder(zone string) (remote, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.Now()
	for _, r := range n.remotes {
		if r.Zone == zone && r.status.holdsLease && r.alive(now) && now.Sub(r.lastFailureAt) > failureBackoff {
			return *r, true
		}
	}
	return remote{}, false
}

// Load has an adapter loaded on an engine by the lease holder of the engine's
// zone, and records a successful result in the directory.
func (n *Network) Load(ctx context.Context, requestID string, target deployment.Target, name deployment.AdapterName, version uint64) placement.Result {
	return n.LoadRanked(ctx, requestID, target, name, version, 0)
}

// LoadRanked is Load for a request of a rank.
func (n *Network) LoadRanked(ctx context.Context, requestID string, target deployment.Target, name deployment.AdapterName, version uint64, rank inflight.Rank) placement.Result {
	var result placement.Result
	var readyAt time.Time
	if target.Zone == n.Self.Zone && n.Holder.Holds() {
		result, readyAt, version = n.Holder.LoadRanked(ctx, target.ID, name, version, rank)
	} else {
		result, readyAt, version = n.requestLoad(ctx, requestID, target, name, version, rank)
	}
	if result == placement.Ready {
		n.Directory.RecordLoad(target, placement.Resident{AdapterName: name, Version: version, ReadyAt: readyAt})
	}
	return result
}

// waitCounts counts the adapters that requests of this instance waited for:
// those that were still not loaded after their expected time, and those that
// were.
type waitCounts struct{ late, timely int }

// RecordLoadWait records whether an adapter that a request waited for was late.
// The zone's lease holder adapts its load limit to these counts; any other
// instance sends them to it with the next load request.
func (n *Network) RecordLoadWait(zone string, late bool) {
	if zone == n.Self.Zone && n.Holder.Holds() {
		n.Holder.LoadLimiter.Observe(boolToInt(late), boolToInt(!late), n.Now())
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loadWaits == nil {
		n.loadWaits = map[string]waitCounts{}
	}
	w := n.loadWaits[zone]
	w.late, w.timely = w.late+boolToInt(late), w.timely+boolToInt(!late)
	n.loadWaits[zone] = w
}

func boolToInt(set bool) int {
	if set {
		return 1
	}
	return 0
}

// popLoadWaits returns and clears the counts of a zone.
func (n *Network) popLoadWaits(zone string) (late, timely int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.loadWaits[zone]
	delete(n.loadWaits, zone)
	return w.late, w.timely
}

// requestLoad sends a load request to the lease holder of the target's zone.
// The counts of late and timely adapters that go with it are lost if the call
// fails.
func (n *Network) requestLoad(ctx context.Context, requestID string, target deployment.Target, name deployment.AdapterName, version uint64, rank inflight.Rank) (placement.Result, time.Time, uint64) {
	holder, ok := n.leaseHolder(target.Zone)
	if !ok {
		return placement.NotHolder, time.Time{}, 0
	}
	callCtx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	late, timely := n.popLoadWaits(target.Zone)
	response, err := holder.client.LoadAdapter(callCtx, &v1.LoadAdapterRequest{
		TargetId:  string(target.ID),
		Model:     name.Model,
		Adapter:   name.Adapter,
		Version:   version,
		RequestId: requestID,
		Late:      int64(late),
		Timely:    int64(timely),
		Rank:      uint32(rank),
	})
	if err != nil {
		if ctx.Err() == nil {
			n.recordFailure(holder.ID)
		}
		n.Log.Warn("load request to the lease holder failed", zap.String("request_id", requestID), zap.String("target", string(target.ID)), zap.Error(err))
		return placement.Failed, time.Time{}, 0
	}
	readyAt := n.Now().Add(time.Duration(response.GetReadyInMs()) * time.Millisecond)
	return resultFrom(response.GetResult()), readyAt, response.GetVersion()
}

// ReservePrompt reserves time on an engine for a prompt at the zone's lease
// holder, and returns how long to delay the prompt; zero when no holder
// answers.
func (n *Network) ReservePrompt(ctx context.Context, target deployment.Target, tokens int) time.Duration {
	if target.Zone == n.Self.Zone && n.Holder.Holds() {
		return n.Prompts.Reserve(target.ID, tokens)
	}
	holder, ok := n.leaseHolder(target.Zone)
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := holder.client.ReservePrompt(ctx, &v1.ReservePromptRequest{TargetId: string(target.ID), Tokens: int64(tokens)})
	if err != nil {
		n.Log.Debug("prompt reservation failed", zap.String("target", string(target.ID)), zap.Error(err))
		return 0
	}
	return time.Duration(response.GetDelayMs()) * time.Millisecond
}

// recordFailure records that a load request to an instance failed.
func (n *Network) recordFailure(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[id]; ok {
		r.lastFailureAt = n.Now()
	}
}
