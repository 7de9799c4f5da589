package team

import "time"

// PermitTerm bounds the use of a load permit. A load must be over by then; a
// permit that is not returned comes back to its owner after it.
const PermitTerm = 10 * time.Second

// permits counts the load permits that an instance owns and who uses them.
// Never more are out than are owned.
type permits struct {
	owned int
	out   map[string]time.Time
}

func (p *permits) expire(now time.Time) {
	for id, until := range p.out {
		if !until.After(now) {
			delete(p.out, id)
		}
	}
}

// give grants one permit until the term is over, or takes back the one granted
// to the same id.
func (p *permits) give(now time.Time, request TransferRequest) TransferReply {
	p.expire(now)
	reply := TransferReply{ID: request.ID}
	_, had := p.out[request.ID]
	switch {
	case request.Tokens < 0:
		delete(p.out, request.ID)
	case had:
		reply.Tokens = 1
	case len(p.out) < p.owned:
		if p.out == nil {
			p.out = map[string]time.Time{}
		}
		p.out[request.ID] = now.Add(PermitTerm)
		reply.Tokens = 1
	}
	reply.Remaining = float64(max(0, p.owned-len(p.out)))
	return reply
}
