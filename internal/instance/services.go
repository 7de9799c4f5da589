package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

// serviceTargets returns the targets of a plain service in this zone, without
// those that are leaving.
func (i *Instance) serviceTargets(service string) []objectstore.TargetEntry {
	return i.serviceTargetsIn(i.Settings.Zone, service)
}

func (i *Instance) serviceTargetsIn(zone, service string) []objectstore.TargetEntry {
	var targets []objectstore.TargetEntry
	for _, e := range i.directory.Targets() {
		if e.Zone == zone && e.Kind == objectstore.TargetService && e.Service == service && !e.Leaving {
			targets = append(targets, e)
		}
	}
	return targets
}

// forwardCall sends a plain service call through a random ready instance of
// another zone that has a target for it.
func (i *Instance) forwardCall(ctx context.Context, c dispatch.Call) (dispatch.Reply, error) {
	var addresses []netip.AddrPort
	for _, l := range i.directory.Live("") {
		if l.Zone != i.Settings.Zone && l.Ready && !l.Leaving && len(i.serviceTargetsIn(l.Zone, c.Service)) > 0 {
			addresses = append(addresses, l.Peer)
		}
	}
	if len(addresses) == 0 {
		return dispatch.Reply{}, refusal.NotRun(refusal.CodeNoTarget, "no target of service %s can be reached", c.Service).WithRetryAfter(noTargetRetryAfter)
	}
	return i.peers.Call(ctx, addresses[rand.IntN(len(addresses))], c)
}
