// Package load counts what requests are under way at each target.
package load

import (
	"sync"

	"heatherrelay/internal/deployment"
)

// Use is what is under way at a target.
type Use struct {
	Requests int
	// WaitingTokens are the prompt tokens of requests without a first event.
	WaitingTokens int
	// Tokens are the prompt and output tokens of all requests.
	Tokens int
}

// Add adds another use.
func (u *Use) Add(other Use) {
	u.Requests += other.Requests
	u.WaitingTokens += other.WaitingTokens
	u.Tokens += other.Tokens
}

// TargetUse is the use of a target, and the requests for each adapter.
type TargetUse struct {
	Use
	Adapters map[deployment.AdapterName]int
}

// Tracker counts this instance's requests. It is safe for concurrent use; the
// zero value is ready for use.
type Tracker struct {
	mu      sync.Mutex
	targets map[deployment.TargetID]*TargetUse
}

// Ticket is one request that is counted.
type Ticket struct {
	tracker *Tracker
	target  deployment.TargetID
	adapter deployment.AdapterName
	use     Use
	ended   bool
}

// Begin counts a request until its ticket ends.
func (t *Tracker) Begin(target deployment.TargetID, adapter deployment.AdapterName, promptTokens, outputTokens int) *Ticket {
	ticket := &Ticket{
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
	u.Add(ticket.use)
	u.Adapters[adapter]++
	return ticket
}

// Started says that the first event has come.
func (k *Ticket) Started() {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	if k.ended || k.use.WaitingTokens == 0 {
		return
	}
	k.tracker.targets[k.target].WaitingTokens -= k.use.WaitingTokens
	k.use.WaitingTokens = 0
}

// End stops counting the request.
func (k *Ticket) End() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	u := t.targets[k.target]
	u.Add(Use{Requests: -k.use.Requests, WaitingTokens: -k.use.WaitingTokens, Tokens: -k.use.Tokens})
	if u.Adapters[k.adapter]--; u.Adapters[k.adapter] == 0 {
		delete(u.Adapters, k.adapter)
	}
	if u.Requests == 0 {
		delete(t.targets, k.target)
	}
}

// Target returns the use of a target.
func (t *Tracker) Target(id deployment.TargetID) Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.targets[id]; ok {
		return u.Use
	}
	return Use{}
}

// All returns a copy of all uses.
func (t *Tracker) All() map[deployment.TargetID]TargetUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[deployment.TargetID]TargetUse, len(t.targets))
	for id, u := range t.targets {
		copied := TargetUse{Use: u.Use, Adapters: make(map[deployment.AdapterName]int, len(u.Adapters))}
		for name, n := range u.Adapters {
			copied.Adapters[name] = n
		}
		all[id] = copied
	}
	return all
}

// Running says whether this instance has requests for an adapter at a target.
func (t *Tracker) Running(id deployment.TargetID, name deployment.AdapterName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.targets[id]
	return ok && u.Adapters[name] > 0
}
