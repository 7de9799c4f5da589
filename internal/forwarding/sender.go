package forwarding

import (
	"context"
	"errors"
	"net/netip"
	"syscall"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/reach"
	"heatherrelay/internal/upstream"
)

// Sender sends the attempts of this instance to targets: directly, or through a peer while
// the path to the target is cut. Set the exported fields before the first call.
type Sender struct {
	Direct *Direct
	Reach  *reach.Monitor
	Peers  *Client
	// TargetAt returns the listed target with an address, and false if there is none.
	TargetAt func(address netip.AddrPort) (deployment.Target, bool)
}

// Do sends a request to a target once and returns the response once its head has arrived.
func (s *Sender) Do(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt) (*upstream.Response, error) {
	if err := s.Direct.checkWithheld(target); err != nil {
		return nil, err
	}
	if s.Reach.Cut(target) {
		response, err := s.Peers.Do(ctx, target, request, attempt)
		if !noPeer(err) {
			return response, err
		}
	}
	response, err := s.Direct.Do(ctx, target, request, attempt)
	switch {
	case err == nil, ctx.Err() != nil, upstream.ErrOtherProcess.Has(err), errWithheld.Has(err):
		return response, err
	case errNoRoom.Has(err):
		return s.doWithoutRoom(ctx, target, request, attempt, err)
	case upstream.ErrNotSent.Has(err) && errors.Is(err, syscall.ECONNREFUSED):
		return s.doRefused(ctx, target, request, attempt, err)
	}
	s.Reach.Suspect(target)
	return nil, err
}

// doRefused sends a request through a peer whose connection the target's address has
// refused. It returns the refusal if no peer reaches the target either.
func (s *Sender) doRefused(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt, refused error) (*upstream.Response, error) {
	response, err := s.Peers.Do(ctx, target, request, attempt)
	if upstream.ErrNotSent.Has(err) && !upstream.NotIdentified(err) {
		return nil, refused
	}
	if !ErrPeer.Has(err) {
		s.Reach.RecordPeerConnected(target)
	}
	return response, err
}

// doWithoutRoom sends a request to a brittle target through a peer that may still risk a
// rejection. It returns the reason for which this instance may not if there is none.
func (s *Sender) doWithoutRoom(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt, noRoom error) (*upstream.Response, error) {
	response, err := s.Peers.Do(ctx, target, request, attempt)
	if upstream.ErrNotSent.Has(err) {
		return nil, ErrPeer.Wrap(noRoom)
	}
	return response, err
}

// noPeer reports whether no peer has tried to carry out an attempt.
func noPeer(err error) bool { return upstream.ErrNotSent.Has(err) && ErrPeer.Has(err) }

// Probe opens a connection to a target. If its address refuses that, peers probe it too: a
// connection that this instance alone is refused says nothing about the target.
func (s *Sender) Probe(ctx context.Context, address netip.AddrPort) error {
	err := s.Direct.Upstream.Probe(ctx, address)
	target, listed := s.TargetAt(address)
	if !errors.Is(err, syscall.ECONNREFUSED) || !listed {
		return err
	}
	if s.Peers.Probe(ctx, target) != nil {
		return err
	}
	s.Reach.RecordPeerConnected(target)
	return nil
}
