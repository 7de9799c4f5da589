package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

// localZoneAttempts is the number of attempts in this zone before each attempt
// in another zone.
const localZoneAttempts = 2

// forwardZone returns the zone to forward the next attempt to, and false if the
// attempt stays in this zone. The first attempt goes to the adapter's preferred
// zone, unless a copy in this zone can serve it. Later, every third attempt goes
// to a random other zone, or every attempt if this zone lists no target of the model.
func (r *Router) forwardZone(t *routedRequest) (string, bool) {
	if !t.mayForward {
		return "", false
	}
	zones := r.reachableZones(t.model)
	if t.attempts == 0 {
		return r.preferredZone(t, zones)
	}
	localListed := false
	var others []string
	for _, z := range zones {
		localListed = localListed || z.Zone == r.Zone
		if z.Zone != r.Zone {
			others = append(others, z.Zone)
		}
	}
	forwardTurn := !localListed || t.attempts%(localZoneAttempts+1) == localZoneAttempts
	if len(others) == 0 || !forwardTurn {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// preferredZone returns the zone that the adapter hashes to, if it is another
// zone and no target of this zone has the adapter resident and can serve it soon.
func (r *Router) preferredZone(t *routedRequest, zones []adapter.ZoneInfo) (string, bool) {
	r.mu.Lock()
	hasCopy := r.view.HasAvailableCopy(t.request.Adapter, t.model)
	r.mu.Unlock()
	if hasCopy {
		return "", false
	}
	zone, ok := adapter.ChooseZone(t.request.Adapter, zones)
	return zone, ok && zone != r.Zone
}

// reachableZones returns the zones that have listed engines of a base model and,
// except for this zone, an instance that requests can be forwarded to. Slots is
// set to the number of engines. LoadTokens is not set, because the loads of other
// zones are not known here.
func (r *Router) reachableZones(model string) []adapter.ZoneInfo {
	reachable := map[string]bool{r.Zone: true}
	for _, l := range r.Directory.Live("") {
		reachable[l.Zone] = reachable[l.Zone] || r.mayForwardTo(l)
	}
	targets := map[string]int{}
	for _, e := range r.Directory.Targets() {
		if e.Kind == objectstore.TargetEngine && e.BaseModel == model && !e.Leaving && reachable[e.Zone] {
			targets[e.Zone]++
		}
	}
	zones := make([]adapter.ZoneInfo, 0, len(targets))
	for zone, n := range targets {
		zones = append(zones, adapter.ZoneInfo{Zone: zone, Slots: n})
	}
	return zones
}

// mayForwardTo reports whether a request can be forwarded to an instance: it is
// ready, not leaving, and not suspect because of a failed call.
func (r *Router) mayForwardTo(l objectstore.InstanceLease) bool {
	return l.Ready && !l.Leaving && !r.Peers.Suspect(l.Peer)
}

// forward sends the request to a random instance of another zone, which chooses
// the target there.
func (r *Router) forward(ctx context.Context, zone string, request target.Request, t *routedRequest, emit target.Emit) (target.Usage, error) {
	var addresses []netip.AddrPort
	for _, l := range r.Directory.Live(zone) {
		if r.mayForwardTo(l) {
			addresses = append(addresses, l.Peer)
		}
	}
	if len(addresses) == 0 {
		return target.Usage{}, refusal.NotRun(refusal.CodeNoTarget, "no instance of another zone can be reached").WithRetryAfter(noTargetRetryAfter)
	}
	request.TargetID = ""
	t.request.TargetID = ""
	return r.Peers.Execute(ctx, addresses[rand.IntN(len(addresses))], request, emit)
}
