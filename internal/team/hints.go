package team

import (
	"time"
)

// hintTerm is how long a peer's answer is believed; after it the peer is asked
// again as if it were full.
const hintTerm = time.Second

// minAskPart is the least part of what is missing that makes a peer worth asking.
const minAskPart = 0.02

// hint is what a peer was last known to hold.
type hint struct {
	remaining float64
	at        time.Time
}

type hintKey struct {
	peer string
	name string
}

// Hints estimates what peers hold of an allowance, from their last answers.
// Estimates are only used to choose whom to ask; a wrong one costs a message.
type Hints struct {
	known map[hintKey]hint
	// holders is the peer that last gave of an allowance that few instances hold.
	holders map[string]string
}

// Gave keeps that a peer gave of an allowance of the weight store. Its parts
// stay with few instances, so that this peer is asked first from then on.
func (h *Hints) Gave(peer, name string) {
	if name != LoadRate && name != LoadPermit {
		return
	}
	if h.holders == nil {
		h.holders = map[string]string{}
	}
	h.holders[name] = peer
}

// Note keeps what a peer answered.
func (h *Hints) Note(now time.Time, peer, name string, remaining float64) {
	if h.known == nil {
		h.known = map[hintKey]hint{}
	}
	h.known[hintKey{peer, name}] = hint{remaining: remaining, at: now}
}

// Estimate returns what the peer may hold, if each of count peers owns an even
// part of the rate.
func (h *Hints) Estimate(now time.Time, peer string, rate Rate, count int) float64 {
	part := 1 / float64(max(1, count))
	k, ok := h.known[hintKey{peer, rate.Name}]
	age := now.Sub(k.at)
	if !ok || age > hintTerm {
		return rate.BurstTokens * part
	}
	return min(rate.BurstTokens*part, k.remaining+rate.TokensPerSecond*part*age.Seconds())
}

// Next returns the peer to ask for what is missing, or false if the peers that
// were not tried hold too little together. It prefers the fullest one, and
// among peers that hold enough one of the own zone.
func (h *Hints) Next(now time.Time, zone string, peers []Peer, rate Rate, missing float64, tried map[string]bool) (Peer, bool) {
	var best Peer
	bestScore, total := 0.0, 0.0
	for _, p := range peers {
		if tried[p.ID] {
			continue
		}
		estimate := h.Estimate(now, p.ID, rate, len(peers)+1)
		total += estimate
		score := min(estimate, missing)
		if p.Zone == zone {
			score *= ownZonePreference
		}
		if p.ID == h.holders[rate.Name] {
			return p, true
		}
		if estimate >= minAskPart*missing && score > bestScore {
			best, bestScore = p, score
		}
	}
	return best, bestScore > 0 && total >= missing
}

// ownZonePreference weighs peers of the own zone, whose answers come sooner.
const ownZonePreference = 1.2

// Amount returns how much to ask of a peer that may hold estimate: what is
// missing, or more if that evens out the two, as far as the own slice has room
// beside what may come back to it.
func (f Fill) Amount(missing, estimate float64) float64 {
	held := f.Balance + f.Outstanding
	return max(missing, min((estimate-held)/2, f.Limit-held))
}

// The parts of a slice that decide on levelling: below lowPart an instance asks
// a peer that is fuller by gapPart, so that no slice runs over while another
// has room.
const (
	lowPart = 0.5
	gapPart = 0.25
)

// Level returns the peer to ask, and for how much, to even out slices before
// one runs short; false if none is worth a message.
func (h *Hints) Level(now time.Time, peers []Peer, rate Rate, own Fill) (Peer, float64, bool) {
	held := own.Balance + own.Outstanding
	if own.Limit <= 0 || held >= lowPart*own.Limit {
		return Peer{}, 0, false
	}
	var best Peer
	fullest := 0.0
	for _, p := range peers {
		if estimate := h.Estimate(now, p.ID, rate, len(peers)+1); estimate > fullest {
			best, fullest = p, estimate
		}
	}
	if fullest-held < gapPart*own.Limit {
		return Peer{}, 0, false
	}
	return best, own.Amount(0, fullest), true
}
