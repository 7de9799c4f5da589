package main

import (
	"strconv"
	"time"

	"heatherrelay/internal/team"
)

// policy is one way to share rates. Its start returns what admits a request.
type policy struct {
	name  string
	start func(s *simulation) func(r request)
}

var policies = []policy{
	{name: "transfers", start: transfers},
	{name: "even split", start: evenSplit},
	{name: "central counter", start: centralCounter},
	{name: "resizing", start: resizing},
}

// reserve takes a request's tokens from its instance's share.
func (s *simulation) reserve(r request) bool {
	n := s.nodes[r.instance]
	name := rates[r.team].Name
	if n.share.Reserve(s.now(), name, r.reserved) != team.Taken {
		return false
	}
	s.admitted(r, func() { n.share.Settle(s.now(), name, r.reserved, r.used) })
	return true
}

// evenSplit lets each instance spend its even slice alone.
func evenSplit(s *simulation) func(r request) {
	return func(r request) {
		if !s.reserve(r) {
			s.refused(r)
		}
	}
}

// attempt is one admission that asks peers.
type attempt struct {
	request
	deadline time.Duration
	tried    map[string]bool
}

// transfers asks peers when a slice is short.
func transfers(s *simulation) func(r request) {
	for at := team.LevelInterval; at < runTime; at += team.LevelInterval {
		s.schedule(at, s.level)
	}
	return func(r request) {
		s.try(attempt{request: r, deadline: s.at + team.AdmitWait, tried: map[string]bool{}})
	}
}

func (s *simulation) try(a attempt) {
	if s.reserve(a.request) {
		return
	}
	n := s.nodes[a.instance]
	rate := rates[a.team]
	missing := a.reserved - n.share.Balance(s.now(), rate.Name)
	peer, ok := n.hints.Next(s.now(), n.zone, n.peers, rate, missing, a.tried)
	if !ok || s.at >= a.deadline || len(a.tried) >= team.MaxAsks {
		s.refused(a.request)
		return
	}
	a.tried[peer.ID] = true
	s.transfer++
	estimate := n.hints.Estimate(s.now(), peer.ID, rate, instances)
	s.ask(n, peer, rate.Name, n.share.Fill(s.now(), rate.Name).Amount(missing, estimate), func() { s.try(a) })
}

// level asks for tokens ahead of need.
func (s *simulation) level() {
	for _, n := range s.nodes {
		for _, rate := range rates {
			peer, tokens, ok := n.hints.Level(s.now(), n.peers, rate, n.share.Fill(s.now(), rate.Name))
			if ok {
				s.ask(n, peer, rate.Name, tokens, func() {})
			}
		}
	}
}

// ask sends a transfer request and then goes on.
func (s *simulation) ask(n *node, peer team.Peer, name string, tokens float64, then func()) {
	s.transfer++
	request := team.TransferRequest{ID: strconv.Itoa(s.transfer), Allowance: name, Tokens: tokens, FromInstance: n.id}
	n.share.Ask(s.now(), request)
	s.result.transfers++
	s.send(n, s.find(peer.ID), request, then)
}

func (s *simulation) find(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// send passes a transfer request and its answer between two instances.
func (s *simulation) send(from, to *node, ask team.TransferRequest, then func()) {
	delay := crossDelay
	if from.zone == to.zone {
		delay = ownZoneDelay
	}
	if from.zone != to.zone && (s.isolated(from.zone) || s.isolated(to.zone)) {
		s.after(team.AskWait, func() {
			from.hints.Note(s.now(), to.id, ask.Allowance, 0)
			then()
		})
		return
	}
	s.after(delay, func() {
		reply := to.share.Give(s.now(), ask)
		s.after(delay, func() {
			from.hints.Note(s.now(), to.id, ask.Allowance, reply.Remaining)
			from.share.Receive(s.now(), reply)
			then()
		})
	})
}

// centralCounter keeps one counter in the platform: a read and a conditional
// write for each admission, and one more pair for what comes back.
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
