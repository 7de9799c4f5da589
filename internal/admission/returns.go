package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"heatherrelay/internal/inflight"
	"heatherrelay/internal/reservation"
)

// Return is how a request relates to an earlier refusal of the same one.
type Return string

// The kinds of returns.
const (
	// ReturnNone is a request that was not refused here.
	ReturnNone Return = ""
	// ReturnDue is one that comes back when it was told to.
	ReturnDue Return = "due"
	// ReturnEarly is one that comes back sooner.
	ReturnEarly Return = "early"
)

// Bounds of the time after which a refused client is told to come back.
const (
	minReturn = 300 * time.Millisecond
	maxReturn = 3 * time.Second
	// returnShare is the part of the time that it has left for which a client honours what
	// it is told.
	returnShare = 1.0 / 3
	// returnSlack is how much later than it was told a client may be back.
	returnSlack = 500 * time.Millisecond
	// maxReturns bounds the refused requests that are known.
	maxReturns = 1024
)

// ReturnTime spreads the return of clients that are refused together over the time in which
// there is room for them. remaining is the time that the client has left.
func ReturnTime(retryAfter, remaining time.Duration) time.Duration {
	earliest := min(max(retryAfter, minReturn), maxReturn)
	at := min(earliest+rand.N(earliest), maxReturn)
	if latest := time.Duration(returnShare * float64(remaining)); latest > 0 {
		at = min(at, latest)
	}
	return at
}

// Returns knows the requests that this instance refused and when they are due back. The
// zero value is ready; it is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	refused  map[string]refusedRequest
	reserved [inflight.Ranks]reservation.Reservation
}

// refusedRequest is a refused request whose client comes back at due or later.
type refusedRequest struct {
	rank inflight.Rank
	due  time.Time
}

// Refused notes that a request was refused and told to come back after wait. One that came
// back early does not move when it is due.
func (r *Returns) Refused(now time.Time, digest string, rank inflight.Rank, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if previous, known := r.refused[digest]; known && now.Before(previous.due) || len(r.refused) >= maxReturns {
		return
	}
	if r.refused == nil {
		r.refused = map[string]refusedRequest{}
	}
	r.refused[digest] = refusedRequest{rank: rank, due: now.Add(wait)}
	r.reserved[rank].Extend(now, wait+returnSlack)
}

// Observe returns how a request that arrives relates to an earlier refusal, which it forgets
// if the request is due.
func (r *Returns) Observe(now time.Time, digest string) Return {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused, known := r.refused[digest]
	switch {
	case !known || now.After(refused.due.Add(returnSlack)):
		return ReturnNone
	case now.Before(refused.due):
		return ReturnEarly
	}
	delete(r.refused, digest)
	return ReturnDue
}

// Due returns how many refused requests of a rank are due back within the given time, as far
// as room is reserved for them.
func (r *Returns) Due(now time.Time, rank inflight.Rank, within time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reserved[rank].InForce(now) {
		return 0
	}
	count := 0
	for _, refused := range r.refused {
		if refused.rank == rank && !now.After(refused.due.Add(returnSlack)) && refused.due.Sub(now) <= within {
			count++
		}
	}
	return count
}

// expire forgets the requests that did not come back in time.
func (r *Returns) expire(now time.Time) {
	for digest, refused := range r.refused {
		if now.After(refused.due.Add(returnSlack)) {
			delete(r.refused, digest)
		}
	}
}
