package placement

import (
	"sync"
	"time"
)

// The bounds of a rate, in tokens a millisecond, and the rate until one is learned.
const (
	minPromptRate     = 4.0
	maxPromptRate     = 100.0
	initialPromptRate = 16.0
)

const (
	// promptRateQuantile is the quantile of the rates of single prompts that is learned: in
	// the slower ones other prompts were prefilled too, or the engine was slow for a moment.
	promptRateQuantile = 0.7
	// promptRateStep is how far one prompt moves the rate, as a fraction of it.
	promptRateStep = 0.03
	// minRatedTokens is the least length of a prompt from which something is learned.
	minRatedTokens = 300
)

// PromptRate is the rate at which the engines of a service prefill a prompt beside their
// streams, learned from the time to the first event of requests that found no other prompt
// waiting. No sample moves it far. It is safe for concurrent use; the zero value is ready.
type PromptRate struct {
	mu          sync.Mutex
	tokensPerMS float64
}

// Observe records a prompt and the time to its first event at an engine of usual speed.
func (r *PromptRate) Observe(tokens int, took time.Duration) {
	if tokens < minRatedTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	step := -promptRateStep * (1 - promptRateQuantile)
	if rate > r.tokensPerMS {
		step = promptRateStep * promptRateQuantile
	}
	r.tokensPerMS = min(max(r.tokensPerMS*(1+step), minPromptRate), maxPromptRate)
}

// TokensPerMS returns the rate.
func (r *PromptRate) TokensPerMS() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	return r.tokensPerMS
}

func (r *PromptRate) init() {
	if r.tokensPerMS == 0 {
		r.tokensPerMS = initialPromptRate
	}
}
