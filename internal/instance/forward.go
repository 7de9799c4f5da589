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

// ownZoneAttempts is how many refusals in this zone send a request to another.
const ownZoneAttempts = 2

// otherZone returns the zone to which the request is forwarded now: at first
// the adapter's home zone, unless the adapter is resident here; later, in turn
// with this zone, any other.
func (r *Router) otherZone(t *routedRequest) (string, bool) {
	if !t.mayForward {
		return "", false
	}
	zones := r.zones(t.model)
	if t.attempts == 0 {
		return r.homeZone(t, zones)
	}
	own := false
	var others []string
	for _, z := range zones {
		own = own || z.Zone == r.Zone
		if z.Zone != r.Zone {
			others = append(others, z.Zone)
		}
	}
	turn := !own || t.attempts%(ownZoneAttempts+1) == ownZoneAttempts
	if len(others) == 0 || !turn {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// homeZone returns the zone that an adapter without a copy here belongs to, if
// it is another one.
func (r *Router) homeZone(t *routedRequest, zones []adapter.ZoneInfo) (string, bool) {
	r.mu.Lock()
	here := r.view.HasCopy(t.request.Adapter, t.model)
	r.mu.Unlock()
	if here {
		return "", false
	}
	zone, ok := adapter.ChooseZone(t.request.Adapter, zones)
	return zone, ok && zone != r.Zone
}

// zones returns the zones that list usable targets of a model, and in which a
// ready instance was heard of. Their loads are not known here.
func (r *Router) zones(model string) []adapter.ZoneInfo {
	reachable := map[string]bool{r.Zone: true}
	for _, l := range r.Directory.Live("") {
		reachable[l.Zone] = reachable[l.Zone] || r.takes(l)
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

// takes reports whether an instance of another zone may be sent a request.
func (r *Router) takes(l objectstore.InstanceLease) bool {
	return l.Ready && !l.Leaving && !r.Peers.Suspect(l.Peer)
}

// forward sends the request to an instance of another zone, which chooses the
// target there.
func (r *Router) forward(ctx context.Context, zone string, request target.Request, t *routedRequest, emit target.Emit) (target.Usage, error) {
	var addresses []netip.AddrPort
	for _, l := range r.Directory.Live(zone) {
		if r.takes(l) {
			addresses = append(addresses, l.Peer)
		}
	}
	if len(addresses) == 0 {
		return target.Usage{}, refusal.NotRun(refusal.CodeNoTarget, "no instance of another zone can be reached").After(noTargetRetry)
	}
	request.TargetID = ""
	t.request.TargetID = ""
	return r.Peers.Execute(ctx, addresses[rand.IntN(len(addresses))], request, emit)
}
