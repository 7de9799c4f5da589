// Package inflight counts the requests that are in flight at each target, and their
// tokens.
package inflight

import (
	"maps"
	"sync"

	"heatherrelay/internal/deployment"
)

// Use is the number of requests in flight at a target, and of their tokens.
type Use struct {
	Requests int
	// WaitingTokens is the number of prompt tokens of the requests whose first
	// event has not arrived.
	WaitingTokens int
	// Tokens is the number of prompt and output tokens of all requests.
	Tokens int
	// Ranked is the part of each rank in Requests and WaitingTokens. What is in no part is
	// of unknown rank.
	Ranked [Ranks]RankUse
}

// Add adds other to u, field by field.
func (u *Use) Add(other Use) {
	u.Requests += other.Requests
	u.WaitingTokens += other.WaitingTokens
	u.Tokens += other.Tokens
	for rank := range u.Ranked {
		u.Ranked[rank].Requests += other.Ranked[rank].Requests
		u.Ranked[rank].WaitingTokens += other.Ranked[rank].WaitingTokens
	}
}

// Negative returns what takes u away when it is added.
func (u Use) Negative() Use {
	n := Use{Requests: -u.Requests, WaitingTokens: -u.WaitingTokens, Tokens: -u.Tokens}
	for rank, part := range u.Ranked {
		n.Ranked[rank] = RankUse{Requests: -part.Requests, WaitingTokens: -part.WaitingTokens}
	}
	return n
}

// less returns u less other, field by field and never below zero.
func (u Use) less(other Use) Use {
	u.Add(other.Negative())
	u.Requests, u.WaitingTokens, u.Tokens = max(u.Requests, 0), max(u.WaitingTokens, 0), max(u.Tokens, 0)
	for rank, part := range u.Ranked {
		u.Ranked[rank] = RankUse{Requests: max(part.Requests, 0), WaitingTokens: max(part.WaitingTokens, 0)}
	}
	return u
}

// TargetUse counts what is in flight at a target, also by adapter.
type TargetUse struct {
	Use
	// Adapters is the number of requests for each adapter.
	Adapters map[deployment.AdapterName]int
}

// IsZero reports whether nothing is in flight.
func (u TargetUse) IsZero() bool { return u.Use == Use{} && len(u.Adapters) == 0 }

// Equal reports whether u and other are the same.
func (u TargetUse) Equal(other TargetUse) bool {
	return u.Use == other.Use && maps.Equal(u.Adapters, other.Adapters)
}

// With returns the sum of u and other.
func (u TargetUse) With(other TargetUse) TargetUse {
	sum := TargetUse{Use: u.Use, Adapters: maps.Clone(u.Adapters)}
	sum.Add(other.Use)
	for name, requests := range other.Adapters {
		if sum.Adapters == nil {
			sum.Adapters = map[deployment.AdapterName]int{}
		}
		sum.Adapters[name] += requests
	}
	return sum
}

// Without returns u less other, field by field and never below zero. Adapters are those
// that u lists.
func (u TargetUse) Without(other TargetUse) TargetUse {
	rest := TargetUse{Use: u.less(other.Use)}
	for name, requests := range u.Adapters {
		if left := requests - other.Adapters[name]; left > 0 {
			if rest.Adapters == nil {
				rest.Adapters = map[deployment.AdapterName]int{}
			}
			rest.Adapters[name] = left
		}
	}
	return rest
}

// Tracker counts the requests that this instance has in flight, by target. It is
// safe for concurrent use; the zero value is ready for use.
type Tracker struct {
	mu      sync.Mutex
	targets map[deployment.TargetID]*TargetUse
}

// TrackedRequest is the handle of a request that a Tracker counts.
type TrackedRequest struct {
	tracker *Tracker
	target  deployment.TargetID
	adapter deployment.AdapterName
	use     Use
	ended   bool
}

// Begin counts a request at a target until End is called on the returned handle.
// The token counts are those that the request announces.
func (t *Tracker) Begin(target deployment.TargetID, adapter deployment.AdapterName, promptTokens, outputTokens int) *TrackedRequest {
	return t.begin(target, adapter, Use{Requests: 1, WaitingTokens: promptTokens, Tokens: promptTokens + outputTokens})
}

// BeginRanked is Begin for a request whose rank is counted.
func (t *Tracker) BeginRanked(target deployment.TargetID, adapter deployment.AdapterName, promptTokens, outputTokens int, rank Rank) *TrackedRequest {
	use := Use{Requests: 1, WaitingTokens: promptTokens, Tokens: promptTokens + outputTokens}
	use.Ranked[rank] = RankUse{Requests: 1, WaitingTokens: promptTokens}
	return t.begin(target, adapter, use)
}

func (t *Tracker) begin(target deployment.TargetID, adapter deployment.AdapterName, use Use) *TrackedRequest {
	request := &TrackedRequest{tracker: t, target: target, adapter: adapter, use: use}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[deployment.TargetID]*TargetUse{}
	}
	u, ok := t.targets[target]
	if !ok {
		u = &TargetUse{Adapters: map[deployment.AdapterName]int{}}
		t.targets[target] = u
	}
	u.Add(request.use)
	u.Adapters[adapter]++
	return request
}

// ObserveFirstEvent records that the first event of the response has arrived, so that
// the request's prompt tokens no longer count as waiting.
func (r *TrackedRequest) ObserveFirstEvent() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended || r.use.WaitingTokens == 0 {
		return
	}
	waited := r.use.withoutPrompt()
	change := waited
	change.Add(r.use.Negative())
	r.tracker.targets[r.target].Add(change)
	r.use = waited
}

// withoutPrompt returns the use of a request whose prompt no longer waits.
func (u Use) withoutPrompt() Use {
	u.WaitingTokens = 0
	for rank := range u.Ranked {
		u.Ranked[rank].WaitingTokens = 0
	}
	return u
}

// End stops counting the request. Further calls have no effect.
func (r *TrackedRequest) End() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	u := t.targets[r.target]
	u.Add(r.use.Negative())
	if u.Adapters[r.adapter]--; u.Adapters[r.adapter] == 0 {
		delete(u.Adapters, r.adapter)
	}
	if u.Requests == 0 {
		delete(t.targets, r.target)
	}
}

// Target returns this instance's requests in flight at a target.
func (t *Tracker) Target(id deployment.TargetID) Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.targets[id]; ok {
		return u.Use
	}
	return Use{}
}

// All returns a copy of the counts of all targets with requests in flight.
func (t *Tracker) All() map[deployment.TargetID]TargetUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[deployment.TargetID]TargetUse, len(t.targets))
	for id, u := range t.targets {
		all[id] = TargetUse{Use: u.Use, Adapters: maps.Clone(u.Adapters)}
	}
	return all
}

// InFlight reports whether this instance has requests in flight for an adapter at
// a target.
func (t *Tracker) InFlight(id deployment.TargetID, name deployment.AdapterName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.targets[id]
	return ok && u.Adapters[name] > 0
}
