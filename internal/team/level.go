package team

import (
	"context"
	"time"
)

// maxLevelled bounds the allowances that one look evens out, and so the
// messages that levelling costs.
const maxLevelled = 8

// plan is a transfer that levelling asks for.
type plan struct {
	peer   Peer
	name   string
	tokens float64
}

// level asks peers for tokens ahead of need, so that slices stay even and none
// runs over while another is short.
func (a *Allowances) level(ctx context.Context) {
	if a.Ask == nil || a.Peers == nil {
		return
	}
	ticker := time.NewTicker(LevelInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := a.now()
		for _, p := range a.plans(now, a.Peers()) {
			a.askPeer(ctx, a.now(), p.peer, p.name, p.tokens)
		}
	}
}

// plans returns what to ask for now. Map order spreads the bound over the
// allowances from look to look.
func (a *Allowances) plans(now time.Time, peers []Peer) []plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	var plans []plan
	for name, rate := range a.share.rates {
		if len(plans) == maxLevelled {
			break
		}
		if name == LoadRate || name == LoadPermit {
			continue
		}
		if peer, tokens, ok := a.hints.Level(now, peers, rate, a.share.Fill(now, name)); ok {
			plans = append(plans, plan{peer: peer, name: name, tokens: tokens})
		}
	}
	return plans
}
