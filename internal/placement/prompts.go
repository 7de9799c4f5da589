package placement

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// pacedTokensPerMS is the rate at which prompts are sent to an engine. An engine
	// that only prefills is faster; the rest is left for decoding its streams.
	pacedTokensPerMS = 13.0
	// maxPromptDelay is the maximum delay of a prompt.
	maxPromptDelay = 400 * time.Millisecond
)

// PromptPacer spaces the prompts that all instances send to an engine. An engine
// prefills prompts between the decoding steps of its streams: several prompts at
// once are prefilled in a row, and all its streams pause meanwhile. It is safe for
// concurrent use. Set Now before the first use.
type PromptPacer struct {
	Now func() time.Time
	// Slowness returns how many times as long as a usual engine an engine takes; nil means
	// that all are alike.
	Slowness func(deployment.TargetID) float64

	mu sync.Mutex
	// freeAt is when the reserved prompts will have been prefilled, by engine.
	freeAt map[deployment.TargetID]time.Time
}

// Reserve announces a prompt for an engine and returns how long to delay it.
func (p *PromptPacer) Reserve(id deployment.TargetID, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt == nil {
		p.freeAt = map[deployment.TargetID]time.Time{}
	}
	now := p.Now()
	delay := min(max(p.freeAt[id].Sub(now), 0), maxPromptDelay)
	prefill := time.Duration(float64(tokens) / p.rate(id) * float64(time.Millisecond))
	p.freeAt[id] = now.Add(delay + prefill)
	return delay
}

// rate returns the rate at which prompts are sent to an engine, in tokens a millisecond.
func (p *PromptPacer) rate(id deployment.TargetID) float64 {
	if p.Slowness == nil {
		return pacedTokensPerMS
	}
	return pacedTokensPerMS / p.Slowness(id)
}

// Retain removes all engines except the given ones.
func (p *PromptPacer) Retain(targets map[deployment.TargetID]deployment.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.freeAt {
		if _, ok := targets[id]; !ok {
			delete(p.freeAt, id)
		}
	}
}

const (
	// pauseSampleWeight is the weight of the newest stream in the moving average.
	pauseSampleWeight = 0.03
	// frequentPauseShare is the share of streams with a pause over the objective
	// above which prompts are paced.
	frequentPauseShare = 0.05
)

// PauseMonitor tracks how often streams pause for longer than their objective. It is
// safe for concurrent use; the zero value is ready for use.
type PauseMonitor struct {
	mu    sync.Mutex
	share float64
}

// Observe records a stream. late is set when it paused for longer than its objective.
func (p *PauseMonitor) Observe(late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := 0.0
	if late {
		value = 1
	}
	p.share += pauseSampleWeight * (value - p.share)
}

// Frequent reports whether many of the latest streams paused for too long.
func (p *PauseMonitor) Frequent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share > frequentPauseShare
}
