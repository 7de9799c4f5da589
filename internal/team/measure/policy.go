package main

import (
	"strconv"
	"time"

	"heatherrelay/internal/team"
)

// policy is one way to share rates among instances. start prepares a simulation
// and returns the function that handles a request.
type policy struct {
	name  string
	start func(s *simulation) func(r request)
}

var policies = []policy{
	{name: "transfers", start: withTransfers},
	{name: "even split", start: evenSplit},
	{name: "central counter", start: centralCounter},
	{name: "resizing", start: resizing},
}

// reserve tries to reserve a request's tokens in its instance's slice.
func (s *simulation) reserve(r request) bool {
	n := s.nodes[r.instance]
	name := rates[r.team].Name
	if n.share.Reserve(s.now(), name, r.reserved) != team.Reserved {
		return false
	}
	s.admitted(r, func() { n.share.Settle(s.now(), name, r.reserved, r.used) })
	return true
}

// evenSplit gives each instance an equal slice, without transfers.
func evenSplit(s *simulation) func(r request) {
	return func(r request) {
		if !s.reserve(r) {
			s.refused(r)
		}
	}
}

// admission is an admission in progress that may request transfers from peers.
type admission struct {
	request
	deadline time.Duration
	tried    map[string]bool
}

// withTransfers requests transfers from peers when a slice is too low, and
// rebalances slices ahead of need.
func withTransfers(s *simulation) func(r request) {
	for at := team.RebalanceInterval; at < runTime; at += team.RebalanceInterval {
		s.schedule(at, s.rebalance)
	}
	return func(r request) {
		s.tryAdmit(admission{request: r, deadline: s.elapsed + team.AdmitTimeout, tried: map[string]bool{}})
	}
}

// tryAdmit admits the request, or requests a transfer and tries again after the
// reply. It refuses the request if no peer is left to try or the deadline has
// passed.
func (s *simulation) tryAdmit(a admission) {
	if s.reserve(a.request) {
		return
	}
	n := s.nodes[a.instance]
	rate := rates[a.team]
	missing := a.reserved - n.share.Balance(s.now(), rate.Name)
	peer, ok := n.hints.NextPeer(s.now(), n.zone, n.peers, rate, missing, a.tried)
	if !ok || s.elapsed >= a.deadline || len(a.tried) >= team.MaxPeersPerAdmission {
		s.refused(a.request)
		return
	}
	a.tried[peer.ID] = true
	s.lastTransferID++
	estimate := n.hints.Estimate(s.now(), peer.ID, rate, instances)
	s.requestTransfer(n, peer, rate.Name, n.share.SliceState(s.now(), rate.Name).RequestAmount(missing, estimate), func() { s.tryAdmit(a) })
}

// rebalance requests tokens ahead of need, as every instance does in
// production.
func (s *simulation) rebalance() {
	for _, n := range s.nodes {
		for _, rate := range rates {
			peer, tokens, ok := n.hints.RebalanceRequest(s.now(), n.peers, rate, n.share.SliceState(s.now(), rate.Name))
			if ok {
				s.requestTransfer(n, peer, rate.Name, tokens, func() {})
			}
		}
	}
}

// requestTransfer sends a transfer request and calls done after the reply.
func (s *simulation) requestTransfer(n *node, peer team.Peer, name string, tokens float64, done func()) {
	s.lastTransferID++
	request := team.TransferRequest{ID: strconv.Itoa(s.lastTransferID), Allowance: name, Tokens: tokens, FromInstance: n.id}
	n.share.RecordRequest(s.now(), request)
	s.result.transfers++
	s.sendTransfer(n, s.nodeByID(peer.ID), request, done)
}

func (s *simulation) nodeByID(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// sendTransfer delivers a transfer request to a peer and the reply back. If a
// partition separates them, the request times out.
func (s *simulation) sendTransfer(from, to *node, request team.TransferRequest, done func()) {
	delay := crossZoneDelay
	if from.zone == to.zone {
		delay = localZoneDelay
	}
	if from.zone != to.zone && (s.isolated(from.zone) || s.isolated(to.zone)) {
		s.after(team.TransferTimeout, func() {
			from.hints.Record(s.now(), to.id, request.Allowance, 0)
			done()
		})
		return
	}
	s.after(delay, func() {
		reply := to.share.GrantTransfer(s.now(), request)
		s.after(delay, func() {
			from.hints.Record(s.now(), to.id, request.Allowance, reply.Remaining)
			from.share.ApplyReply(s.now(), reply)
			done()
		})
	})
}

// centralCounter keeps one counter per team in the platform: an admission costs
// a read and a conditional write, and so does its settlement.
func centralCounter(s *simulation) func(r request) {
	counters := fullBuckets(1)
	return func(r request) {
		if s.isolated(s.nodes[r.instance].zone) {
			s.refused(r)
			return
		}
		s.result.platformCalls += 2
		s.after(2*platformDelay, func() {
			if !counters[r.team].Take(s.now(), r.reserved) {
				s.refused(r)
				return
			}
			s.admitted(r, func() {
				s.result.platformCalls += 2
				counters[r.team].Settle(s.now(), r.reserved, r.used)
			})
		})
	}
}
