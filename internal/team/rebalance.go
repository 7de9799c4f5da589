package team

import (
	"context"
	"time"
)

// maxRebalanced limits the allowances rebalanced per interval, and so the
// number of messages.
const maxRebalanced = 8

// plannedTransfer is a transfer to request for rebalancing.
type plannedTransfer struct {
	peer   Peer
	name   string
	tokens float64
}

// rebalanceLoop requests tokens from peers ahead of need, so that no slice
// overflows while another is exhausted.
func (a *Allowances) rebalanceLoop(ctx context.Context) {
	if a.RequestTransfer == nil || a.Peers == nil {
		return
	}
	ticker := time.NewTicker(RebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := a.now()
		for _, p := range a.planTransfers(now, a.Peers()) {
			a.requestFromPeer(ctx, a.now(), p.peer, p.name, p.tokens)
		}
	}
}

// planTransfers returns the transfers to request now. Random map order spreads
// the limit over all allowances from one interval to the next.
func (a *Allowances) planTransfers(now time.Time, peers []Peer) []plannedTransfer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var planned []plannedTransfer
	for name, rate := range a.share.rates {
		if len(planned) == maxRebalanced {
			break
		}
		if name == LoadRate || name == LoadPermit {
			continue
		}
		if peer, tokens, ok := a.hints.RebalanceRequest(now, peers, rate, a.share.SliceState(now, name)); ok {
			planned = append(planned, plannedTransfer{peer: peer, name: name, tokens: tokens})
		}
	}
	return planned
}
