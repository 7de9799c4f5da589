package team

import "time"

// PermitTerm is how long a granted load permit is valid. The load must end
// within it; a permit that is not returned is free again afterwards.
const PermitTerm = 10 * time.Second

// permits tracks the load permits that an instance owns and the ids they are
// granted to. No more are granted than owned.
type permits struct {
	owned   int
	granted map[string]time.Time
}

func (p *permits) removeExpired(now time.Time) {
	for id, expires := range p.granted {
		if !expires.After(now) {
			delete(p.granted, id)
		}
	}
}

// grant grants one permit for PermitTerm, or takes back the permit granted to
// the same id if Tokens is negative. A repeated request gets the same permit.
func (p *permits) grant(now time.Time, request TransferRequest) TransferReply {
	p.removeExpired(now)
	reply := TransferReply{ID: request.ID}
	_, alreadyGranted := p.granted[request.ID]
	switch {
	case request.Tokens < 0:
		delete(p.granted, request.ID)
	case alreadyGranted:
		reply.Tokens = 1
	case len(p.granted) < p.owned:
		if p.granted == nil {
			p.granted = map[string]time.Time{}
		}
		p.granted[request.ID] = now.Add(PermitTerm)
		reply.Tokens = 1
	}
	reply.Remaining = float64(max(0, p.owned-len(p.granted)))
	return reply
}
