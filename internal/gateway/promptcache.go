package gateway

import (
	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/promptcache"
	"heatherrelay/internal/upstream"
)

// cachedPrompt is what is known of the prompt's beginning on the engine of an attempt. The
// zero value is that of an attempt for which no engine was chosen for what it holds.
type cachedPrompt struct {
	prompt *promptcache.Prompt
	// version is that of the adapter on the engine.
	version uint64
	// tokens are expected not to be prefilled again.
	tokens int
	// outcome says why the engine is expected to hold the beginning, or that it is not.
	outcome cacheOutcome
}

// cacheOutcome says what is expected of the chosen engine.
type cacheOutcome string

const (
	// cacheHeld means that a request with the beginning ran there, and that it should still
	// be kept.
	cacheHeld cacheOutcome = "held"
	// cacheHome means that hashing prefers the engine, so that it may hold the beginning.
	cacheHome cacheOutcome = "home"
	// cacheElsewhere means that another engine is known to hold the beginning, but is too
	// busy.
	cacheElsewhere cacheOutcome = "elsewhere"
	// cacheUnknown means that no engine is known to hold it.
	cacheUnknown cacheOutcome = "unknown"
)

// chooseByCache completes a request to placement, and its candidates, with what engines
// still hold of the prompt, if the deployment asks for it.
func (e *exchange) chooseByCache(request *placement.Request, candidates []placement.Candidate) {
	s := e.server
	e.cached = cachedPrompt{}
	if s.CachesPrompts == nil || len(e.request.PromptParts) == 0 || !s.CachesPrompts(e.configuration, e.service) {
		return
	}
	prompt := promptcache.NewPrompt(e.request.Adapter, e.request.PromptParts, e.request.PromptPartTokens)
	s.PromptCache.Fill(&prompt, candidates)
	hash, tokens := prompt.Shared()
	request.Shared = &placement.SharedPrompt{Hash: hash, Tokens: tokens, Share: s.PromptCache.Share(&prompt)}
	e.cached.prompt = &prompt
}

// recordCacheChoice records what the chosen engine is expected to hold of the prompt.
func (e *exchange) recordCacheChoice(candidates []placement.Candidate, choice placement.Choice) {
	if e.cached.prompt == nil {
		return
	}
	e.cached.tokens = min(candidates[choice.Index].CachedTokens, e.request.PromptTokens)
	e.cached.outcome = cacheUnknown
	for i := range candidates {
		if candidates[i].CachedTokens > e.cached.tokens {
			e.cached.outcome = cacheElsewhere
		}
	}
	switch {
	case e.cached.tokens > 0:
		e.cached.outcome = cacheHeld
	case choice.Home:
		e.cached.outcome = cacheHome
	}
	e.server.Metrics.countCacheChoice(e.cached.outcome, e.cached.tokens)
}

// prefillTokens returns how many of the prompt's tokens the engine of the attempt prefills.
func (e *exchange) prefillTokens() int { return e.request.PromptTokens - e.cached.tokens }

// recordPromptStart records that the current target begins to answer, so that it holds the
// prompt.
func (e *exchange) recordPromptStart() {
	if e.cached.prompt != nil {
		e.server.PromptCache.RecordStart(&e.target, e.cached.version, e.cached.prompt)
	}
}

// recordRun records how long the current target ran the request.
func (e *exchange) recordRun() {
	if e.cached.prompt != nil {
		e.server.PromptCache.RecordRun(e.server.Now().Sub(e.sentAt))
	}
}

// setVersion remembers the version of the adapter that the attempt is for.
func (c *cachedPrompt) setVersion(attempt *upstream.Attempt) { c.version = attempt.AdapterVersion }

// fields returns the log fields.
func (c *cachedPrompt) fields() []zap.Field {
	if c.prompt == nil {
		return nil
	}
	return []zap.Field{zap.String("prompt_cache", string(c.outcome)), zap.Int("cached_tokens", c.tokens)}
}

// CachesPrompts reports whether engines of a service are chosen for what they still hold of
// prompts.
type CachesPrompts func(configuration *deployment.Configuration, service string) bool
