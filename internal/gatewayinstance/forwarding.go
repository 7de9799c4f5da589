package gatewayinstance

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/forwarding"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/reach"
	"heatherrelay/internal/upstream"
)

// forwardAdmissionPeriod is how long a leaving instance still carries out attempts of its
// peers, which learn in this time that it leaves.
const forwardAdmissionPeriod = time.Second

// assembleForwarding creates the components that send attempts to targets, directly or
// through peers. The network, the crash ledger and the server must exist.
func (i *Instance) assembleForwarding() {
	i.forwardClient = &forwarding.Client{Peers: i.forwardingPeers, Upstream: i.client, Memory: i.memory, Now: clock.Now, Log: i.Log}
	i.reach = &reach.Monitor{
		Zone: i.Settings.Zone, Probe: i.client.Probe, PeerProbe: i.forwardClient.Probe, Targets: i.catalog.Targets, OnChange: i.pathChanged, Now: clock.Now, Log: i.Log,
	}
	i.client.OnConnect, i.client.OnSkipped = i.reach.RecordConnected, i.logSkipped
	monitor := &liveness.Monitor{Open: i.client.Open, Probe: i.client.Probe, OnFinding: i.countFindings(), Log: i.Log}
	direct := &forwarding.Direct{Upstream: i.client, Limits: i.limits, Liveness: monitor, Withheld: i.server.Withheld}
	sender := &forwarding.Sender{Direct: direct, Reach: i.reach, Peers: i.forwardClient, TargetAt: i.targetAt}
	i.server.Send, i.server.OnFailure = sender.Do, i.reach.Suspect
	i.crashDetector.Probe = sender.Probe
	i.forwardServer = &forwarding.Server{
		Direct:       direct,
		Target:       i.listedTarget,
		Availability: i.server.Availability,
		Blocked:      i.requestBlocked,
		Unable:       i.unableToForward,
		Cut:          i.reach.Cut,
		Memory:       i.memory,
		Log:          i.Log,
	}
	i.server.Forwarded = i.forwardServer.InFlight
	i.network.Forwarding, i.network.CutOff = i.forwardServer.Handler, i.reach.CutOffServices
	i.lease.Usable = i.network.ReachesEngines
	i.holder.OnUnanswered = i.reach.Suspect
}

// pathChanged forgets what this instance knows of the path to a target, and tells the peers
// if it is cut off from another set of services.
func (i *Instance) pathChanged(target deployment.Target, cut bool) {
	i.detector.Reset(target.ID)
	if cut {
		i.client.CloseIdleTo(target.Address)
	}
	services := i.reach.CutOffServices()
	if previous := i.cutOffServices.Swap(&services); previous != nil && slices.Equal(*previous, services) {
		return
	}
	i.Log.Info("services reached through peers changed", zap.Strings("services", services))
	i.network.TriggerExchange()
}

// logSkipped logs an answer of a target that is not the one to the request that its
// connection carries.
func (i *Instance) logSkipped(address netip.AddrPort, requestID string, head *upstream.ResponseHead) {
	i.Log.Info("answer to no request under way skipped", zap.Stringer("address", address), zap.String("request_id", requestID),
		zap.String("named", head.RequestID), zap.Int("status", head.Status), zap.Bool("not_run", head.NotRun))
}

// forwardingPeers returns the instances that may carry out attempts at a service.
func (i *Instance) forwardingPeers(service string) []forwarding.Peer {
	var peers []forwarding.Peer
	for _, m := range i.network.ReachingService(service) {
		peers = append(peers, forwarding.Peer{ID: m.ID, Address: m.Address, SameZone: m.Zone == i.Settings.Zone, Region: i.Settings.Zones[m.Zone]})
	}
	return peers
}

func (i *Instance) listedTarget(id deployment.TargetID) (deployment.Target, bool) {
	t, ok := i.catalog.Targets()[id]
	return t, ok
}

func (i *Instance) targetAt(address netip.AddrPort) (deployment.Target, bool) {
	for _, t := range i.catalog.Targets() {
		if t.Address == address {
			return t, true
		}
	}
	return deployment.Target{}, false
}

func (i *Instance) requestBlocked(possibleCauses []string) bool {
	_, blocked := i.crashes.Blocked(possibleCauses)
	return blocked
}

// unableToForward returns why this instance carries out no attempts of its peers; empty if
// it does.
func (i *Instance) unableToForward() string {
	if leavingFor, leaving := i.leavingFor(); leaving && leavingFor > forwardAdmissionPeriod {
		return "shutting down"
	}
	return ""
}
