package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/outlier"
)

// Estimates by which engines are compared. Each delay is added to the expected
// time until a request starts.
const (
	// prefillTokensPerMS is the rate at which an engine prefills prompts while it
	// also decodes.
	prefillTokensPerMS = 12.0
	// requestDelay is added for each request in flight. Each one lengthens every
	// decoding step, and an engine with many of them also receives prompts from other
	// instances that are not counted here yet.
	requestDelay = 4 * time.Millisecond
	// fullDelay is added when the batch or the KV cache is full, and for a request to
	// a probing target that could not be retried if the target fails.
	fullDelay = 2 * time.Second
	// probeDelay is added for a target that is probed after an ejection.
	probeDelay = 250 * time.Millisecond
	// errorDelay is added for a target whose answers are all errors, and in
	// proportion for other targets.
	errorDelay = time.Second
	// otherZoneDelay is a round trip between zones, plus the cost of the traffic.
	otherZoneDelay = 8 * time.Millisecond
	// coldLoadDelay is a load from the weight store, plus its cost. warmLoadDelay is
	// a load of an adapter that the engine still has in its local cache.
	coldLoadDelay = 400 * time.Millisecond
	warmLoadDelay = 80 * time.Millisecond
	// minLoadGain is how much sooner, load time included, a request must start on
	// an engine without the adapter to be sent there: each further copy takes an
	// adapter slot that another adapter needs.
	minLoadGain = 500 * time.Millisecond
	// copyWaitThreshold is how much longer than on an engine without the adapter a
	// request may wait at the existing copies, load time excluded, before another
	// copy is loaded. It applies while the demand calls for more copies.
	copyWaitThreshold = 40 * time.Millisecond
	// copiesHeadroom is the factor by which copies may exceed what the demand calls
	// for: engines with a copy serve other adapters too.
	copiesHeadroom = 1.25
	// preferredSlack is how much longer than on the fastest engine a request may
	// wait on the preferred one: an engine that held the adapter before loads it
	// faster.
	preferredSlack = 150 * time.Millisecond
	// kvCacheReserve is the part of an engine's KV cache that requests are not
	// planned to fill, since outputs may be longer than announced.
	kvCacheReserve = 0.06
)

// Request describes what a request needs from the engine that is chosen for it.
type Request struct {
	Adapter deployment.AdapterName
	// Version is the minimum version of the adapter; zero accepts any.
	Version uint64
	// Tokens are those of the prompt and the output, PromptTokens those of the prompt.
	Tokens       int
	PromptTokens int
	// Shared is the beginning of the prompt that other requests may have too. Engines are
	// chosen for what they still hold of prompts only if it is set.
	Shared *SharedPrompt
	Zone   string
	// Priority is the request's rank, 0 is the most urgent. Objective is the time within
	// which the first event is wanted, Remaining the time left until the deadline; zero
	// is unknown.
	Priority             int
	Objective, Remaining time.Duration
	// GapObjective is the longest pause between two events that is in time; zero is
	// unknown.
	GapObjective time.Duration
	// WeighSpeeds is set when candidates are compared by what is known of their Speed.
	WeighSpeeds bool
	// Repeatable requests may be retried on another target.
	Repeatable bool
	// WantedCopies is the number of engines that should hold the adapter, according
	// to the demand for it.
	WantedCopies float64
	// Random returns a random number from 0 to n-1. If nil, all copies are
	// compared instead of two random ones.
	Random func(n int) int
	Now    time.Time
}

// Candidate is an engine, or a target of a plain service, that may be chosen, with
// the requests in flight there.
type Candidate struct {
	deployment.Target
	inflight.Use
	Health     outlier.Health
	ErrorShare float64
	// Slots limits the requests in a batch, KVCacheTokens the tokens in the KV cache.
	// Zero is unlimited.
	Slots         int
	KVCacheTokens int
	// HasModel is set when the engine holds the base model.
	HasModel bool
	// Resident is the adapter on the engine, loaded or loading; nil if neither.
	Resident *Resident
	// CanLoad is set when adapters can be loaded on the engine at present.
	CanLoad bool
	// Warm is set when the engine recently evicted the adapter and can load it
	// without the weight store.
	Warm bool
	// ColdWait is the expected wait before a load from the weight store begins.
	ColdWait time.Duration
	// Speed is what is known of how fast the target works.
	Speed Speed
	// CachedTokens is how many of the prompt's tokens the engine still has in its KV
	// cache, so that it need not prefill them.
	CachedTokens int
}

// Speed is how fast a target works. The zero value is that of a usual target.
type Speed struct {
	// PrefillTokensPerMS is the rate at which an engine prefills prompts while it also
	// decodes; zero is the usual rate.
	PrefillTokensPerMS float64
	// Slowness is how many times as long as a usual target the target takes for all else;
	// zero counts as 1.
	Slowness float64
	// Uncertainty is the standard deviation of the logarithm of Slowness.
	Uncertainty float64
	// EventInterval is the expected time between two events of a stream there, and
	// ResponseTime how long a usual target of a plain service takes for a request; zero
	// is unknown.
	EventInterval, ResponseTime time.Duration
	// startScale is how many times as long as NominalStart a usual target takes; zero
	// counts as 1.
	startScale float64
}

// Factor returns how many times as long as a usual target the target takes.
func (s Speed) Factor() float64 {
	if s.Slowness <= 0 {
		return 1
	}
	return s.Slowness
}

// loadDelay estimates the time until the adapter is loaded.
func (c *Candidate) loadDelay() time.Duration {
	if c.Warm {
		return warmLoadDelay
	}
	return coldLoadDelay + c.ColdWait
}

// Choice is the engine chosen for a request.
type Choice struct {
	Index int
	// NeedsLoad is set when the adapter has to be loaded first.
	NeedsLoad bool
	// Delay is the expected time until the request starts.
	Delay time.Duration
	// cost is the delay, and what being late is expected to cost.
	cost time.Duration
	// Full is set when the engine's batch or KV cache is full.
	Full bool
	// CopyIndex is the index of the engine that should load another copy of the
	// adapter for later requests; -1 if none should.
	CopyIndex int
	// Home is set when hashing prefers the engine for the beginning of the prompt.
	Home bool
}

// Choose returns the engine for a request: the one with the adapter where the
// request starts soonest, or one without it if the request starts there much
// sooner, load time included. Engines without the adapter are ranked by
// rendezvous hashing, so that all instances choose the same one and usually one
// that held the adapter before. Ejected engines are used only when there is no
// other. Choose reports false when no engine can serve the request.
func Choose(request Request, candidates []Candidate) (Choice, bool) {
	if choice, ok := choose(request, candidates, outlier.Probing); ok {
		return choice, true
	}
	return choose(request, candidates, outlier.Ejected)
}

func choose(request Request, candidates []Candidate, worstHealth outlier.Health) (Choice, bool) {
	copies := findCopies(request, candidates, worstHealth)
	preferred, hasPreferred := choosePreferred(request, candidates, worstHealth)
	if len(copies) == 0 {
		return preferred, hasPreferred
	}
	best := soonestOrCheapest(request, candidates, copies)
	if !hasPreferred {
		return best, true
	}
	gain := minLoadGain
	if request.WeighSpeeds {
		// The load has others wait for the weight store as long as this request does.
		gain += candidates[preferred.Index].ColdWait
	}
	if best.cost > preferred.cost+gain {
		return preferred, true
	}
	withoutLoad := preferred.cost - candidates[preferred.Index].loadDelay()
	if float64(len(copies)) < request.WantedCopies*copiesHeadroom && best.cost > withoutLoad+copyWaitThreshold {
		best.CopyIndex = preferred.Index
	}
	return best, true
}

// findCopies returns the engines on which the adapter is loaded or loading.
func findCopies(request Request, candidates []Candidate, worstHealth outlier.Health) []Choice {
	holders := 0
	for i := range candidates {
		if candidates[i].Resident != nil || request.Adapter.Adapter == "" {
			holders++
		}
	}
	copies := make([]Choice, 0, holders)
	for i := range candidates {
		c := &candidates[i]
		if c.Health > worstHealth || !c.HasModel || !c.canServe(&request) {
			continue
		}
		delay := c.delay(&request)
		if r := c.Resident; r != nil && r.ReadyAt.After(request.Now) {
			delay += r.ReadyAt.Sub(request.Now)
		}
		copies = append(copies, Choice{Index: i, Delay: delay, cost: c.cost(&request, delay), Full: c.full(&request), CopyIndex: -1})
	}
	return copies
}

// soonestOrCheapest returns the copy for a request.
func soonestOrCheapest(request Request, candidates []Candidate, copies []Choice) Choice {
	if request.Shared != nil {
		return cheapest(request, candidates, copies)
	}
	return soonest(request, copies)
}

// soonest returns the copy on which the request starts soonest, out of two that
// are picked at random if there are more. Counts of requests in flight arrive
// late, so that with a comparison of all copies every instance would send to the
// same engine until it learns of the others' requests.
func soonest(request Request, copies []Choice) Choice {
	if n := len(copies); n > 2 && request.Random != nil {
		i, j := request.Random(n), request.Random(n-1)
		if j >= i {
			j++
		}
		if sampled := sooner(copies[i], copies[j]); !sampled.Full {
			return sampled
		}
	}
	best := copies[0]
	for _, c := range copies[1:] {
		best = sooner(best, c)
	}
	return best
}

func sooner(a, b Choice) Choice {
	if b.cost < a.cost {
		return b
	}
	return a
}

// canServe reports whether the engine can run the request without a load.
func (c *Candidate) canServe(request *Request) bool {
	if request.Adapter.Adapter == "" {
		return true
	}
	return c.Resident != nil && c.Resident.Version >= request.Version
}

// choosePreferred returns the engine that should load the adapter: the one that
// hashing prefers, out of those that are warm or have at most one request more than
// the mean. If none of these can start the request soon enough, it considers all
// engines.
func choosePreferred(request Request, candidates []Candidate, worstHealth outlier.Health) (Choice, bool) {
	if request.Adapter.Adapter == "" {
		return Choice{}, false
	}
	eligible := func(c *Candidate) bool {
		// An engine with an older version is excluded: the load would have to replace
		// that version, which may be in use.
		return c.Health <= worstHealth && c.HasModel && c.CanLoad && c.Resident == nil
	}
	minCost, requests, engines, speeds := time.Duration(-1), 0, 0, 0.0
	for i := range candidates {
		if c := &candidates[i]; eligible(c) {
			requests, engines, speeds = requests+c.Requests, engines+1, speeds+1/c.Speed.Factor()
			if cost := c.loadCost(&request); minCost < 0 || cost < minCost {
				minCost = cost
			}
		}
	}
	if engines == 0 {
		return Choice{}, false
	}
	notBusy := func(c *Candidate) bool {
		return eligible(c) && (c.Warm || float64(c.Requests)*c.Speed.Factor()*speeds <= float64(requests+engines))
	}
	maxCost := minCost + preferredSlack
	if preferred, ok := hashPreferred(request, candidates, maxCost, notBusy); ok {
		return preferred, true
	}
	return hashPreferred(request, candidates, maxCost, eligible)
}

// loadCost is the cost of a request whose adapter has to be loaded first.
func (c *Candidate) loadCost(request *Request) time.Duration {
	return c.cost(request, c.delay(request)+c.loadDelay())
}

// hashPreferred returns the engine that rendezvous hashing ranks first, out of
// those that pass the filter and cost no more than maxCost.
func hashPreferred(request Request, candidates []Candidate, maxCost time.Duration, filter func(*Candidate) bool) (Choice, bool) {
	adapterHash := xxhash.Sum64String(request.Adapter.Model + "/" + request.Adapter.Adapter)
	best, bestScore, found := Choice{NeedsLoad: true, CopyIndex: -1}, 0.0, false
	for i := range candidates {
		c := &candidates[i]
		if !filter(c) {
			continue
		}
		cost := c.loadCost(&request)
		if cost > maxCost {
			continue
		}
		if score := c.hashRank(adapterHash); !found || score > bestScore {
			best.Index, best.cost, best.Full = i, cost, c.full(&request)
			bestScore, found = score, true
		}
	}
	if found {
		c := &candidates[best.Index]
		best.Delay = c.delay(&request) + c.loadDelay()
	}
	return best, found
}

// hashRank returns the engine's rank for an adapter by weighted rendezvous hashing: a faster
// engine is preferred for more adapters. Engines that are alike rank by the hash alone.
func (c *Candidate) hashRank(adapterHash uint64) float64 {
	const mantissa = 53
	uniform := (float64(rendezvousScore(adapterHash, string(c.ID))>>(64-mantissa)) + 0.5) / (1 << mantissa)
	speed := 1 / c.Speed.Factor()
	return speed * speed / -math.Log(uniform)
}

// rendezvousScore returns the rank of a target for an adapter.
func rendezvousScore(adapterHash uint64, target string) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(adapterHash >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// full reports whether the request exceeds the engine's free batch slots or KV cache.
func (c *Candidate) full(request *Request) bool {
	usableTokens := float64(c.KVCacheTokens) * (1 - kvCacheReserve)
	return c.Slots > 0 && c.Requests >= c.Slots ||
		c.KVCacheTokens > 0 && c.Requests > 0 && float64(c.Tokens+request.Tokens) > usableTokens
}

// start estimates the time until the target starts the request, by what is in flight there.
func (c *Candidate) start(request *Request) time.Duration {
	if request.WeighSpeeds {
		return c.weighedStart(request)
	}
	return NominalStart(c.WaitingTokens, c.Requests)
}

// NominalStart is how long a usual engine takes to prefill prompts of a number of tokens
// while a number of requests is in flight there.
func NominalStart(tokens, requests int) time.Duration {
	return time.Duration(float64(tokens)/prefillTokensPerMS*float64(time.Millisecond)) + time.Duration(requests)*requestDelay
}

// delay estimates the time until the engine starts the request.
func (c *Candidate) delay(request *Request) time.Duration {
	delay := c.start(request) + time.Duration(c.ErrorShare*float64(errorDelay))
	if c.full(request) {
		delay += fullDelay
	}
	if c.Health == outlier.Probing {
		delay += probeDelay
		if !request.Repeatable {
			delay += fullDelay
		}
	}
	if c.Zone != request.Zone {
		delay += otherZoneDelay
	}
	return delay
}
