package gateway

import (
	"slices"
	"sync"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/memory"
)

// progress counts what was sent for one request of a client. An exchange and its
// hedge share it. It is safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// attempts counts the attempts that may have reached a target.
	attempts int
	// possibleRuns counts the attempts in which the target may have run the request.
	possibleRuns int
	// trace lists the steps of the request, for the log.
	trace []string
	// responses is charged for the responses that are held in memory.
	responses memory.Hold
	// rest is what targets have left of a stream that broke off.
	rest streamRest
}

// addAttempt counts an attempt that may have run. It returns the number of attempts
// before it.
func (p *progress) addAttempt() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	p.possibleRuns++
	return p.attempts - 1
}

// retractRun records that the target of a counted attempt did not run it.
func (p *progress) retractRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleRuns--
}

// counts returns the numbers of attempts and of possible runs.
func (p *progress) counts() (attempts, possibleRuns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempts, p.possibleRuns
}

// recordStep appends a step to the trace.
func (p *progress) recordStep(step string, target deployment.TargetID, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace = append(p.trace, step+" "+string(target)+" "+outcome)
}

// steps returns a copy of the trace.
func (p *progress) steps() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.trace)
}
