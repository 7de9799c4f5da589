package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/placement"
)

// The bounds of an offer in a message.
const (
	maxOfferTime    = time.Minute
	maxOfferStreams = 1 << 16
)

// AssignPrompt has the lease holder of a zone choose the engine for a prompt. It reports
// false if none answers.
func (n *Network) AssignPrompt(ctx context.Context, zone string, offers []placement.Offer, limits placement.AssignmentLimits) (placement.Assignment, bool) {
	if zone == n.Self.Zone && n.Holder.Holds() {
		return n.Prompts.Assign(offers, limits), true
	}
	holder, ok := n.leaseHolder(zone)
	if !ok || n.Now().Sub(holder.lastAssignFailureAt) <= failureBackoff {
		return placement.Assignment{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := holder.client.AssignPrompt(callCtx, assignRequest(offers, limits))
	if err != nil {
		if ctx.Err() == nil {
			n.recordAssignFailure(holder.ID)
		}
		n.Log.Debug("no engine was assigned to a prompt", zap.String("peer", holder.ID), zap.Error(err))
		return placement.Assignment{}, false
	}
	if int(response.GetIndex()) >= len(offers) {
		return placement.Assignment{}, false
	}
	return placement.Assignment{
		Index:    int(response.GetIndex()),
		Delay:    time.Duration(response.GetDelayMs()) * time.Millisecond,
		Wait:     time.Duration(response.GetWaitMs()) * time.Millisecond,
		Assigned: response.GetAssigned(),
	}, true
}

// recordAssignFailure records that an instance assigned no engine: it may be cut off or
// standing still, or run an earlier version.
func (n *Network) recordAssignFailure(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[id]; ok {
		r.lastAssignFailureAt = n.Now()
	}
}

func assignRequest(offers []placement.Offer, limits placement.AssignmentLimits) *v1.AssignPromptRequest {
	m := &v1.AssignPromptRequest{ObjectiveMs: limits.Objective.Milliseconds(), MaxDelayMs: limits.MaxDelay.Milliseconds(), MaxWaitMs: limits.MaxWait.Milliseconds()}
	for _, o := range offers {
		m.TargetIds = append(m.TargetIds, string(o.Target))
		m.PrefillUs = append(m.PrefillUs, uint32(min(o.Prefill, maxOfferTime).Microseconds()))
		m.ExtraUs = append(m.ExtraUs, uint32(min(o.Extra, maxOfferTime).Microseconds()))
		m.RoomUs = append(m.RoomUs, uint32(min(o.Room, maxOfferTime).Microseconds()))
		m.Streams = append(m.Streams, uint32(min(o.Streams, maxOfferStreams)))
	}
	return m
}

// offersFrom reads the offers of a message.
func offersFrom(m *v1.AssignPromptRequest) ([]placement.Offer, error) {
	ids := m.GetTargetIds()
	for _, length := range []int{len(m.GetPrefillUs()), len(m.GetExtraUs()), len(m.GetRoomUs()), len(m.GetStreams())} {
		if len(ids) == 0 || length != len(ids) {
			return nil, ErrBadMessage.New("offers: lists of %d and %d entries", len(ids), length)
		}
	}
	offers := make([]placement.Offer, len(ids))
	for i, id := range ids {
		offers[i] = placement.Offer{
			Target:  deployment.TargetID(id),
			Prefill: offerTime(m.GetPrefillUs()[i]),
			Extra:   offerTime(m.GetExtraUs()[i]),
			Room:    offerTime(m.GetRoomUs()[i]),
			Streams: min(int(m.GetStreams()[i]), maxOfferStreams),
		}
	}
	return offers, nil
}

// offerTime returns a time of an offer, in microseconds.
func offerTime(microseconds uint32) time.Duration {
	return min(time.Duration(microseconds)*time.Microsecond, maxOfferTime)
}
