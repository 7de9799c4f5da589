package team

import (
	"context"
	"sync"
	"time"

	"heatherrelay/internal/refusal"
)

// permitRetry is when to come back for a load permit.
const permitRetry = 250 * time.Millisecond

// takePermit takes a load permit of this instance's own, or a peer's.
func (a *Allowances) takePermit(ctx context.Context) (Reservation, error) {
	request := TransferRequest{ID: a.transferID(), Allowance: LoadPermit, Tokens: 1, FromInstance: a.InstanceID}
	if reply := a.givePermit(request); reply.Tokens > 0 {
		return a.permitReservation(func(back TransferRequest) { a.givePermit(back) }, request), nil
	}
	if a.Ask == nil || a.Peers == nil {
		return Reservation{}, noPermit()
	}
	now := a.now()
	deadline := now.Add(AdmitWait)
	tried := map[string]bool{}
	for len(tried) < MaxAsks && now.Before(deadline) && ctx.Err() == nil {
		peer, ok := a.nextPermitPeer(now, tried)
		if !ok {
			break
		}
		tried[peer.ID] = true
		if a.askPermit(ctx, peer.ID, request) {
			giveBack := func(back TransferRequest) { a.askPermit(context.WithoutCancel(ctx), peer.ID, back) }
			return a.permitReservation(giveBack, request), nil
		}
		now = a.now()
		request.ID = a.transferID()
	}
	return Reservation{}, noPermit()
}

func noPermit() error {
	return refusal.NotRun(refusal.CodeRateLimited, "no load permit is free").After(permitRetry)
}

func (a *Allowances) givePermit(request TransferRequest) TransferReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.Give(a.now(), request)
}

func (a *Allowances) nextPermitPeer(now time.Time, tried map[string]bool) (Peer, bool) {
	peers := a.Peers()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hints.Next(now, a.Zone, peers, Rate{Name: LoadPermit, BurstTokens: float64(len(peers) + 1)}, 1, tried)
}

// askPermit asks a peer for a permit, or returns one.
func (a *Allowances) askPermit(ctx context.Context, peerID string, request TransferRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, AskWait)
	defer cancel()
	reply, err := a.Ask(ctx, peerID, request)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.hints.Note(a.now(), peerID, LoadPermit, 0)
		return false
	}
	a.hints.Note(a.now(), peerID, LoadPermit, reply.Remaining)
	if reply.Tokens >= 1 {
		a.hints.Gave(peerID, LoadPermit)
	}
	return reply.Tokens >= 1
}

func (a *Allowances) permitReservation(giveBack func(TransferRequest), request TransferRequest) Reservation {
	var once sync.Once
	return Reservation{Settle: func(float64) {
		once.Do(func() {
			request.Tokens = -1
			giveBack(request)
		})
	}}
}

// LoadTimeout is the longest that a load admitted by AdmitLoad may take.
const LoadTimeout = PermitTerm - time.Second
