package team

import (
	"context"
	"sync"
	"time"

	"heatherrelay/internal/refusal"
)

// permitRetryAfter is the retry delay given in a refusal for lack of a load
// permit.
const permitRetryAfter = 250 * time.Millisecond

// acquirePermit acquires one of this instance's load permits, or one from a
// peer.
func (a *Allowances) acquirePermit(ctx context.Context) (Reservation, error) {
	request := TransferRequest{ID: a.transferID(), Allowance: LoadPermit, Tokens: 1, FromInstance: a.InstanceID}
	if reply := a.grantPermit(request); reply.Tokens > 0 {
		return a.permitReservation(func(returned TransferRequest) { a.grantPermit(returned) }, request), nil
	}
	if a.RequestTransfer == nil || a.Peers == nil {
		return Reservation{}, noPermitError()
	}
	now := a.now()
	deadline := now.Add(AdmitTimeout)
	tried := map[string]bool{}
	for len(tried) < MaxPeersPerAdmission && now.Before(deadline) && ctx.Err() == nil {
		peer, ok := a.nextPermitPeer(now, tried)
		if !ok {
			break
		}
		tried[peer.ID] = true
		if a.requestPermit(ctx, peer.ID, request) {
			returnPermit := func(returned TransferRequest) { a.requestPermit(context.WithoutCancel(ctx), peer.ID, returned) }
			return a.permitReservation(returnPermit, request), nil
		}
		now = a.now()
		request.ID = a.transferID()
	}
	return Reservation{}, noPermitError()
}

func noPermitError() error {
	return refusal.NotRun(refusal.CodeRateLimited, "no load permit is free").WithRetryAfter(permitRetryAfter)
}

// grantPermit grants or takes back a local load permit.
func (a *Allowances) grantPermit(request TransferRequest) TransferReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.GrantTransfer(a.now(), request)
}

// nextPermitPeer returns the next peer to request a load permit from. The burst
// makes the estimate for a peer without a hint one permit.
func (a *Allowances) nextPermitPeer(now time.Time, tried map[string]bool) (Peer, bool) {
	peers := a.Peers()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hints.NextPeer(now, a.Zone, peers, Rate{Name: LoadPermit, BurstTokens: float64(len(peers) + 1)}, 1, tried)
}

// requestPermit requests a permit from a peer, or returns one to it, and
// reports whether a permit was granted.
func (a *Allowances) requestPermit(ctx context.Context, peerID string, request TransferRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, TransferTimeout)
	defer cancel()
	reply, err := a.RequestTransfer(ctx, peerID, request)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.hints.Record(a.now(), peerID, LoadPermit, 0)
		return false
	}
	a.hints.Record(a.now(), peerID, LoadPermit, reply.Remaining)
	if reply.Tokens >= 1 {
		a.hints.RecordGrant(peerID, LoadPermit)
	}
	return reply.Tokens >= 1
}

// permitReservation returns a reservation whose first Settle returns the
// permit.
func (a *Allowances) permitReservation(returnPermit func(TransferRequest), request TransferRequest) Reservation {
	var once sync.Once
	return Reservation{Settle: func(float64) {
		once.Do(func() {
			request.Tokens = -1
			returnPermit(request)
		})
	}}
}

// LoadTimeout is the longest that a load admitted by AdmitLoad may take. It is
// shorter than PermitTerm, after which the permit may be granted again.
const LoadTimeout = PermitTerm - time.Second
