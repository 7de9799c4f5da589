package team

import "time"

// TransferRequest asks an instance for tokens of one allowance.
type TransferRequest struct {
	// ID is unique over the fleet. A repeat carries the same id.
	ID        string
	Allowance string
	// Tokens is how much the asker wants. For load_permit it is one, or minus
	// one to return the permit that the same id was granted.
	Tokens       float64
	FromInstance string
}

// TransferReply is what the giver deducted for the asker.
type TransferReply struct {
	ID     string
	Tokens float64
	// Remaining is what the giver still has.
	Remaining float64
}

// Peer is an instance that can be asked.
type Peer struct {
	ID   string
	Zone string
}

// maxAnswers bounds the transfers that a giver remembers. An older id is
// answered with nothing.
const maxAnswers = 4096

// maxPending bounds the requests that an asker waits for.
const maxPending = 4096

// answers remembers what was given, so that a repeat gets the same answer.
type answers struct {
	replies map[string]TransferReply
	order   []string
	oldest  int
}

func (a *answers) find(id string) (TransferReply, bool) {
	r, ok := a.replies[id]
	return r, ok
}

func (a *answers) keep(r TransferReply) {
	if a.replies == nil {
		a.replies = map[string]TransferReply{}
	}
	if len(a.order) < maxAnswers {
		a.order = append(a.order, r.ID)
	} else {
		delete(a.replies, a.order[a.oldest])
		a.order[a.oldest] = r.ID
		a.oldest = (a.oldest + 1) % maxAnswers
	}
	a.replies[r.ID] = r
}

// ask is a transfer request that has no answer yet.
type ask struct {
	name    string
	askedAt time.Time
}

// Ask records a request that is about to be sent. It reports false when too
// many are waiting for answers.
func (s *Share) Ask(now time.Time, request TransferRequest) bool {
	if len(s.pending) >= maxPending {
		s.dropPending(now)
	}
	if len(s.pending) >= maxPending {
		return false
	}
	if s.pending == nil {
		s.pending = map[string]ask{}
	}
	s.pending[request.ID] = ask{name: request.Allowance, askedAt: now}
	return true
}

func (s *Share) dropPending(now time.Time) {
	for id, a := range s.pending {
		if now.Sub(a.askedAt) >= BorrowedTerm {
			delete(s.pending, id)
		}
	}
}

// Receive counts an answer once and returns the tokens that it brought. A
// repeated, late or unknown answer brings none.
func (s *Share) Receive(now time.Time, reply TransferReply) float64 {
	a, ok := s.pending[reply.ID]
	if !ok {
		return 0
	}
	delete(s.pending, reply.ID)
	b := s.bucket(a.name)
	if b == nil {
		return 0
	}
	return b.Borrow(now, a.askedAt, reply.Tokens)
}

// Give deducts what the request asks for, as far as there is, and answers. A
// repeat of an id gets the same answer and deducts nothing.
func (s *Share) Give(now time.Time, request TransferRequest) TransferReply {
	s.checkClaim(now)
	if request.Allowance == LoadPermit {
		return s.permits.give(now, request)
	}
	if reply, ok := s.given.find(request.ID); ok {
		return reply
	}
	reply := TransferReply{ID: request.ID}
	if b := s.bucket(request.Allowance); b != nil {
		reply.Tokens = b.Lend(now, request.Tokens)
		reply.Remaining = max(0, b.Balance)
	}
	s.given.keep(reply)
	return reply
}
