package peer

import (
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// changeCursor holds the numbers of the last changes received from an instance, and of
// those that the instance has received.
type changeCursor struct {
	// teamUsage and engines are numbers of an instance of protocol version 0.
	teamUsage, engines uint64
	notices, pushed    noticeCursor
}

// noticeCursor holds the numbers of the last changes of the notices about targets, which
// every instance sends to its partners and returns to those that call it.
type noticeCursor struct{ crashes, limits, speeds uint64 }

// applyNotices applies the notices of a response, and advances the cursor of the
// responder.
func (n *Network) applyNotices(response *v1.ExchangeResponse) {
	n.mergeCrashes(response.GetCrashes())
	n.mergeLimits(response.GetLimits())
	n.receiveSpeeds(response.GetResponder(), response.GetSpeeds(), response.GetSpeedsChange())
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[response.GetResponder().GetMember().GetInstanceId()]; ok {
		r.cursor.notices = noticeCursor{crashes: response.GetCrashesChange(), limits: response.GetLimitsChange(), speeds: response.GetSpeedsChange()}
	}
}

// addNotices adds the notices that a requester lacks to a response.
func (n *Network) addNotices(response *v1.ExchangeResponse, request *v1.ExchangeRequest, requester Member) {
	var known noticeCursor
	if request.GetChangesSource() == n.Incarnation {
		known = noticeCursor{crashes: request.GetCrashesAfter(), limits: request.GetLimitsAfter(), speeds: request.GetSpeedsAfter()}
	}
	response.Crashes, response.CrashesChange = n.crashesSince(known.crashes)
	response.Limits, response.LimitsChange = n.limitsSince(known.limits)
	speeds, number := n.StateSpeeds(requester, request.GetRelaying(), known.speeds)
	response.Speeds, response.SpeedsChange = speedsMessage(speeds), number
}

// recordPushed records that the instance with an id has received the notices up to
// given change numbers. An incarnation that has started since the request was built
// lacks the earlier ones.
func (n *Network) recordPushed(id string, pushed noticeCursor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[id]; ok {
		r.cursor.pushed = noticeCursor{
			crashes: max(r.cursor.pushed.crashes, pushed.crashes), limits: max(r.cursor.pushed.limits, pushed.limits), speeds: pushed.speeds,
		}
	}
}
