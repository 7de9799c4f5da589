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
}

// Add adds other to u, field by field.
func (u *Use) Add(other Use) {
	u.Requests += other.Requests
	u.WaitingTokens += other.WaitingTokens
	u.Tokens += other.Tokens
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
	rest := TargetUse{Use: Use{
		Requests:      max(u.Requests-other.Requests, 0),
		WaitingTokens: max(u.WaitingTokens-other.WaitingTokens, 0),
		Tokens:        max(u.Tokens-other.Tokens, 0),
	}}
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
	request := &TrackedRequest{
		tracker: t,
		target:  target,
		adapter: adapter,
		use:     Use{Requests: 1, WaitingTokens: promptTokens, Tokens: promptTokens + outputTokens},
	}
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
	r.tracker.targets[r.target].WaitingTokens -= r.use.WaitingTokens
	r.use.WaitingTokens = 0
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
	u.Add(Use{Requests: -r.use.Requests, WaitingTokens: -r.use.WaitingTokens, Tokens: -r.use.Tokens})
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
