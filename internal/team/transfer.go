package team

import "time"

// TransferRequest requests tokens of one allowance from a peer.
type TransferRequest struct {
	// ID is unique over the fleet. A repeated request has the same id.
	ID        string
	Allowance string
	// Tokens is the amount requested. For load_permit it is 1, or -1 to return
	// the permit granted to the same id.
	Tokens       float64
	FromInstance string
}

// TransferReply reports how many tokens a donor deducted for the requester.
type TransferReply struct {
	ID     string
	Tokens float64
	// Remaining is the donor's balance after the grant; for load_permit it is the
	// number of its free permits.
	Remaining float64
}

// Peer is an instance to request transfers from.
type Peer struct {
	ID   string
	Zone string
}

// maxCachedReplies limits the replies that a donor keeps for replay. Evicted
// ids are treated as new requests.
const maxCachedReplies = 4096

// maxPendingRequests limits the requests that wait for a reply.
const maxPendingRequests = 4096

// replyCache keeps replies, so that a repeated request gets the same one. The
// oldest reply is evicted when it is full.
type replyCache struct {
	replies map[string]TransferReply
	order   []string
	oldest  int
}

func (c *replyCache) find(id string) (TransferReply, bool) {
	r, ok := c.replies[id]
	return r, ok
}

func (c *replyCache) add(r TransferReply) {
	if c.replies == nil {
		c.replies = map[string]TransferReply{}
	}
	if len(c.order) < maxCachedReplies {
		c.order = append(c.order, r.ID)
	} else {
		delete(c.replies, c.order[c.oldest])
		c.order[c.oldest] = r.ID
		c.oldest = (c.oldest + 1) % maxCachedReplies
	}
	c.replies[r.ID] = r
}

// pendingRequest is a transfer request without a reply yet.
type pendingRequest struct {
	name   string
	sentAt time.Time
}

// RecordRequest records a request before it is sent. It returns false if too
// many requests are pending.
func (s *Share) RecordRequest(now time.Time, request TransferRequest) bool {
	if len(s.pending) >= maxPendingRequests {
		s.dropExpiredRequests(now)
	}
	if len(s.pending) >= maxPendingRequests {
		return false
	}
	if s.pending == nil {
		s.pending = map[string]pendingRequest{}
	}
	s.pending[request.ID] = pendingRequest{name: request.Allowance, sentAt: now}
	return true
}

func (s *Share) dropExpiredRequests(now time.Time) {
	for id, p := range s.pending {
		if now.Sub(p.sentAt) >= ReceivedTerm {
			delete(s.pending, id)
		}
	}
}

// ApplyReply credits the tokens of a reply and returns how many were added. A
// repeated or unknown reply adds none, and neither does one that arrives
// ReceivedTerm or more after the request.
func (s *Share) ApplyReply(now time.Time, reply TransferReply) float64 {
	p, ok := s.pending[reply.ID]
	if !ok {
		return 0
	}
	delete(s.pending, reply.ID)
	b := s.bucket(p.name)
	if b == nil {
		return 0
	}
	return b.Receive(now, p.sentAt, reply.Tokens)
}

// GrantTransfer deducts the requested tokens, as far as available, and returns
// the reply. A repeated id gets the same reply and deducts nothing.
func (s *Share) GrantTransfer(now time.Time, request TransferRequest) TransferReply {
	s.dropClaimAfterPause(now)
	if request.Allowance == LoadPermit {
		return s.permits.grant(now, request)
	}
	if reply, ok := s.replies.find(request.ID); ok {
		return reply
	}
	reply := TransferReply{ID: request.ID}
	if b := s.bucket(request.Allowance); b != nil {
		reply.Tokens = b.Grant(now, request.Tokens)
		reply.Remaining = max(0, b.Balance)
	}
	s.replies.add(reply)
	return reply
}
