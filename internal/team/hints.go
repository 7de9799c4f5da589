package team

import (
	"time"
)

// hintTTL is how long a peer's reply is used. After that the peer is estimated
// to hold a full slice again.
const hintTTL = time.Second

// minRequestFraction is the fraction of the missing tokens that a peer must be
// estimated to hold to be sent a request.
const minRequestFraction = 0.02

// hint is the balance that a peer last reported.
type hint struct {
	remaining  float64
	recordedAt time.Time
}

type hintKey struct {
	peer string
	name string
}

// Hints estimates how much of an allowance each peer holds, from the peers'
// latest replies. Estimates only decide which peer receives a request; a wrong
// one costs a message.
type Hints struct {
	hints map[hintKey]hint
	// lastDonors holds the peer that last granted tokens of each weight store
	// allowance.
	lastDonors map[string]string
}

// RecordGrant records the peer that granted tokens of a weight store allowance;
// other allowances are ignored. The parts of those allowances are concentrated
// on few instances, so NextPeer returns the last donor first.
func (h *Hints) RecordGrant(peer, name string) {
	if name != LoadRate && name != LoadPermit {
		return
	}
	if h.lastDonors == nil {
		h.lastDonors = map[string]string{}
	}
	h.lastDonors[name] = peer
}

// Record records the balance that a peer reported.
func (h *Hints) Record(now time.Time, peer, name string, remaining float64) {
	if h.hints == nil {
		h.hints = map[hintKey]hint{}
	}
	h.hints[hintKey{peer, name}] = hint{remaining: remaining, recordedAt: now}
}

// Estimate returns how much the peer may hold, assuming that each of the given
// number of instances owns an equal part of the rate.
func (h *Hints) Estimate(now time.Time, peer string, rate Rate, instances int) float64 {
	fraction := 1 / float64(max(1, instances))
	last, ok := h.hints[hintKey{peer, rate.Name}]
	age := now.Sub(last.recordedAt)
	if !ok || age > hintTTL {
		return rate.BurstTokens * fraction
	}
	return min(rate.BurstTokens*fraction, last.remaining+rate.TokensPerSecond*fraction*age.Seconds())
}

// NextPeer returns the peer to request missing tokens from. It returns false if
// the peers not tried yet are estimated to hold less than that together. It
// prefers the last donor of a weight store allowance, then the peer with the
// most tokens, and among peers that hold enough those of the local zone.
func (h *Hints) NextPeer(now time.Time, zone string, peers []Peer, rate Rate, missing float64, tried map[string]bool) (Peer, bool) {
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
			score *= localZonePreference
		}
		if p.ID == h.lastDonors[rate.Name] {
			return p, true
		}
		if estimate >= minRequestFraction*missing && score > bestScore {
			best, bestScore = p, score
		}
	}
	return best, bestScore > 0 && total >= missing
}

// localZonePreference is the factor by which peers of the local zone are
// preferred, since they reply sooner.
const localZonePreference = 1.2

// RequestAmount returns how much to request from a peer estimated to hold
// estimate tokens: the missing tokens, or more if that equalizes the two slices
// and fits into the local one, counting outstanding tokens as returned.
func (s SliceState) RequestAmount(missing, estimate float64) float64 {
	held := s.Balance + s.Outstanding
	return max(missing, min((estimate-held)/2, s.Limit-held))
}

// Thresholds of rebalancing, as fractions of the local slice's limit. Below
// lowFraction an instance requests tokens from a peer that holds at least
// gapFraction more, so that no slice overflows while another has room.
const (
	lowFraction = 0.5
	gapFraction = 0.25
)

// RebalanceRequest returns a peer and an amount to request in order to equalize
// slices before one is exhausted. It returns false if no request is worthwhile.
func (h *Hints) RebalanceRequest(now time.Time, peers []Peer, rate Rate, local SliceState) (Peer, float64, bool) {
	held := local.Balance + local.Outstanding
	if local.Limit <= 0 || held >= lowFraction*local.Limit {
		return Peer{}, 0, false
	}
	var best Peer
	fullest := 0.0
	for _, p := range peers {
		if estimate := h.Estimate(now, p.ID, rate, len(peers)+1); estimate > fullest {
			best, fullest = p, estimate
		}
	}
	if fullest-held < gapFraction*local.Limit {
		return Peer{}, 0, false
	}
	return best, local.RequestAmount(0, fullest), true
}
