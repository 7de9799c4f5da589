package placement

import (
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// pacedTokensPerMS is the pace at which prompts are sent to an engine. Engines
	// read faster; what is left keeps the streams that run there going.
	pacedTokensPerMS = 13.0
	// maxPromptDelay bounds how long a prompt is kept back.
	maxPromptDelay = 400 * time.Millisecond
)

// PromptPacer spaces the prompts that all instances send to an engine. An engine
// reads prompts between the tokens of the streams that it runs: several prompts
// at once are read in a row, and all its streams pause meanwhile. It is safe for
// concurrent use. Set Now before the first use.
type PromptPacer struct {
	Now func() time.Time

	mu sync.Mutex
	// freeAt is when the prompts that were announced will have been read.
	freeAt map[deployment.TargetID]time.Time
}

// Reserve announces a prompt to an engine and returns how long it should be kept
// back.
func (p *PromptPacer) Reserve(id deployment.TargetID, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt == nil {
		p.freeAt = map[deployment.TargetID]time.Time{}
	}
	now := p.Now()
	delay := min(max(p.freeAt[id].Sub(now), 0), maxPromptDelay)
	reading := time.Duration(float64(tokens) / pacedTokensPerMS * float64(time.Millisecond))
	p.freeAt[id] = now.Add(delay + reading)
	return delay
}

// Keep forgets all engines but those listed.
func (p *PromptPacer) Keep(targets map[deployment.TargetID]deployment.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.freeAt {
		if _, ok := targets[id]; !ok {
			delete(p.freeAt, id)
		}
	}
}

const (
	// pauseSampleWeight is the weight of the newest stream in the share of late ones.
	pauseSampleWeight = 0.03
	// frequentPauseShare is the share of streams with a pause over the objective from
	// which prompts are paced.
	frequentPauseShare = 0.05
)

// Pauses tells whether streams often pause for longer than their objective. It
// is safe for concurrent use; the zero value is ready for use.
type Pauses struct {
	mu    sync.Mutex
	share float64
}

// Note takes whether a stream paused for longer than its objective.
func (p *Pauses) Note(late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := 0.0
	if late {
		value = 1
	}
	p.share += pauseSampleWeight * (value - p.share)
}

// Frequent says that many of the latest streams paused for too long.
func (p *Pauses) Frequent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share > frequentPauseShare
}
